"""Following the configuration stream on one entry host."""

from poplarhilld.configuration.reader import ConfigurationReader as ConfigurationReader
