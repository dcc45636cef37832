"""Run times learned from answers: per service, and each worker against it.

Times are averaged as logarithms, by exponentially weighted moving averages, so
that a few long tasks do not hide what most take.
"""

import math
from dataclasses import dataclass, field

from poplarhill.types import TaskId

SERVICE_WEIGHT = 0.02
"""Weight of one answer in the average of its service."""

WORKER_WEIGHT = 0.1
"""Weight of one answer in the average of its worker."""

FORGET_HALF_S = 10.0
"""Time in which a worker without answers loses half of its slowdown, s."""

_SHORTEST_S = 1e-4
_P99_DEVIATIONS = 2.33
_STALL_FACTOR = 2.0


@dataclass
class ServiceTimes:
    """Run times of one service.

    Attributes:
        log_mean: Average logarithm of the run time.
        log_variance: Variance of the logarithm.
        count: Answers so far.
        worker_sum: Sum of its workers' averages.
        workers: Count of workers in that sum.
    """

    log_mean: float = 0.0
    log_variance: float = 0.0
    count: int = 0
    worker_sum: float = 0.0
    workers: int = 0

    def add(self, log_time: float) -> None:
        """Take one answer."""
        self.count += 1
        weight = max(SERVICE_WEIGHT, 1 / self.count)
        error = log_time - self.log_mean
        self.log_mean += weight * error
        self.log_variance += weight * (error * error - self.log_variance)

    @property
    def mean_s(self) -> float:
        """The mean run time, s, of times whose logarithms are normal."""
        return math.exp(self.log_mean + self.log_variance / 2)

    @property
    def p50_s(self) -> float:
        """The median run time, s."""
        return math.exp(self.log_mean)

    @property
    def p99_s(self) -> float:
        """A run time that few tasks exceed, s."""
        deviation = math.sqrt(max(self.log_variance, 0.0))
        return math.exp(self.log_mean + _P99_DEVIATIONS * deviation)


@dataclass
class WorkerTimes:
    """Run times of one worker.

    Attributes:
        log_mean: Average logarithm of the run time.
        count: Answers so far.
        answered: When the last answer came, s.
        running: Start times of the tasks sent and not answered, in order, s.
    """

    log_mean: float = 0.0
    count: int = 0
    answered: float = 0.0
    running: dict[TaskId, float] = field(default_factory=dict)


class RunTimes:
    """Run times of every service and worker, as this host sees them."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceTimes] = {}
        self._workers: dict[str, WorkerTimes] = {}

    def service(self, name: str) -> ServiceTimes | None:
        """Return the run times of a service, once there are any."""
        return self._services.get(name)

    def mean_s(self, service: str) -> float:
        """Return the mean run time of a service, s; 0 before the first answer."""
        times = self._services.get(service)
        return times.mean_s if times is not None else 0.0

    def keep(self, workers: frozenset[str]) -> None:
        """Forget the workers that are no longer configured."""
        for name in self._workers.keys() - workers:
            del self._workers[name]

    def sent(self, now: float, task: TaskId, worker: str) -> None:
        """Note that a task was sent."""
        self._workers.setdefault(worker, WorkerTimes()).running[task] = now

    def forget_running(self) -> None:
        """Forget when the tasks that run were sent."""
        for times in self._workers.values():
            times.running.clear()

    def ended(self, task: TaskId, worker: str) -> float | None:
        """Note that a task is no longer on a worker; return when it was sent, s."""
        times = self._workers.get(worker)
        return times.running.pop(task, None) if times is not None else None

    def answered(self, now: float, service: str, worker: str, run_s: float) -> None:
        """Take the run time of a task that succeeded."""
        log_time = math.log(max(run_s, _SHORTEST_S))
        whole = self._services.setdefault(service, ServiceTimes())
        whole.add(log_time)
        times = self._workers.setdefault(worker, WorkerTimes())
        if not times.count:
            whole.workers += 1
            times.log_mean = whole.log_mean
            whole.worker_sum += times.log_mean
        times.count += 1
        times.answered = now
        change = WORKER_WEIGHT * (log_time - times.log_mean)
        times.log_mean += change
        whole.worker_sum += change

    def slowdown(self, now: float, service: str, worker: str) -> float:
        """Return a worker's run time against its service; 1 is normal."""
        whole = self._services.get(service)
        times = self._workers.get(worker)
        if whole is None or times is None or not whole.workers:
            return 1.0
        learned = 1.0
        if times.count:
            excess = times.log_mean - whole.worker_sum / whole.workers
            idle = max(0.0, now - times.answered)
            learned = math.exp(excess * 0.5 ** (idle / FORGET_HALF_S))
        return max(learned, self._stall(now, whole, times))

    def _stall(self, now: float, whole: ServiceTimes, times: WorkerTimes) -> float:
        """Return the slowdown that the oldest unanswered task shows so far."""
        if not times.running:
            return 0.0
        age = now - next(iter(times.running.values()))
        if age < _STALL_FACTOR * whole.p99_s:
            return 0.0
        return age / whole.p50_s
