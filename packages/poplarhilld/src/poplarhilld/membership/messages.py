"""What membership decides."""

from enum import Enum
from typing import NamedTuple

from poplarhilld.peers.messages import MemberState


class RemovalReason(Enum):
    """Why a member is no longer taken to be live."""

    SILENT = "silent"
    LISTED_GONE = "listed_gone"
    REFUSED = "refused"
    LEAVING = "leaving"


class HeartbeatDue(NamedTuple):
    """A heartbeat to send now.

    Attributes:
        peer: Name of the member to send it to.
        members: What it says of members, the sender first.
    """

    peer: str
    members: tuple[MemberState, ...]


class MemberJoined(NamedTuple):
    """A host is taken to be live from now on.

    Attributes:
        member: Its name.
        incarnation: Its incarnation.
        data_centre: Data centre that it stands in.
        told_by: Host that said so.
    """

    member: str
    incarnation: int
    data_centre: str
    told_by: str


class MemberRemoved(NamedTuple):
    """A host is no longer taken to be live.

    Attributes:
        member: Its name.
        incarnation: Its incarnation.
        reason: Why, a value of `RemovalReason`.
        silence_s: Time since its heartbeat count was last seen to rise, s.
        views: Hosts heard from in that time.
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
        other: Incarnation of the other.
    """

    incarnation: int
    other: int


Decision = HeartbeatDue | MemberJoined | MemberRemoved | Superseded
