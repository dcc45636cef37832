"""What the health slice decides."""

from typing import NamedTuple

from poplarhill.types import TaskId


class WorkerEjected(NamedTuple):
    """Decision: a worker gets no work but single probes.

    Attributes:
        worker: Its name.
        score: Evidence against it, nats.
        threshold: Evidence that was enough, nats; peers' suspicion lowers it.
        baseline: Failure ratio of the other workers of its service.
        failed_jobs: Jobs that failed there and nowhere else.
        suspected_by: Peers that suspect it too.
        pause_s: Time to the first probe, s.
    """

    worker: str
    score: float
    threshold: float
    baseline: float
    failed_jobs: int
    suspected_by: tuple[str, ...]
    pause_s: float


class WorkerProbed(NamedTuple):
    """Decision: one task of an idempotent job tries an ejected worker.

    Attributes:
        worker: Its name.
        task: The task.
        successes: Probes in a row that it has answered so far.
    """

    worker: str
    task: TaskId
    successes: int


class WorkerRestored(NamedTuple):
    """Decision: a worker gets work again.

    Attributes:
        worker: Its name.
        probes: Probes in a row that it has answered.
    """

    worker: str
    probes: int


Decision = WorkerEjected | WorkerProbed | WorkerRestored
