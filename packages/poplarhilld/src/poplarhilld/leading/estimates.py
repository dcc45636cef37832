"""Run times learned from what was seen, by route and by worker.

All is kept as logarithms, in which a run is a sum: route, job, worker, and
chance. A worker shows itself best beside others: tasks of one job share its
error, so that their differences are the workers'. What a job declares is worth
as much as the line that fits its route best: declared times that tell nothing
give the route's usual time.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

_ROUTE_WEIGHT = 0.02  # of the newest job: about fifty jobs back are felt
_FIRST_SAMPLES = 4  # for which a declaration is believed, before any is seen
_FIRST_VARIANCE = 0.16  # of work around its mean, on the sheets
_JOB_VARIANCE = 0.1  # of a job's run time around what is expected of it
_TASK_VARIANCE = 0.008  # tasks of a job differ by up to 15 %
_DELAY_S = 0.01  # by how much the news of an end varies
_WORKER_VARIANCE = 0.03  # of speeds from 0.8 to 1.25
_DRIFT = 0.0005  # variance that a worker gains with each run
_SURPRISE = 3.0  # standard deviations beyond which a worker has changed
_CHANGED_VARIANCE = 0.3  # a worker may turn slow by a factor of 4 to 8
_LARGEST_STEP = math.log(2.0)  # one strange job proves nothing
_SLOWEST = math.log(8.0)  # the slowest grey workers of the sheets
_OFF_CENTRE = 0.05  # a tenth of the difference between the sheets' speeds
_FASTEST = math.log(0.5)  # the sheets' fastest workers have 0.8


class SeenRun(NamedTuple):
    """A run that was done.

    Attributes:
        worker: Its worker.
        declared_s: Declared run time, s.
        took_s: Time it took, s.
    """

    worker: str
    declared_s: float
    took_s: float


class _Estimate(NamedTuple):
    mean: float
    variance: float


class _Line(NamedTuple):
    """Declared against usual run times of a route, as running moments."""

    declared: float = 0.0
    usual: float = 0.0
    variance: float = _FIRST_VARIANCE
    covariance: float = _FIRST_VARIANCE
    samples: int = 0

    def expected(self, declared: float) -> float:
        """Return what is expected of a declared time, both as logarithms."""
        if not self.samples:
            return declared
        slope = self.covariance / self.variance if self.variance > 0 else 0.0
        slope = min(1.0, max(0.0, slope))
        return self.usual + slope * (declared - self.declared)

    def moved(self, declared: float, usual: float) -> "_Line":
        """Return the line after one more job, the first of them further."""
        if not self.samples:
            return self._replace(declared=declared, usual=usual, samples=1)
        weight = max(_ROUTE_WEIGHT, 1 / (self.samples + 1))
        spread = max(_ROUTE_WEIGHT, 1 / (self.samples + _FIRST_SAMPLES))
        x, y = declared - self.declared, usual - self.usual
        return _Line(
            self.declared + weight * x,
            self.usual + weight * y,
            self.variance + spread * (x * x - self.variance),
            self.covariance + spread * (x * y - self.covariance),
            self.samples + 1,
        )


_UNKNOWN_WORKER = _Estimate(0.0, _WORKER_VARIANCE)
_UNKNOWN_ROUTE = _Line()


class _Shown(NamedTuple):
    """What the runs of a job on one worker show.

    Attributes:
        worker: The worker.
        ratio: Mean of the logarithms of seen over expected time.
        declared: Mean of the logarithms of the declared times.
        usual: Mean of the logarithms of the times on a usual worker.
        noise: Variance of the ratio by chance.
    """

    worker: str
    ratio: float
    declared: float
    usual: float
    noise: float


class RunTimes:
    """How long tasks run."""

    def __init__(self) -> None:
        self._routes: dict[str, _Line] = {}
        self._workers: dict[str, _Estimate] = {}
        self._slowdowns: dict[str, float] = {}

    def expected_s(self, route: str, declared_s: float) -> float:
        """Return the time that a task of a route takes on a usual worker, s."""
        line = self._routes.get(route)
        if line is None or declared_s <= 0:
            return declared_s
        return math.exp(line.expected(math.log(declared_s)))

    def slowdown(self, worker: str) -> float:
        """Return how slow a worker is; 1 is usual, higher is slower."""
        return self._slowdowns.get(worker, 1.0)

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone."""
        self._workers.pop(worker, None)
        self._slowdowns.pop(worker, None)

    def ran(self, route: str, runs: Iterable[SeenRun]) -> None:
        """Learn from the runs of one job, once no more of them will be known."""
        line = self._routes.get(route, _UNKNOWN_ROUTE)
        shown = [
            _shown(worker, self._estimate(worker).mean, seen, line)
            for worker, seen in _by_worker(runs).items()
        ]
        if not shown:
            return
        before = {one.worker: self._estimate(one.worker) for one in shown}
        precision = 1 / _JOB_VARIANCE
        total = 0.0
        for one in shown:
            variance = before[one.worker].variance + one.noise
            precision += 1 / variance
            total += (one.ratio - before[one.worker].mean) / variance
        for one in shown:
            variance = before[one.worker].variance + one.noise
            others = precision - 1 / variance
            offset = one.ratio - before[one.worker].mean
            job = _Estimate((total - offset / variance) / others, 1 / others)
            self._learn_worker(one, before[one.worker], job)
        self._routes[route] = line.moved(
            sum(one.declared for one in shown) / len(shown),
            sum(one.usual for one in shown) / len(shown),
        )
        self._centre()

    def _estimate(self, worker: str) -> _Estimate:
        return self._workers.get(worker, _UNKNOWN_WORKER)

    def _learn_worker(self, one: _Shown, before: _Estimate, job: _Estimate) -> None:
        variance = before.variance + _DRIFT
        surprise = one.ratio - job.mean - before.mean
        noise = job.variance + one.noise
        if surprise * surprise > _SURPRISE * _SURPRISE * (variance + noise):
            variance = _CHANGED_VARIANCE
        gain = variance / (variance + noise)
        step = max(-_LARGEST_STEP, min(_LARGEST_STEP, gain * surprise))
        mean = max(_FASTEST, min(_SLOWEST, before.mean + step))
        self._workers[one.worker] = _Estimate(mean, (1 - gain) * variance)
        self._slowdowns[one.worker] = math.exp(mean)

    def _centre(self) -> None:
        """Keep the usual worker at 1: only the sum of all parts can be seen."""
        means = [estimate.mean for estimate in self._workers.values()]
        shift = sum(means) / len(means)
        if abs(shift) < _OFF_CENTRE:
            return
        for name, (mean, variance) in self._workers.items():
            self._workers[name] = _Estimate(mean - shift, variance)
            self._slowdowns[name] = math.exp(mean - shift)
        for route, line in self._routes.items():
            self._routes[route] = line._replace(usual=line.usual + shift)


def _by_worker(runs: Iterable[SeenRun]) -> dict[str, list[SeenRun]]:
    found: dict[str, list[SeenRun]] = {}
    for run in runs:
        if run.declared_s > 0 and run.took_s > 0:
            found.setdefault(run.worker, []).append(run)
    return found


def _shown(worker: str, slowness: float, runs: list[SeenRun], line: _Line) -> _Shown:
    declared = [math.log(run.declared_s) for run in runs]
    took = [math.log(run.took_s) for run in runs]
    expected = sum(line.expected(one) for one in declared) / len(runs)
    chance = sum(_chance(run.took_s) for run in runs) / len(runs)
    mean = sum(took) / len(runs)
    return _Shown(
        worker,
        mean - expected,
        sum(declared) / len(runs),
        mean - slowness,
        chance / len(runs),
    )


def _chance(took_s: float) -> float:
    """Return the variance that chance and the news of an end add to a run."""
    return _TASK_VARIANCE + (_DELAY_S / took_s) ** 2
