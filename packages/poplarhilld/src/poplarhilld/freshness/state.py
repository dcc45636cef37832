"""Whether this host's view is fresh enough to send tasks by.

A process that stood still may hold a view from before its pause, and frames and
answers that were under way then. So once it sees by its own clock that it did
not run, it sends no task until the configuration and the host list are
confirmed by an answer to a question that it asked after waking. If nothing
answers within a short while, it is isolated and goes on by the view it has.
"""

from random import Random

from poplarhill.platform import HostList, Unavailable
from poplarhilld.freshness.messages import (
    Isolated,
    LeavingChanged,
    Output,
    ReadHosts,
    ReadLogNow,
    Refreshed,
    SendToPeer,
    Woke,
)
from poplarhilld.peers.messages import (
    ConfigurationRequest,
    HostsNews,
    RefreshReply,
    RefreshRequest,
)

PAUSE_THRESHOLD_S = 1.0
"""Gap between two events, s, that counts as a pause; ticks come more often."""

VIEW_BOUND_S = 5.0
"""Age from which a view counts as old, s."""

REFRESH_LIMIT_S = 1.0
"""Longest wait for a refresh, s; after it the host is isolated."""

_SHORTEST_POLL_S = 2.0
_LONGEST_POLL_S = 3.5
_PEERS_ASKED = 2
_LEAVING_NAMES = 256


class Freshness:
    """The host list, and the age of what this host knows.

    Args:
        random: Source of poll times and of the choice of peers.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._last: float | None = None
        self._ticking = False
        self._version = 0
        self._leaving: frozenset[str] = frozenset()
        self._live: frozenset[str] = frozenset()
        self._hosts_at: float | None = None
        self._next_poll = 0.0
        self._asking = False
        self._woke_at: float | None = None
        self._asked = False
        self._request_id = 0
        self._configuration_by = ""
        self._hosts_by = ""
        self._wanted: tuple[str, int] | None = None
        self._isolated = False

    @property
    def may_send(self) -> bool:
        """Whether tasks may be sent by the view there is."""
        return self._woke_at is None

    @property
    def isolated(self) -> bool:
        """Whether nothing has confirmed the view for too long."""
        return self._isolated

    @property
    def version(self) -> int:
        """Version of the host list."""
        return self._version

    @property
    def live(self) -> frozenset[str]:
        """Hosts and workers that the list takes to be alive."""
        return self._live

    @property
    def leaving(self) -> frozenset[str]:
        """Hosts and workers that are leaving."""
        return self._leaving

    @property
    def leaving_names(self) -> tuple[str, ...]:
        """Names of those that are leaving, as frames carry them."""
        return tuple(sorted(self._leaving)[:_LEAVING_NAMES])

    def hosts_age(self, now: float) -> float | None:
        """Return the time since the host list was confirmed, s."""
        return None if self._hosts_at is None else now - self._hosts_at

    def start(self, now: float) -> None:
        """Begin without a host list: nothing is sent before there is one.

        A configuration that is in force was read, or had from a peer, just now.
        """
        self._last = now
        self._woke_at = now
        self._configuration_by = "start"

    def advance(self, now: float) -> float:
        """Note that the process runs; return how long it had stood still, s."""
        pause = now - self._last if self._ticking and self._last is not None else 0.0
        self._last = now
        if pause <= PAUSE_THRESHOLD_S:
            return 0.0
        self._woke_at = now
        self._asked = False
        self._asking = False
        self._configuration_by = self._hosts_by = ""
        self._wanted = None
        return pause

    def tick(self, now: float, pause: float, peers: tuple[str, ...]) -> list[Output]:
        """Ask for what is due.

        Args:
            now: The host's own clock, s.
            pause: What `advance` returned, s.
            peers: Names of the other live hosts.
        """
        self._ticking = True
        outputs: list[Output] = []
        if self._woke_at is not None and not self._asked:
            outputs += self._ask_all(now, pause, peers)
        elif now >= self._next_poll and not self._asking:
            self._asking = True
            outputs.append(ReadHosts())
        return outputs + self._check_age(now)

    def hosts_read(
        self,
        now: float,
        asked_at: float,
        result: HostList | Unavailable,
        peers: tuple[str, ...],
    ) -> list[Output]:
        """Take the end of a read of the host list; pass news on to peers."""
        self._asking = False
        delay = self._random.uniform(_SHORTEST_POLL_S, _LONGEST_POLL_S)
        self._next_poll = now + delay
        if isinstance(result, Unavailable):
            return []
        self._live = result.live
        outputs = self._take(result.version, result.leaving, "platform")
        if outputs:
            news = HostsNews(self._version, self.leaving_names)
            outputs += [SendToPeer(peer, news) for peer in peers]
        return outputs + self._confirm_hosts(now, asked_at, "platform")

    def news_received(
        self, sender: str, version: int, leaving: tuple[str, ...]
    ) -> list[Output]:
        """Take the host list as a peer has it; the newer version wins."""
        return self._take(version, frozenset(leaving), sender)

    def configuration_confirmed(self, now: float, asked_at: float) -> list[Output]:
        """Note that the log has nothing newer than what is in force."""
        if self._woke_at is None or asked_at < self._woke_at:
            return []
        self._configuration_by = "log"
        return self._finish(now)

    def answer(self, now: float, request: RefreshRequest, version: int) -> RefreshReply:
        """Return what this host knows, for a peer that woke.

        Args:
            now: The host's own clock, s.
            request: The peer's question.
            version: Version of the configuration in force here.
        """
        age = self.hosts_age(now)
        known = age is not None and age <= VIEW_BOUND_S and self.may_send
        return RefreshReply(
            request.request_id, version, self._version, self.leaving_names, known
        )

    def reply_received(
        self, now: float, sender: str, reply: RefreshReply, version: int
    ) -> list[Output]:
        """Take a peer's answer; it confirms what it is not behind of.

        Args:
            now: The host's own clock, s.
            sender: The peer.
            reply: Its answer.
            version: Version of the configuration in force here.
        """
        outputs = self.news_received(sender, reply.hosts_version, reply.leaving_workers)
        if self._woke_at is None or reply.request_id != self._request_id:
            return outputs
        if not reply.informed:
            return outputs
        self._hosts_by = self._hosts_by or sender
        self._wanted = (sender, reply.configuration_version)
        if reply.configuration_version > version:
            outputs.append(SendToPeer(sender, ConfigurationRequest(version)))
        return outputs + self.configuration_in_force(now, version)

    def configuration_in_force(self, now: float, version: int) -> list[Output]:
        """Note the version in force: it may be the one that a peer spoke of."""
        if self._woke_at is None or self._wanted is None:
            return []
        sender, wanted = self._wanted
        if version < wanted:
            return []
        self._configuration_by = self._configuration_by or sender
        return self._finish(now)

    def _ask_all(
        self, now: float, pause: float, peers: tuple[str, ...]
    ) -> list[Output]:
        self._asked = True
        self._asking = True
        self._request_id += 1
        asked = self._random.sample(peers, min(_PEERS_ASKED, len(peers)))
        request = RefreshRequest(self._request_id)
        outputs: list[Output] = [Woke(round(pause, 3), tuple(asked))]
        outputs += [SendToPeer(peer, request) for peer in asked]
        return [*outputs, ReadHosts(), ReadLogNow()]

    def _take(self, version: int, leaving: frozenset[str], source: str) -> list[Output]:
        if version <= self._version:
            return []
        self._version = version
        self._leaving = leaving
        return [LeavingChanged(version, tuple(sorted(leaving)), source)]

    def _confirm_hosts(self, now: float, asked_at: float, source: str) -> list[Output]:
        self._hosts_at = asked_at
        if self._woke_at is None:
            self._isolated = False
            return []
        if asked_at < self._woke_at:
            return []
        self._hosts_by = source
        return self._finish(now)

    def _finish(self, now: float) -> list[Output]:
        if not self._configuration_by or not self._hosts_by:
            return []
        waited = round(now - self._woke_at, 3)
        self._woke_at = None
        self._isolated = False
        return [Refreshed(waited, self._configuration_by, self._hosts_by)]

    def _check_age(self, now: float) -> list[Output]:
        waiting = self._woke_at is not None
        if waiting and now - self._woke_at < REFRESH_LIMIT_S:
            return []
        age = self.hosts_age(now)
        old = age is not None and age > VIEW_BOUND_S
        if self._isolated or not (waiting or old):
            self._woke_at = None
            return []
        self._woke_at = None
        self._isolated = True
        shown = -1.0 if age is None else round(age, 3)
        confirmed = bool(self._configuration_by), bool(self._hosts_by)
        return [Isolated(*confirmed, shown)]
