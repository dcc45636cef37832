"""State of the jobs that this host is responsible for.

A task goes from queued to sent to done, which means that it has succeeded or failed.
A task that was sent is queued again only if it is certain that no byte of it left this
host or that the worker did not start it.
A job has exactly one outcome. Unless the job is cancelled or overdue before, it is
decided when the last task succeeds or the first task fails.
"""

from enum import Enum

from poplarhill.exceptions import ErrorKind, Failure, RunState
from poplarhill.types import JobSpec, TaskId
from poplarhilld.jobs.messages import Completed
from poplarhilld.jobs.retries import MAX_SEND_ATTEMPTS

_RETRY_AFTER_S = 1.0


class TaskState(Enum):
    """Progress of a task."""

    QUEUED = "queued"
    SENT = "sent"
    DONE = "done"


class Job:
    """One submission and its tasks.

    Args:
        spec: The job as submitted.

    Attributes:
        send_by: Time by which its tasks must be sent, s.
    """

    def __init__(self, spec: JobSpec) -> None:
        self._spec = spec
        self._states = [TaskState.QUEUED] * len(spec.tasks)
        self._results: list[bytes] = [b""] * len(spec.tasks)
        self._workers: dict[int, str] = {}
        self._attempts = [0] * len(spec.tasks)
        self._succeeded = 0
        self._may_have_run = False
        self.send_by = spec.deadline

    @property
    def spec(self) -> JobSpec:
        """The job as submitted."""
        return self._spec

    @property
    def run_state(self) -> RunState:
        """Whether any task of the job may have started."""
        if self._may_have_run or self._workers:
            return RunState.MAY_HAVE_RUN
        return RunState.NOT_RUN

    @property
    def running(self) -> tuple[tuple[TaskId, str], ...]:
        """Tasks that are sent and not done, each with the name of its worker."""
        job_id = self._spec.job_id
        return tuple((TaskId(job_id, i), w) for i, w in self._workers.items())

    @property
    def has_queued(self) -> bool:
        """Whether any task of the job is queued."""
        return TaskState.QUEUED in self._states

    def attempts(self, index: int) -> int:
        """Return how often a task was handed to a worker's link."""
        return self._attempts[index]

    def mark_sent(self, index: int, worker: str) -> int:
        """Record that a task is handed to a worker's link.

        Returns:
            Number of the attempt, counted from 0.

        Raises:
            ValueError: The task is not queued.
        """
        if self._states[index] is not TaskState.QUEUED:
            raise ValueError(f"task {index} of {self._spec.job_id} sent twice")
        self._states[index] = TaskState.SENT
        self._workers[index] = worker
        self._attempts[index] += 1
        return self._attempts[index] - 1

    def mark_unsent(self, index: int) -> None:
        """Record that a sent task provably did not start; it is queued again."""
        self._states[index] = TaskState.QUEUED
        self._workers.pop(index, None)

    def mark_done(self, index: int, result: bytes) -> None:
        """Record the result of a task."""
        self._states[index] = TaskState.DONE
        self._workers.pop(index, None)
        self._results[index] = result
        self._succeeded += 1
        self._may_have_run = True

    def mark_failed(self, index: int) -> None:
        """Record that a task has ended without a result but may have run."""
        self._states[index] = TaskState.DONE
        self._workers.pop(index, None)
        self._may_have_run = True

    def mark_joined(self) -> None:
        """Record that another job with the same key does the work and may have run."""
        self._may_have_run = True

    def completed(self) -> Completed | None:
        """Return the outcome once every task has succeeded, else None."""
        if self._succeeded < len(self._results):
            return None
        return Completed(tuple(self._results))


def deadline_expiry(job: Job) -> Failure:
    """Return the failure of a job whose deadline has passed."""
    if job.run_state is RunState.NOT_RUN:
        return Failure(ErrorKind.EXPIRED, "deadline passed before a task was sent")
    return Failure(ErrorKind.TIMEOUT, "deadline passed while tasks were running")


def lease_expiry(job: Job) -> Failure:
    """Return the failure of a job with unsent tasks when its claim's lease ended."""
    detail = "the lease of the claim ended before every task was sent"
    if job.run_state is RunState.NOT_RUN:
        return Failure(ErrorKind.CLAIM_UNAVAILABLE, detail, _RETRY_AFTER_S)
    return Failure(ErrorKind.TIMEOUT, detail)


def cancellation(job: Job) -> Failure:
    """Return the failure of a job that its caller cancelled."""
    if job.run_state is RunState.NOT_RUN:
        return Failure(ErrorKind.CANCELLED, "cancelled before a task was sent")
    return Failure(ErrorKind.STOPPED, "cancelled while tasks were running")


def exhaustion(job: Job, worker_detail: str) -> Failure:
    """Return the failure of a job with a task that has used up its attempts."""
    detail = (
        f"no worker accepted a task in {MAX_SEND_ATTEMPTS} attempts: {worker_detail}"
    )
    if job.run_state is RunState.NOT_RUN:
        return Failure(ErrorKind.NO_WORKERS, detail, _RETRY_AFTER_S)
    return Failure(ErrorKind.WORKER_LOST, detail)
