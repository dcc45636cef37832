"""Decisions of the health slice."""

from typing import NamedTuple

from poplarhill.types import TaskId


class WorkerEjected(NamedTuple):
    """Decision: eject a worker; it gets no tasks except single probes.

    Attributes:
        worker: Name of the worker.
        score: Evidence that it is failing, nats.
        threshold: Evidence required for an ejection, nats; lower if peers suspect
            the worker.
        baseline: Failure ratio of the other workers of its service.
        failed_jobs: Count of jobs that failed on this worker and on no other.
        suspected_by: Names of the peers that suspect it too.
        pause_s: Time until the first probe, s.
    """

    worker: str
    score: float
    threshold: float
    baseline: float
    failed_jobs: int
    suspected_by: tuple[str, ...]
    pause_s: float


class WorkerProbed(NamedTuple):
    """Decision: probe an ejected worker with one task of an idempotent job.

    Attributes:
        worker: Name of the worker.
        task: The task.
        successes: Count of consecutive successful probes so far.
    """

    worker: str
    task: TaskId
    successes: int


class WorkerRestored(NamedTuple):
    """Decision: restore an ejected worker; it gets tasks again.

    Attributes:
        worker: Name of the worker.
        probes: Count of consecutive successful probes.
    """

    worker: str
    probes: int


Decision = WorkerEjected | WorkerProbed | WorkerRestored
