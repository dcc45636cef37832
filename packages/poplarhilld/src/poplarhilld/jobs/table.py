"""Table of the jobs in flight on this host, with their deadlines."""

from collections.abc import Iterator
from typing import NamedTuple

from sortedcontainers import SortedSet

from poplarhill.exceptions import Failure
from poplarhill.types import JobSpec, TaskId
from poplarhilld.jobs.messages import JobOutcome
from poplarhilld.jobs.state import Job, deadline_expiry, lease_expiry


class _DueJob(NamedTuple):
    """A job and a time at which it may be overdue.

    Attributes:
        time: The time by the host's own clock, s.
        job_id: ID of the job.
    """

    time: float
    job_id: str


class JobTable:
    """The jobs in flight on this host."""

    def __init__(self) -> None:
        self._jobs: dict[str, Job] = {}
        self._due: SortedSet = SortedSet()

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[Job]:
        return iter(list(self._jobs.values()))

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def get(self, job_id: str) -> Job | None:
        """Return a job, or None if it is not in flight."""
        return self._jobs.get(job_id)

    def add(self, spec: JobSpec) -> Job:
        """Add a job and return it."""
        job = Job(spec)
        self._jobs[spec.job_id] = job
        self._due.add(_DueJob(spec.deadline, spec.job_id))
        return job

    def pop(self, job_id: str) -> Job | None:
        """Remove and return a job, or return None if it is not in flight."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._due.discard(_DueJob(job.spec.deadline, job_id))
            self._due.discard(_DueJob(job.send_by, job_id))
        return job

    def limit_sends(self, job_id: str, send_by: float) -> Job:
        """Lower the time by which the tasks of a job must be sent to `send_by`, s.

        An earlier limit stays.
        """
        job = self._jobs[job_id]
        if send_by < job.send_by:
            job.send_by = send_by
            self._due.add(_DueJob(send_by, job_id))
        return job

    def overdue(self, now: float) -> Iterator[tuple[Job, Failure]]:
        """Yield the overdue jobs, each with its failure.

        The caller must remove each job before it requests the next one.
        """
        while self._due and self._due[0].time <= now:
            job = self._jobs[self._due.pop(0).job_id]
            if job.spec.deadline <= now:
                yield job, deadline_expiry(job)
            elif job.has_queued:
                yield job, lease_expiry(job)

    def finish_task(self, task: TaskId, result: bytes) -> JobOutcome | None:
        """Record the result of a task; return the outcome if that completes the job."""
        job = self._jobs.get(task.job)
        if job is None:
            return None
        job.mark_done(task.index, result)
        return job.completed()
