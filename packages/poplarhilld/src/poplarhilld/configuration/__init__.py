"""Reads the configuration stream and keeps the configuration of one entry host."""

from poplarhilld.configuration.messages import AppendRecord as AppendRecord
from poplarhilld.configuration.messages import LogRead as LogRead
from poplarhilld.configuration.messages import ReadLog as ReadLog
from poplarhilld.configuration.messages import ToPeer as ToPeer
from poplarhilld.configuration.reader import ConfigurationReader as ConfigurationReader
from poplarhilld.configuration.state import ConfigurationState as ConfigurationState
