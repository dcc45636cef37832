"""Decides whether this host's view is recent enough to send tasks.

The view consists of the configuration and the platform's host list. After a pause of
the process, it may be outdated, and the host may still receive frames and replies
that were sent before or during the pause. When its own clock shows a pause, it
therefore sends no tasks until replies to requests made after the pause have
confirmed both parts. After its start it sends none until the host list has been
confirmed. If either part is not confirmed within `REFRESH_TIMEOUT_S`, the host is
isolated and continues with the view that it has. It also becomes isolated when its
host list is older than `MAX_VIEW_AGE_S`.
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
"""Gap between two events above which the process was paused, s.

Ticks are more frequent than that.
"""

MAX_VIEW_AGE_S = 5.0
"""Age of the host list above which the view is outdated, s."""

REFRESH_TIMEOUT_S = 1.0
"""Maximum time that a refresh takes, s; after that the host is isolated."""

_MIN_POLL_S = 2.0
_MAX_POLL_S = 3.5
_PEERS_ASKED = 2
_MAX_LEAVING_NAMES = 256


class Freshness:
    """The platform's host list, and whether this host's view is confirmed.

    Args:
        random: Source of the intervals between reads and of the peers to ask.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._last_advance: float | None = None
        self._ticking = False
        self._version = 0
        self._leaving: frozenset[str] = frozenset()
        self._live: frozenset[str] = frozenset()
        self._hosts_confirmed_at: float | None = None
        self._next_poll = 0.0
        self._reading_hosts = False
        self._refreshing_since: float | None = None
        self._refresh_requested = False
        self._request_id = 0
        # What confirmed each part of the view; empty until one did.
        self._configuration_confirmer = ""
        self._hosts_confirmer = ""
        self._peer_configuration: tuple[str, int] | None = None
        self._isolated = False

    @property
    def may_send(self) -> bool:
        """Whether tasks may be sent; false during a refresh."""
        return self._refreshing_since is None

    @property
    def isolated(self) -> bool:
        """Whether the host continues with a view that was not confirmed in time."""
        return self._isolated

    @property
    def version(self) -> int:
        """Version of the host list."""
        return self._version

    @property
    def live(self) -> frozenset[str]:
        """Names of the hosts and workers that the platform lists as live."""
        return self._live

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the hosts and workers that are leaving."""
        return self._leaving

    @property
    def leaving_names(self) -> tuple[str, ...]:
        """Sorted names of the hosts and workers that are leaving, as frames carry them.

        At most `_MAX_LEAVING_NAMES` names are returned.
        """
        return tuple(sorted(self._leaving)[:_MAX_LEAVING_NAMES])

    def hosts_age(self, now: float) -> float | None:
        """Return the age of the host list, s; None if it has never been read.

        The age is the time since the start of the last successful read.
        """
        return (
            None if self._hosts_confirmed_at is None else now - self._hosts_confirmed_at
        )

    def start(self, now: float) -> None:
        """Start without a host list; no task is sent until it has been read.

        The configuration needs no confirmation: one that is in force right after
        the start has just been read from the log or received from a peer.
        """
        self._last_advance = now
        self._refreshing_since = now
        self._configuration_confirmer = "start"

    def measure_pause(self, now: float) -> float:
        """Record that the process runs; return how long it had been paused, s."""
        pause_s = (
            now - self._last_advance
            if self._ticking and self._last_advance is not None
            else 0.0
        )
        self._last_advance = now
        if pause_s <= PAUSE_THRESHOLD_S:
            return 0.0
        self._refreshing_since = now
        self._refresh_requested = False
        self._reading_hosts = False
        self._configuration_confirmer = self._hosts_confirmer = ""
        self._peer_configuration = None
        return pause_s

    def tick(self, now: float, pause_s: float, peers: tuple[str, ...]) -> list[Output]:
        """Return the requests and decisions that are due.

        Args:
            now: The host's own clock, s.
            pause_s: Length of the pause since the last tick, as `measure_pause`
                returned it, s; 0 if there was none.
            peers: Names of the other live hosts.
        """
        self._ticking = True
        outputs: list[Output] = []
        if self._refreshing_since is not None and not self._refresh_requested:
            outputs += self._request_refresh(now, pause_s, peers)
        elif now >= self._next_poll and not self._reading_hosts:
            self._reading_hosts = True
            outputs.append(ReadHosts())
        return outputs + self._check_isolation(now)

    def hosts_read(
        self,
        now: float,
        asked_at: float,
        result: HostList | Unavailable,
        peers: tuple[str, ...],
    ) -> list[Output]:
        """Process the result of a read of the host list; send a newer list to peers."""
        self._reading_hosts = False
        delay = self._random.uniform(_MIN_POLL_S, _MAX_POLL_S)
        self._next_poll = now + delay
        if isinstance(result, Unavailable):
            return []
        self._live = result.live
        outputs = self._apply_hosts(result.version, result.leaving, "platform")
        if outputs:
            news = HostsNews(self._version, self.leaving_names)
            outputs += [SendToPeer(peer, news) for peer in peers]
        return outputs + self._confirm_hosts(now, asked_at, "platform")

    def news_received(
        self, sender: str, version: int, leaving: tuple[str, ...]
    ) -> list[Output]:
        """Process the host list of a peer; it is adopted if its version is newer."""
        return self._apply_hosts(version, frozenset(leaving), sender)

    def configuration_confirmed(self, now: float, asked_at: float) -> list[Output]:
        """Record that the log has no configuration newer than the one in force."""
        if self._refreshing_since is None or asked_at < self._refreshing_since:
            return []
        self._configuration_confirmer = "log"
        return self._finish_if_confirmed(now)

    def answer(self, now: float, request: RefreshRequest, version: int) -> RefreshReply:
        """Return the reply to a peer that refreshes its view.

        Args:
            now: The host's own clock, s.
            request: The peer's request.
            version: Version of the configuration in force on this host.
        """
        age = self.hosts_age(now)
        informed = age is not None and age <= MAX_VIEW_AGE_S and self.may_send
        return RefreshReply(
            request.request_id, version, self._version, self.leaving_names, informed
        )

    def reply_received(
        self, now: float, sender: str, reply: RefreshReply, version: int
    ) -> list[Output]:
        """Process a peer's reply to a refresh request.

        An informed peer confirms the host list; it confirms the configuration once
        a version at least as new as the peer's is in force on this host.

        Args:
            now: The host's own clock, s.
            sender: Name of the peer.
            reply: Its reply.
            version: Version of the configuration in force on this host.
        """
        outputs = self.news_received(sender, reply.hosts_version, reply.leaving_workers)
        if self._refreshing_since is None or reply.request_id != self._request_id:
            return outputs
        if not reply.informed:
            return outputs
        self._hosts_confirmer = self._hosts_confirmer or sender
        self._peer_configuration = (sender, reply.configuration_version)
        if reply.configuration_version > version:
            outputs.append(SendToPeer(sender, ConfigurationRequest(version)))
        return outputs + self.configuration_in_force(now, version)

    def configuration_in_force(self, now: float, version: int) -> list[Output]:
        """Record the version in force, which may be the one that a peer reported."""
        if self._refreshing_since is None or self._peer_configuration is None:
            return []
        sender, wanted = self._peer_configuration
        if version < wanted:
            return []
        self._configuration_confirmer = self._configuration_confirmer or sender
        return self._finish_if_confirmed(now)

    def _request_refresh(
        self, now: float, pause_s: float, peers: tuple[str, ...]
    ) -> list[Output]:
        self._refresh_requested = True
        self._reading_hosts = True
        self._request_id += 1
        asked = self._random.sample(peers, min(_PEERS_ASKED, len(peers)))
        request = RefreshRequest(self._request_id)
        outputs: list[Output] = [Woke(round(pause_s, 3), tuple(asked))]
        outputs += [SendToPeer(peer, request) for peer in asked]
        return [*outputs, ReadHosts(), ReadLogNow()]

    def _apply_hosts(
        self, version: int, leaving: frozenset[str], source: str
    ) -> list[Output]:
        if version <= self._version:
            return []
        self._version = version
        self._leaving = leaving
        return [LeavingChanged(version, tuple(sorted(leaving)), source)]

    def _confirm_hosts(self, now: float, asked_at: float, source: str) -> list[Output]:
        self._hosts_confirmed_at = asked_at
        if self._refreshing_since is None:
            self._isolated = False
            return []
        if asked_at < self._refreshing_since:
            return []
        self._hosts_confirmer = source
        return self._finish_if_confirmed(now)

    def _finish_if_confirmed(self, now: float) -> list[Output]:
        if not self._configuration_confirmer or not self._hosts_confirmer:
            return []
        waited = round(now - self._refreshing_since, 3)
        self._refreshing_since = None
        self._isolated = False
        return [Refreshed(waited, self._configuration_confirmer, self._hosts_confirmer)]

    def _check_isolation(self, now: float) -> list[Output]:
        """End a refresh that timed out.

        The host becomes isolated if one did, or if the host list is outdated.
        """
        refreshing = self._refreshing_since is not None
        if refreshing and now - self._refreshing_since < REFRESH_TIMEOUT_S:
            return []
        age = self.hosts_age(now)
        outdated = age is not None and age > MAX_VIEW_AGE_S
        if self._isolated or not (refreshing or outdated):
            self._refreshing_since = None
            return []
        self._refreshing_since = None
        self._isolated = True
        hosts_age_s = -1.0 if age is None else round(age, 3)
        confirmed = bool(self._configuration_confirmer), bool(self._hosts_confirmer)
        return [Isolated(*confirmed, hosts_age_s)]
