"""Arrival rates, sizes and timeouts of the jobs of each route or service."""

import math

_MEMORY_S = 10.0  # time constant; traffic changes within about ten seconds
_WORK_MEMORY_S = 1.5  # a burst lasts some seconds
_FIRST_RATE = 0.1  # jobs per second of a route without any job so far
_RECENT_TIMEOUTS = 16  # jobs of a route whose timeouts are compared
_TIMEOUT_DECIMALS = 2  # timeouts that differ by less than 10 ms count as equal


class _RecentTimeouts:
    """Timeouts of the last callers of a route.

    Attributes:
        usual_s: The one of half of them or more, s; 0 if there is none.
    """

    def __init__(self) -> None:
        self.usual_s = 0.0
        self._recent: list[float | None] = [None] * _RECENT_TIMEOUTS
        self._next = 0
        self._counts: dict[float, int] = {}

    def note(self, timeout_s: float) -> bool:
        """Note the timeout of a caller, s; return whether the usual one changed."""
        # Usually all are the same, so that case makes no calls.
        oldest_s = self._recent[self._next]
        self._recent[self._next] = timeout_s
        self._next = (self._next + 1) % _RECENT_TIMEOUTS
        if oldest_s == timeout_s:
            return False
        counts = self._counts
        if oldest_s is not None:
            counts[oldest_s] -= 1
            if not counts[oldest_s]:
                del counts[oldest_s]
        counts[timeout_s] = counts.get(timeout_s, 0) + 1
        least = sum(counts.values()) / 2
        common = [value for value, number in counts.items() if number >= least]
        before_s, self.usual_s = self.usual_s, max(common, default=0.0)
        return self.usual_s != before_s


class Demand:
    """Moving averages of the jobs of routes and services; older jobs weigh less."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}
        self._mean_core_seconds: dict[str, float] = {}
        self._work_rates: dict[str, tuple[float, float]] = {}
        self._timeouts: dict[str, _RecentTimeouts] = {}

    def note_arrival(self, now: float, route: str, core_seconds: float) -> None:
        """Note a new job.

        Args:
            now: The leader's clock, s.
            route: Its route.
            core_seconds: Its expected work, core-seconds.
        """
        rate = self.rate(now, route) + 1 / _MEMORY_S
        self._rates[route] = (rate, now)
        mean = self._mean_core_seconds.get(route, core_seconds)
        self._mean_core_seconds[route] = mean + (core_seconds - mean) / _MEMORY_S

    def usual_timeout_s(self, route: str) -> float:
        """Return the timeout of half of the recent callers of a route or more, s.

        Returns:
            0 if there is none, because callers state times of their own.
        """
        if route not in self._timeouts:
            return 0.0
        return self._timeouts[route].usual_s

    def note_timeout(self, route: str, timeout_s: float) -> bool:
        """Note the timeout of the caller of a new job, s.

        Returns:
            Whether the usual timeout of the route has changed.
        """
        if route not in self._timeouts:
            self._timeouts[route] = _RecentTimeouts()
        return self._timeouts[route].note(round(timeout_s, _TIMEOUT_DECIMALS))

    def rate(self, now: float, route: str) -> float:
        """Return the recent arrival rate of a route, jobs per second."""
        rate, since = self._rates.get(route, (_FIRST_RATE, now))
        return max(_FIRST_RATE, rate * math.exp((since - now) / _MEMORY_S))

    def note_work(self, now: float, service: str, core_seconds: float) -> None:
        """Note the expected work of a new job of a service, core-seconds."""
        rate = self.work_rate(now, service) + core_seconds / _WORK_MEMORY_S
        self._work_rates[service] = (rate, now)

    def work_rate(self, now: float, service: str) -> float:
        """Return the work that arrives for a service, core-seconds per second."""
        rate, since = self._work_rates.get(service, (0.0, now))
        return rate * math.exp((since - now) / _WORK_MEMORY_S)

    def relative_size(self, route: str, core_seconds: float) -> float:
        """Return the work of a job relative to the mean of its route."""
        mean = self._mean_core_seconds.get(route, core_seconds)
        return core_seconds / mean if mean > 0 else 1.0
