"""Estimates the run times of services, and of each worker relative to its service.

The estimates are exponentially weighted moving averages of the logarithms of run
times, so that a few long tasks do not dominate them.
"""

import math
from dataclasses import dataclass, field

from poplarhill.types import TaskId

SERVICE_WEIGHT = 0.02
"""Weight of one run time in the average of its service; the first ones weigh more."""

WORKER_WEIGHT = 0.1
"""Weight of one run time in the average of its worker."""

SLOWDOWN_HALF_LIFE_S = 10.0
"""Time without results in which the logarithm of a worker's slowdown halves, s."""

_MIN_RUN_TIME_S = 1e-4
_P99_DEVIATIONS = 2.33
_STALL_FACTOR = 2.0


@dataclass
class ServiceTimes:
    """Estimated run times of one service.

    Attributes:
        log_mean: Average logarithm of the run time.
        log_variance: Variance of the logarithm.
        count: Count of run times recorded so far.
        worker_sum: Sum of the `log_mean` of its workers, including removed ones.
        workers: Count of workers in that sum.
    """

    log_mean: float = 0.0
    log_variance: float = 0.0
    count: int = 0
    worker_sum: float = 0.0
    workers: int = 0

    def add(self, log_time: float) -> None:
        """Add the logarithm of one run time."""
        self.count += 1
        weight = max(SERVICE_WEIGHT, 1 / self.count)
        error = log_time - self.log_mean
        self.log_mean += weight * error
        self.log_variance += weight * (error * error - self.log_variance)

    @property
    def mean_s(self) -> float:
        """The mean run time, s, assuming a log-normal distribution."""
        return math.exp(self.log_mean + self.log_variance / 2)

    @property
    def p50_s(self) -> float:
        """The median run time, s."""
        return math.exp(self.log_mean)

    @property
    def p99_s(self) -> float:
        """The 99th percentile of a log-normal distribution of the run time, s."""
        deviation = math.sqrt(max(self.log_variance, 0.0))
        return math.exp(self.log_mean + _P99_DEVIATIONS * deviation)


@dataclass
class WorkerTimes:
    """Estimated run times of one worker.

    Attributes:
        log_mean: Average logarithm of the run time.
        count: Count of run times recorded so far.
        last_result_at: When the last result arrived, s.
        running: When each task in flight was sent, s, in the order of sending.
    """

    log_mean: float = 0.0
    count: int = 0
    last_result_at: float = 0.0
    running: dict[TaskId, float] = field(default_factory=dict)


class RunTimes:
    """Run times of every service and worker, as observed by this host."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceTimes] = {}
        self._workers: dict[str, WorkerTimes] = {}

    def service(self, name: str) -> ServiceTimes | None:
        """Return the run times of a service, or None before the first result."""
        return self._services.get(name)

    def mean_s(self, service: str) -> float:
        """Return the mean run time of a service, s; 0 before the first result."""
        times = self._services.get(service)
        return times.mean_s if times is not None else 0.0

    def retain(self, workers: frozenset[str]) -> None:
        """Discard the run times of all workers except the given ones.

        The averages of the services still include the discarded ones.
        """
        for name in self._workers.keys() - workers:
            del self._workers[name]

    def sent(self, now: float, task: TaskId, worker: str) -> None:
        """Record that a task was sent."""
        self._workers.setdefault(worker, WorkerTimes()).running[task] = now

    def forget_running(self) -> None:
        """Discard the send times of the tasks in flight."""
        for times in self._workers.values():
            times.running.clear()

    def ended(self, task: TaskId, worker: str) -> float | None:
        """Record that a task is no longer in flight.

        Returns:
            When it was sent, s, or None if that is not known.
        """
        times = self._workers.get(worker)
        return times.running.pop(task, None) if times is not None else None

    def record_success(
        self, now: float, service: str, worker: str, run_s: float
    ) -> None:
        """Record the run time of a task that succeeded."""
        log_time = math.log(max(run_s, _MIN_RUN_TIME_S))
        service_times = self._services.setdefault(service, ServiceTimes())
        service_times.add(log_time)
        times = self._workers.setdefault(worker, WorkerTimes())
        if not times.count:
            service_times.workers += 1
            times.log_mean = service_times.log_mean
            service_times.worker_sum += times.log_mean
        times.count += 1
        times.last_result_at = now
        change = WORKER_WEIGHT * (log_time - times.log_mean)
        times.log_mean += change
        service_times.worker_sum += change

    def slowdown(self, now: float, service: str, worker: str) -> float:
        """Return a worker's run time relative to its service; 1 is normal."""
        service_times = self._services.get(service)
        times = self._workers.get(worker)
        if service_times is None or times is None or not service_times.workers:
            return 1.0
        learned = 1.0
        if times.count:
            excess = times.log_mean - service_times.worker_sum / service_times.workers
            idle = max(0.0, now - times.last_result_at)
            learned = math.exp(excess * 0.5 ** (idle / SLOWDOWN_HALF_LIFE_S))
        return max(learned, self._stall_slowdown(now, service_times, times))

    def _stall_slowdown(
        self, now: float, service_times: ServiceTimes, times: WorkerTimes
    ) -> float:
        """Return the slowdown implied by the age of the oldest task in flight.

        It is 0 until that age exceeds a multiple of the 99th percentile.
        """
        if not times.running:
            return 0.0
        age = now - next(iter(times.running.values()))
        if age < _STALL_FACTOR * service_times.p99_s:
            return 0.0
        return age / service_times.p50_s
