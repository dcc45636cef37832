"""Limits: which jobs are admitted, by quota, queue length and expected wait."""

from poplarhilld.limits.messages import Backlog as Backlog
from poplarhilld.limits.messages import Refused as Refused
from poplarhilld.limits.messages import refused as refused
from poplarhilld.limits.state import Limits as Limits
