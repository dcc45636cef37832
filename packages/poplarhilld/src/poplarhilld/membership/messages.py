"""Decisions of the membership."""

from enum import Enum
from typing import NamedTuple

from poplarhilld.peers.messages import MemberState


class RemovalReason(Enum):
    """Why a member is no longer considered live.

    A member is silent while its heartbeat count does not rise and no frame from it is
    received. Time before the end of a pause of this process does not count. Enough
    other hosts are active if at least two, or all others of a smaller fleet, have sent
    frames during the silence.

    Attributes:
        SILENT: It was silent for the removal time, or for 1.5 times as long if not
            enough other hosts were active.
        LISTED_GONE: It was silent for half of the removal time, enough other hosts
            were active, and the platform's host list says that it is gone or leaving.
        REFUSED: It was silent for half of the removal time, enough other hosts were
            active, and its address refused a connection.
        LEAVING: It announced its shutdown.
    """

    SILENT = "silent"
    LISTED_GONE = "listed_gone"
    REFUSED = "refused"
    LEAVING = "leaving"


class HeartbeatDue(NamedTuple):
    """A heartbeat to send now.

    Attributes:
        peer: Name of the member to send it to.
        members: Member states that it carries, the sender's own first.
    """

    peer: str
    members: tuple[MemberState, ...]


class MemberJoined(NamedTuple):
    """A host has become live.

    Attributes:
        member: Name of the host.
        incarnation: Its incarnation.
        data_centre: Its data centre.
        told_by: Name of the host whose heartbeat reported it.
    """

    member: str
    incarnation: int
    data_centre: str
    told_by: str


class MemberRemoved(NamedTuple):
    """A host is no longer considered live.

    Attributes:
        member: Name of the host.
        incarnation: Its incarnation.
        reason: Value of the `RemovalReason`.
        silence_s: Time since its heartbeat count last rose or a frame was last
            received from it, s.
        views: Count of other hosts from which frames were received in that time.
    """

    member: str
    incarnation: int
    reason: str
    silence_s: float
    views: int


class Superseded(NamedTuple):
    """Another process runs under this host's name with a higher incarnation.

    Attributes:
        incarnation: Incarnation of this process.
        other: Incarnation of the other process.
    """

    incarnation: int
    other: int


Decision = HeartbeatDue | MemberJoined | MemberRemoved | Superseded
