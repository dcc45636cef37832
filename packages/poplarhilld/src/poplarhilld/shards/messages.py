"""What membership and leadership ask for and write to the log."""

from dataclasses import dataclass
from typing import NamedTuple

from poplarhill.types import Address
from poplarhilld.decisions import LogDecision
from poplarhilld.peers.messages import Beat


@dataclass(frozen=True)
class SendHeartbeat:
    """Send a heartbeat to an address."""

    address: Address
    heartbeat: Beat


@dataclass(frozen=True)
class HostLost:
    """An entry host is not heard any more, or runs anew."""

    host: str


ShardAction = SendHeartbeat | HostLost | LogDecision


class HostFound(NamedTuple):
    """Log line: a host is heard, and hears this one."""

    host: str
    address: str
    data_centre: str
    incarnation: int


class HostGone(NamedTuple):
    """Log line: a host is not heard any more."""

    host: str
    reason: str
    heard_s: float


class HeartbeatIgnored(NamedTuple):
    """Log line: a heartbeat makes no sense."""

    host: str
    reason: str


class LeadershipTaken(NamedTuple):
    """Log line: this host leads a shard from now on."""

    shard: str
    epoch: int
    reason: str
    live: int


class LeadershipYielded(NamedTuple):
    """Log line: this host leads a shard no more."""

    shard: str
    epoch: int
    to: str
    reason: str
