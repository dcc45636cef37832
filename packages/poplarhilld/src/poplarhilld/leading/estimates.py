"""Run times learned from what was seen, by route and by worker."""

from typing import NamedTuple

_ROUTE_WEIGHT = 0.05  # of the newest run: about twenty runs back are felt
_WORKER_WEIGHT = 0.1  # a worker that turns slow is known after some ten runs
_SLOWEST = 8.0  # bound on a learned slowdown; the sheets' slow workers have 6.6
_FASTEST = 0.5  # the sheets' fastest workers have 0.8


class _Ratio(NamedTuple):
    value: float
    samples: int


class RunTimes:
    """How long tasks run.

    Declared run times are off by up to a half, so what is learned is the ratio
    of seen to declared time for each route, and of seen to expected time for
    each worker.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _Ratio] = {}
        self._workers: dict[str, _Ratio] = {}

    def expected_s(self, route: str, declared_s: float) -> float:
        """Return the time that a task of a route takes on a usual worker, s."""
        ratio = self._routes.get(route)
        return declared_s * (ratio.value if ratio else 1.0)

    def slowdown(self, worker: str) -> float:
        """Return how slow a worker is; 1 is usual, higher is slower."""
        ratio = self._workers.get(worker)
        return ratio.value if ratio else 1.0

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone."""
        self._workers.pop(worker, None)

    def ran(self, route: str, worker: str, declared_s: float, took_s: float) -> None:
        """Learn from a task that was done."""
        if declared_s <= 0 or took_s <= 0:
            return
        expected_s = self.expected_s(route, declared_s)
        slowdown = min(_SLOWEST, max(_FASTEST, took_s / expected_s))
        self._workers[worker] = _blend(
            self._workers.get(worker), slowdown, _WORKER_WEIGHT
        )
        usual_s = took_s / self.slowdown(worker)
        self._routes[route] = _blend(
            self._routes.get(route), usual_s / declared_s, _ROUTE_WEIGHT
        )


def _blend(ratio: _Ratio | None, seen: float, least_weight: float) -> _Ratio:
    """Return a ratio moved towards what was seen, the first samples further."""
    value, samples = ratio or _Ratio(1.0, 0)
    weight = max(least_weight, 1 / (samples + 2))
    return _Ratio(value + (seen - value) * weight, samples + 1)
