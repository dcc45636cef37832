"""Actions and log lines of host liveness and shard leadership."""

from dataclasses import dataclass, field
from typing import NamedTuple

from poplarhill.types import Address
from poplarhilld.decisions import LogDecision
from poplarhilld.peers.messages import Beat


@dataclass(frozen=True)
class SendHeartbeat:
    """Send a heartbeat to an address.

    Attributes:
        address: Address of the receiver.
        heartbeat: The heartbeat, a `Beat`. `Heartbeat` is the message of the daemons.
    """

    address: Address
    heartbeat: Beat


@dataclass(frozen=True)
class HostLost:
    """An entry host has restarted or refuses connections.

    A silent one may only be cut off; its jobs end when their offers lapse.

    Attributes:
        host: Name of the host.
        reason: Why the work for it stops.
        lost_s: Time since it was no longer considered live, s.
    """

    host: str
    reason: str = field(default="", compare=False)
    lost_s: float = field(default=0.0, compare=False)


@dataclass(frozen=True)
class AnswerNewPeer:
    """Send a heartbeat at once to a host that has just started or become known.

    A connection to it that is still being opened may have begun before its process
    ran, and would stay without an answer.

    Attributes:
        address: Address of the host.
    """

    address: Address


ShardAction = SendHeartbeat | HostLost | AnswerNewPeer | LogDecision


class HostFound(NamedTuple):
    """Log line: a host is live, because heartbeats pass in both directions.

    Attributes:
        host: Name of the host.
        address: Its address for peers, as `ip:port`.
        data_centre: Its data centre.
        incarnation: Start time of its process, ms since the Unix epoch.
    """

    host: str
    address: str
    data_centre: str
    incarnation: int


class HostGone(NamedTuple):
    """Log line: a host is no longer live.

    Attributes:
        host: Name of the host.
        reason: Why it is no longer considered live.
        heard_s: Time since its last heartbeat was received, s.
    """

    host: str
    reason: str
    heard_s: float


class HeartbeatIgnored(NamedTuple):
    """Log line: a heartbeat is invalid and was ignored.

    Attributes:
        host: Name of the sender.
        reason: What is wrong with the heartbeat, shortened.
    """

    host: str
    reason: str


class LeadershipTaken(NamedTuple):
    """Log line: this host has become the leader of a shard.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch of the new claim.
        reason: Why this host claimed the shard.
        live: Count of live hosts, including this one.
    """

    shard: str
    epoch: int
    reason: str
    live: int


class LeadershipYielded(NamedTuple):
    """Log line: this host no longer leads a shard.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch of the claim that ended.
        to: Name of the host that takes over; empty if it is not known.
        reason: Why this host yielded the shard.
    """

    shard: str
    epoch: int
    to: str
    reason: str
