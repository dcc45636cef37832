"""What the freshness slice asks for, decides on, and logs."""

from dataclasses import dataclass
from typing import NamedTuple

from poplarhill.platform import HostList, Unavailable
from poplarhilld.peers.messages import Message


@dataclass(frozen=True)
class HostsRead:
    """A read of the platform's host list ended.

    Attributes:
        asked_at: When it began, s.
        result: The platform's answer.
    """

    asked_at: float
    result: HostList | Unavailable


@dataclass(frozen=True)
class ReadHosts:
    """Read the platform's host list."""


@dataclass(frozen=True)
class ReadLogNow:
    """Read the configuration stream without waiting for its next turn."""


class SendToPeer(NamedTuple):
    """A message for another entry host."""

    peer: str
    message: Message


class Woke(NamedTuple):
    """Decision: this process did not run for a while; nothing is sent for now.

    Attributes:
        pause_s: How long, by its own clock, s; 0 at the start.
        asked: Peers asked for their view.
    """

    pause_s: float
    asked: tuple[str, ...]


class Refreshed(NamedTuple):
    """Decision: the view is fresh again; tasks are sent.

    Attributes:
        waited_s: Time since waking, s.
        configuration_by: `log`, or the peer that confirmed it.
        hosts_by: `platform`, or the peer that confirmed it.
    """

    waited_s: float
    configuration_by: str
    hosts_by: str


class Isolated(NamedTuple):
    """Decision: nothing answers; tasks are sent by the view there is.

    Attributes:
        configuration: Whether the configuration could be confirmed.
        hosts: Whether the host list could be confirmed.
        hosts_age_s: Age of the host list, s; -1 when there is none.
    """

    configuration: bool
    hosts: bool
    hosts_age_s: float


class LeavingChanged(NamedTuple):
    """Decision: these hosts and workers are leaving.

    Attributes:
        version: Version of the host list.
        leaving: Their names.
        source: `platform`, or the peer that passed it on.
    """

    version: int
    leaving: tuple[str, ...]
    source: str


Decision = Woke | Refreshed | Isolated | LeavingChanged
Output = ReadHosts | ReadLogNow | SendToPeer | Decision
