"""Admission of jobs: whether this host takes a job, and why not."""

from collections.abc import Callable

from poplarhill.configuration import Configuration
from poplarhill.exceptions import ErrorKind, Failure
from poplarhill.types import JobSpec
from poplarhilld.limits import Backlog, Limits
from poplarhilld.placement import Placement, fits

_NOT_READY_RETRY_S = 1.0
_SHUTDOWN_RETRY_S = 0.1
_EVACUATED_RETRY_S = 1.0  # an operator may lift an evacuation at any time


class Admission:
    """Decides which jobs are admitted.

    Args:
        run_time_s: Returns the expected run time of a task of a service, s, or 0
            while it is unknown.
    """

    def __init__(self, run_time_s: Callable[[str], float]) -> None:
        self._run_time_s = run_time_s
        self._configuration: Configuration | None = None
        self._limits: Limits | None = None
        self._closed = False

    @property
    def open(self) -> bool:
        """Whether new jobs are accepted."""
        return self._configuration is not None and not self._closed

    def close(self) -> None:
        """Refuse all further jobs."""
        self._closed = True

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._configuration = configuration
        if self._limits is None:
            self._limits = Limits(configuration)
        else:
            self._limits.configure(configuration)

    def set_host_count(self, host_count: int) -> None:
        """Set the number of live entry hosts."""
        if self._limits is not None:
            self._limits.set_host_count(host_count)

    def admit(
        self, now: float, spec: JobSpec, placement: Placement | None
    ) -> Failure | None:
        """Return why a job is refused, or count it as in flight and return None."""
        if self._closed:
            detail = "this entry host is shutting down"
            return Failure(ErrorKind.SHUTTING_DOWN, detail, _SHUTDOWN_RETRY_S)
        if self._configuration is None or self._limits is None or placement is None:
            detail = "no configuration is known yet"
            return Failure(ErrorKind.NOT_READY, detail, _NOT_READY_RETRY_S)
        if spec.service not in self._configuration.services:
            return Failure(ErrorKind.UNKNOWN_SERVICE, f"no service {spec.service!r}")
        if spec.deadline <= now:
            return Failure(ErrorKind.EXPIRED, "the deadline has passed")
        if not _fits_any_worker(spec, placement):
            detail = "no worker is large enough for a task of this job"
            return Failure(ErrorKind.IMPOSSIBLE, detail)
        evacuated = self.evacuation_failure(spec, placement)
        if evacuated is not None:
            return evacuated
        return self._limits.admit(now, spec, self._backlog(now, spec, placement))

    def evacuation_failure(self, spec: JobSpec, placement: Placement) -> Failure | None:
        """Return the failure of a job that only evacuated workers could run, if so."""
        evacuated = self._configuration.evacuated
        if not evacuated:
            return None
        found = False
        for worker in placement.workers(spec.service):
            if fits(worker, spec.resources):
                if not worker.draining:
                    return None
                found = found or worker.data_centre in evacuated
        if not found:
            return None
        detail = "the workers that could run it are in evacuated data centres"
        return Failure(ErrorKind.NO_WORKERS, detail, _EVACUATED_RETRY_S)

    def release(self, spec: JobSpec) -> None:
        """Record that an admitted job has been answered."""
        if self._limits is not None:
            self._limits.release(spec)

    def _backlog(self, now: float, spec: JobSpec, placement: Placement) -> Backlog:
        slots = max(1, placement.slots(spec.service))
        run_time_s = self._run_time_s(spec.service)
        limit = placement.waiting_tasks(spec.service)
        if run_time_s:
            limit = int((spec.deadline - now) * slots / run_time_s) + 1
        return Backlog(
            tasks_queued=placement.waiting,
            tasks_ahead=placement.tasks_ahead(now, spec, limit),
            slots=slots,
            run_time_s=run_time_s,
        )


def _fits_any_worker(spec: JobSpec, placement: Placement) -> bool:
    workers = placement.workers(spec.service)
    return any(fits(worker, spec.resources) for worker in workers)
