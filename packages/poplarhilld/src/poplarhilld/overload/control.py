"""Overload control of a host: accepts new jobs, or refuses them before other work."""

from collections.abc import Mapping

from poplarhilld.decisions import LogDecision
from poplarhilld.overload.delay import LoopMeter
from poplarhilld.overload.messages import (
    OverloadBegan,
    OverloadEnded,
    OverloadProgress,
    Shed,
)
from poplarhilld.overload.share import AcceptedShare, Arrivals

_CALM_S = 1.0  # the overload ends after this time without refusals; a burst's length
_PROGRESS_INTERVAL_S = 1.0
_RETRY_AFTER_S = 1.0  # a burst lasts about a second
# Callers return over as many seconds as the arrivals are times what is accepted, up to
# this; later than that, most have gone elsewhere.
_LONGEST_SPREAD_S = 4.0
# A job passes the loops of its hosts about five times: request, offer, start, end of
# the run and report.
_TURNS_PER_JOB = 5
_DELAYED_SHARE = 1 / 3  # of the time of a job; the rest is left for the run
_GOLDEN_RATIO = 0.6180339887  # its multiples lie evenly in any interval


class OverloadControl:
    """Refuses new jobs while the event loop of this host is late.

    Until two turns of the loop in a row are late, every job is accepted. What was
    accepted is never dropped.

    Args:
        now: The clock of the process, s.
        cores: CPU capacity of the host.
    """

    def __init__(self, now: float, cores: float) -> None:
        self._meter = LoopMeter(now, cores)
        self._share = AcceptedShare()
        self._arrivals = Arrivals()
        self._late_since: float | None = None
        self._calm_since = self._logged_at = now
        self._begin_logged = True
        self._accepted = self._refused = self._refused_logged = 0
        self._refused_by_source = {"caller": 0, "offer": 0}
        self._returns = 0

    @property
    def late(self) -> bool:
        """Whether this host refuses new jobs, or did so in the last second."""
        return self._late_since is not None

    @property
    def refused(self) -> Mapping[str, int]:
        """Count of new jobs refused since the start, by who sent them."""
        return self._refused_by_source

    def delay_s(self, now: float) -> float:
        """Return how late the event loop is, s."""
        return self._meter.delay_s(now)

    def accepted_share(self, now: float) -> float:
        """Return the share of new jobs that is accepted now, from 0 to 1."""
        if self._late_since is None:
            return 1.0
        return self._share.at(self._meter.delay_s(now), self._meter.target_s)

    def expect_turn(self, due: float) -> None:
        """Record when the next turn of the loop is due, s."""
        self._meter.expect_turn(due)

    def note_turn(self, now: float, processor_total_s: float) -> list[LogDecision]:
        """Measure the delay at a turn of the loop; return the log lines.

        Args:
            now: The clock of the process, s.
            processor_total_s: Processor time of the process since its start, s.
        """
        late = self._meter.is_late(now)
        self._meter.note_turn(now, processor_total_s)
        delay_s, target_s = self._meter.delay_s(now), self._meter.target_s
        if self._late_since is None:
            if not late:
                return []
            self._begin(now)
        self._share.update(now, delay_s, target_s)
        if not self._begin_logged:
            self._begin_logged = True
            began = OverloadBegan(round(delay_s, 3), round(self._meter.busy, 2))
            return [LogDecision(began)]
        if self._share.at(delay_s, target_s) < 1.0:
            self._calm_since = now
        if now - self._calm_since >= _CALM_S:
            ended = OverloadEnded(round(now - self._late_since, 3), self._refused)
            self._late_since = None
            return [LogDecision(ended)]
        return self._progress(now, delay_s)

    def find_refusal(
        self,
        now: float,
        priority: int = 0,
        source: str = "caller",
        limit_s: float = 0.0,
    ) -> Shed | None:
        """Return why a new job is refused, or `None` if it is accepted.

        Args:
            now: The clock of the process, s.
            priority: Priority of its route; 0 is the best.
            source: Who sends it: `caller` or `offer`.
            limit_s: Time in which it is to be answered, s. A job that can bear the
                delay is accepted.
        """
        if self._late_since is None:
            if not self._meter.is_late(now):
                return None
            self._begin(now)
        delay_s = self._meter.delay_s(now)
        if _TURNS_PER_JOB * delay_s <= _DELAYED_SHARE * limit_s:
            self._accepted += 1
            return None
        share = self._share.at(delay_s, self._meter.target_s)
        if self._arrivals.accept(now, priority, share):
            self._accepted += 1
            return None
        self._refused += 1
        self._refused_by_source[source] += 1
        detail = f"this host is {delay_s:.2f} s late and takes {share:.0%} of new jobs"
        return Shed(detail, self._retry_after_s(share))

    def _begin(self, now: float) -> None:
        """Begin to refuse new jobs."""
        self._late_since = self._calm_since = self._logged_at = now
        self._begin_logged = False
        self._accepted = self._refused = self._refused_logged = 0

    def _retry_after_s(self, share: float) -> float:
        """Return when to retry; consecutive times are spread evenly."""
        self._returns += 1
        spread_s = min(1.0 / share, _LONGEST_SPREAD_S)
        return _RETRY_AFTER_S + spread_s * (self._returns * _GOLDEN_RATIO % 1.0)

    def _progress(self, now: float, delay_s: float) -> list[LogDecision]:
        """Return the line on an overload that goes on, if it is due."""
        if now - self._logged_at < _PROGRESS_INTERVAL_S:
            return []
        self._logged_at = now
        share = self._share.at(delay_s, self._meter.target_s)
        progress = OverloadProgress(
            round(delay_s, 3),
            round(self._meter.busy, 2),
            round(share, 3),
            self._accepted,
            self._refused - self._refused_logged,
        )
        self._accepted, self._refused_logged = 0, self._refused
        return [LogDecision(progress)]
