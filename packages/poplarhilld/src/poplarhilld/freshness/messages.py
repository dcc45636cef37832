"""Events, actions and decisions of the freshness slice."""

from dataclasses import dataclass
from typing import NamedTuple

from poplarhill.platform import HostList, Unavailable
from poplarhilld.peers.messages import Message


@dataclass(frozen=True)
class HostsRead:
    """Event: a read of the platform's host list ended.

    Attributes:
        asked_at: When the read began, s.
        result: The host list, or why it could not be read.
    """

    asked_at: float
    result: HostList | Unavailable


@dataclass(frozen=True)
class ReadHosts:
    """Action: read the platform's host list."""


@dataclass(frozen=True)
class ReadLogNow:
    """Action: read the configuration log without waiting for the next poll."""


class SendToPeer(NamedTuple):
    """Action: send a message to another entry host.

    Attributes:
        peer: Name of the host.
        message: The message.
    """

    peer: str
    message: Message


class Woke(NamedTuple):
    """Decision: the process was paused or has started; send no tasks until a refresh.

    Attributes:
        pause_s: Length of the pause by the host's own clock, s; 0 at the start.
        asked: Names of the peers that are asked for their view.
    """

    pause_s: float
    asked: tuple[str, ...]


class Refreshed(NamedTuple):
    """Decision: the view is confirmed; tasks may be sent again.

    Attributes:
        waited_s: Time since the end of the pause or the start, s.
        configuration_by: What confirmed the configuration: `log`, `start` or the
            name of a peer.
        hosts_by: What confirmed the host list: `platform` or the name of a peer.
    """

    waited_s: float
    configuration_by: str
    hosts_by: str


class Isolated(NamedTuple):
    """Decision: the view cannot be confirmed; send tasks by the existing view.

    Attributes:
        configuration: Whether the last refresh confirmed the configuration.
        hosts: Whether the last refresh confirmed the host list.
        hosts_age_s: Age of the host list, s; -1 if there is none.
    """

    configuration: bool
    hosts: bool
    hosts_age_s: float


class LeavingChanged(NamedTuple):
    """Decision: adopt a newer list of the hosts and workers that are leaving.

    Attributes:
        version: Version of the host list.
        leaving: Names of the hosts and workers that are leaving.
        source: `platform`, or the name of the peer that sent the list.
    """

    version: int
    leaving: tuple[str, ...]
    source: str


Decision = Woke | Refreshed | Isolated | LeavingChanged
Output = ReadHosts | ReadLogNow | SendToPeer | Decision
