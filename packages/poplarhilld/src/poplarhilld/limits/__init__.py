"""Limits: which jobs are taken in, by quota, queue length and predicted wait."""

from poplarhilld.limits.messages import Backlog as Backlog
from poplarhilld.limits.messages import Refused as Refused
from poplarhilld.limits.messages import refused as refused
from poplarhilld.limits.state import Limits as Limits
