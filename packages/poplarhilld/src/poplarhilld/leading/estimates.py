"""Estimates of run times, learned from completed runs by route and by worker.

All values are logarithms, so that a run time is a sum of the effects of its
route, job and worker, and of noise. Tasks of one job share the error of its
declared run time; a difference between them on two workers is therefore a
difference between the workers. The declared time of a job is corrected by a linear
regression over the jobs of its route: if declared times do not correlate with
run times, the estimate is the usual run time of the route.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

USUAL_SLOWDOWN = 1.0  # of a worker of which nothing is known
_SLOWDOWN_DIGITS = 1  # estimates are not more precise
_MIN_SAMPLE_WEIGHT = 0.02  # of the newest job; averages over about 50 jobs
_PRIOR_SAMPLES = 4  # weight, in jobs, of the assumption that declared times are right
# Assumed at first: variance of the declared times of the jobs of a route, and their
# covariance with the run times.
_PRIOR_VARIANCE = 0.16
_JOB_VARIANCE = 0.1  # of a job's run time around its estimate
_TASK_VARIANCE = 0.008  # tasks of a job differ by up to 15 %
_REPORT_JITTER_S = 0.01  # variation of the delay until an end is reported
_WORKER_VARIANCE = 0.03  # slowdowns of healthy workers range from 0.8 to 1.25
_DRIFT_VARIANCE = 0.0005  # added to the variance of a worker with each job
_MAX_DEVIATIONS = 3.0  # standard deviations; beyond, the speed of a worker has changed
# Of a worker whose speed has changed; it may be slower by a factor of 4 to 8.
_CHANGED_VARIANCE = 0.3
_MAX_STEP = math.log(2.0)  # limits the effect of one outlier job
_MAX_LOG_SLOWDOWN = math.log(8.0)  # the slowest degraded workers take 8 times as long
_RECENTRE_THRESHOLD = 0.05  # a tenth of the range of healthy workers
_MIN_LOG_SLOWDOWN = math.log(0.5)  # well below the 0.8 of the fastest healthy workers


class CompletedRun(NamedTuple):
    """A run that has completed successfully.

    Attributes:
        worker: Name of its worker.
        declared_s: Declared run time, s.
        took_s: Measured run time, s.
    """

    worker: str
    declared_s: float
    took_s: float


class _Estimate(NamedTuple):
    mean: float
    variance: float


class _Regression(NamedTuple):
    """Linear regression of run times on declared times for one route.

    It is kept as exponentially weighted moments; all values are logarithms.

    Attributes:
        declared: Mean of the declared times.
        usual: Mean of the run times on a usual worker.
        variance: Variance of the declared times.
        covariance: Covariance of declared times and run times.
        samples: Count of jobs.
    """

    declared: float = 0.0
    usual: float = 0.0
    variance: float = _PRIOR_VARIANCE
    covariance: float = _PRIOR_VARIANCE
    samples: int = 0

    def expected(self, declared: float) -> float:
        """Return the expected run time for a declared time, both as logarithms."""
        if not self.samples:
            return declared
        slope = self.covariance / self.variance if self.variance > 0 else 0.0
        slope = _clamp(slope, 0.0, 1.0)
        return self.usual + slope * (declared - self.declared)

    def updated(self, declared: float, usual: float) -> "_Regression":
        """Return the regression with one more job; the first jobs weigh more."""
        if not self.samples:
            return self._replace(declared=declared, usual=usual, samples=1)
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / (self.samples + 1))
        moment_weight = max(_MIN_SAMPLE_WEIGHT, 1 / (self.samples + _PRIOR_SAMPLES))
        x, y = declared - self.declared, usual - self.usual
        return _Regression(
            self.declared + weight * x,
            self.usual + weight * y,
            self.variance + moment_weight * (x * x - self.variance),
            self.covariance + moment_weight * (x * y - self.covariance),
            self.samples + 1,
        )


_PRIOR_WORKER = _Estimate(0.0, _WORKER_VARIANCE)
_PRIOR_ROUTE = _Regression()


class _WorkerSample(NamedTuple):
    """The runs of one job on one worker, summarized.

    Attributes:
        worker: Name of the worker.
        ratio: Mean of the logarithms of measured over expected run times.
        declared: Mean of the logarithms of the declared times.
        usual: Mean of the logarithms of the run times on a usual worker.
        noise: Variance of `ratio` due to noise.
    """

    worker: str
    ratio: float
    declared: float
    usual: float
    noise: float


class RunTimes:
    """Estimates of the run times of routes and of the speed of workers.

    Args:
        note_change: Called with the name of a worker whose rounded slowdown changes.
    """

    def __init__(
        self, note_change: Callable[[str], object] = lambda worker: None
    ) -> None:
        self._note_change = note_change
        self._routes: dict[str, _Regression] = {}
        self._workers: dict[str, _Estimate] = {}
        self._slowdowns: dict[str, float] = {}
        self._rounded_slowdowns: dict[str, float] = {}

    @property
    def rounded_slowdowns(self) -> Mapping[str, float]:
        """Slowdowns of the known workers, as precisely as they can be estimated."""
        return self._rounded_slowdowns

    def expected_s(self, route: str, declared_s: float) -> float:
        """Return the expected run time of a task on a usual worker, s."""
        regression = self._routes.get(route)
        if regression is None or declared_s <= 0:
            return declared_s
        return math.exp(regression.expected(math.log(declared_s)))

    def slowdown(self, worker: str) -> float:
        """Return the slowdown of a worker: 1 is usual, higher is slower."""
        return self._slowdowns.get(worker, USUAL_SLOWDOWN)

    def forget(self, worker: str) -> None:
        """Forget a worker that this host no longer leads."""
        self._workers.pop(worker, None)
        self._slowdowns.pop(worker, None)
        self._rounded_slowdowns.pop(worker, None)
        self._note_change(worker)

    def learn(self, route: str, runs: Iterable[CompletedRun]) -> None:
        """Update the estimates with the runs of one job, once the job is closed."""
        regression = self._routes.get(route, _PRIOR_ROUTE)
        worker_samples: list[_WorkerSample] = []
        before: dict[str, _Estimate] = {}
        for worker, worker_runs in _by_worker(runs).items():
            estimate = before[worker] = self._estimate(worker)
            worker_samples.append(
                _sample(worker, estimate.mean, worker_runs, regression)
            )
        if not worker_samples:
            return
        precision = 1 / _JOB_VARIANCE
        weighted_sum = declared = usual = 0.0
        for sample in worker_samples:
            declared += sample.declared
            usual += sample.usual
            variance = before[sample.worker].variance + sample.noise
            precision += 1 / variance
            weighted_sum += (sample.ratio - before[sample.worker].mean) / variance
        for sample in worker_samples:
            variance = before[sample.worker].variance + sample.noise
            other_precision = precision - 1 / variance
            offset = sample.ratio - before[sample.worker].mean
            # How far the job deviates from its estimate, by its runs on the other
            # workers. The rest of the deviation is attributed to this worker.
            job_mean = (weighted_sum - offset / variance) / other_precision
            self._learn_worker(
                sample, before[sample.worker], job_mean, 1 / other_precision
            )
        self._routes[route] = regression.updated(
            declared / len(worker_samples), usual / len(worker_samples)
        )
        self._centre()

    def _estimate(self, worker: str) -> _Estimate:
        return self._workers.get(worker, _PRIOR_WORKER)

    def _learn_worker(
        self,
        sample: _WorkerSample,
        before: _Estimate,
        job_mean: float,
        job_variance: float,
    ) -> None:
        variance = before.variance + _DRIFT_VARIANCE
        deviation = sample.ratio - job_mean - before.mean
        noise = job_variance + sample.noise
        if deviation * deviation > _MAX_DEVIATIONS * _MAX_DEVIATIONS * (
            variance + noise
        ):
            variance = _CHANGED_VARIANCE
        gain = variance / (variance + noise)
        step = _clamp(gain * deviation, -_MAX_STEP, _MAX_STEP)
        mean = _clamp(before.mean + step, _MIN_LOG_SLOWDOWN, _MAX_LOG_SLOWDOWN)
        self._workers[sample.worker] = _Estimate(mean, (1 - gain) * variance)
        self._set_slowdown(sample.worker, math.exp(mean))

    def _set_slowdown(self, worker: str, slowdown: float) -> None:
        self._slowdowns[worker] = slowdown
        rounded = round(slowdown, _SLOWDOWN_DIGITS)
        if self._rounded_slowdowns.get(worker) != rounded:
            self._rounded_slowdowns[worker] = rounded
            self._note_change(worker)

    def _centre(self) -> None:
        """Shift the estimates so that the mean worker has a slowdown of 1.

        Only the sum of the effects of route and worker can be measured, so that
        both would drift apart otherwise.
        """
        means = [estimate.mean for estimate in self._workers.values()]
        shift = sum(means) / len(means)
        if abs(shift) < _RECENTRE_THRESHOLD:
            return
        for name, (mean, variance) in self._workers.items():
            self._workers[name] = _Estimate(mean - shift, variance)
            self._set_slowdown(name, math.exp(mean - shift))
        for route, regression in self._routes.items():
            self._routes[route] = regression._replace(usual=regression.usual + shift)


def _clamp(value: float, least: float, most: float) -> float:
    if value < least:
        return least
    return most if value > most else value


def _by_worker(runs: Iterable[CompletedRun]) -> dict[str, list[CompletedRun]]:
    runs_of: dict[str, list[CompletedRun]] = {}
    for run in runs:
        if run.declared_s > 0 and run.took_s > 0:
            runs_of.setdefault(run.worker, []).append(run)
    return runs_of


def _sample(
    worker: str, log_slowdown: float, runs: list[CompletedRun], regression: _Regression
) -> _WorkerSample:
    declared = took = expected = noise = 0.0
    declared_s = log_declared = run_expected = 0.0
    for run in runs:
        if run.declared_s != declared_s:  # all runs of a step declare the same
            declared_s = run.declared_s
            log_declared = math.log(declared_s)
            run_expected = regression.expected(log_declared)
        declared += log_declared
        took += math.log(run.took_s)
        expected += run_expected
        noise += _noise_variance(run.took_s)
    count = len(runs)
    mean = took / count
    return _WorkerSample(
        worker,
        mean - expected / count,
        declared / count,
        mean - log_slowdown,
        noise / count / count,
    )


def _noise_variance(took_s: float) -> float:
    """Return the variance that noise and reporting delay add to a run time."""
    return _TASK_VARIANCE + (_REPORT_JITTER_S / took_s) ** 2
