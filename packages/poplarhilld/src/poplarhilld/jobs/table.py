"""The jobs in flight on this host, and the times at which they are overdue."""

from collections.abc import Iterator
from typing import NamedTuple

from sortedcontainers import SortedSet

from poplarhill.exceptions import Failure
from poplarhill.types import JobSpec, TaskId
from poplarhilld.jobs.messages import JobOutcome
from poplarhilld.jobs.state import Job, expiry, lapse


class _Due(NamedTuple):
    """When a job is to be looked at, by the host's own clock, s."""

    time: float
    job_id: str


class JobTable:
    """The jobs in flight on this host."""

    def __init__(self) -> None:
        self._jobs: dict[str, Job] = {}
        self._due: SortedSet = SortedSet()

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def get(self, job_id: str) -> Job | None:
        """Return a job in flight."""
        return self._jobs.get(job_id)

    def add(self, spec: JobSpec) -> Job:
        """Take a job in."""
        job = Job(spec)
        self._jobs[spec.job_id] = job
        self._due.add(_Due(spec.deadline, spec.job_id))
        return job

    def pop(self, job_id: str) -> Job | None:
        """Take a job out, whatever its state."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._due.discard(_Due(job.spec.deadline, job_id))
            self._due.discard(_Due(job.send_by, job_id))
        return job

    def limit_sends(self, job_id: str, send_by: float) -> Job:
        """Set the time by which the tasks of a job have to be sent, s."""
        job = self._jobs[job_id]
        if send_by < job.send_by:
            job.send_by = send_by
            self._due.add(_Due(send_by, job_id))
        return job

    def overdue(self, now: float) -> Iterator[tuple[Job, Failure]]:
        """Yield the jobs whose time is over, each with its failure.

        The caller takes each out before it asks for the next.
        """
        while self._due and self._due[0].time <= now:
            job = self._jobs[self._due.pop(0).job_id]
            if job.spec.deadline <= now:
                yield job, expiry(job)
            elif job.has_queued:
                yield job, lapse(job)

    def finish_task(self, task: TaskId, result: bytes) -> JobOutcome | None:
        """Note a task's result; return the job's outcome if that was the last."""
        job = self._jobs.get(task.job)
        if job is None:
            return None
        job.mark_done(task.index, result)
        return job.completed()
