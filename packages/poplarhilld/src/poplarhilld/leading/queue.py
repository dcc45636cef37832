"""The queue of a leader: its jobs with waiting tasks, in the order to start them."""

import math
from bisect import bisect_left, insort
from collections.abc import Collection, Iterator
from itertools import count
from typing import NamedTuple

from poplarhilld.leading.job import LedJob


class _Row(NamedTuple):
    """A job; jobs that are not late start in the order of these fields.

    Attributes:
        cost: Its queue cost.
        arrived_at: When it arrived at its entry host, s.
        number: Number of its entry into the queue, which no other job has.
        job: The job.
    """

    cost: float
    arrived_at: float
    number: int
    job: LedJob


class JobQueue:
    """Jobs with waiting tasks, kept in order of their queue cost.

    The cost of a job changes only when one of its tasks is done; `update` must be
    called then. Whether a job is late depends on the time and is checked when the
    queue is read.
    """

    def __init__(self) -> None:
        self._rows_by_id: dict[str, _Row] = {}
        self._rows: list[_Row] = []
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def jobs(self) -> list[LedJob]:
        """The jobs, in the order in which they entered the queue."""
        return [row.job for row in self._rows_by_id.values()]

    def add(self, job: LedJob) -> None:
        """Add a job, unless the queue has it."""
        if job.job_id not in self._rows_by_id:
            self._insert(job, next(self._numbers))

    def update(self, job: LedJob) -> None:
        """Move a job to its place after its cost or its arrival time has changed."""
        row = self._rows_by_id.get(job.job_id)
        if row is not None and (
            row.cost != job.queue_cost or row.arrived_at != job.arrived_at
        ):
            del self._rows[bisect_left(self._rows, row)]
            self._insert(job, row.number)

    def discard(self, job_id: str) -> None:
        """Remove a job if the queue has it."""
        row = self._rows_by_id.pop(job_id, None)
        if row is not None:
            del self._rows[bisect_left(self._rows, row)]

    def drop_exhausted(self) -> float:
        """Remove the jobs without a waiting task.

        Returns:
            Cores of the smallest waiting task; infinite if none waits.
        """
        if not self._rows:
            return math.inf
        least_cores = [row[3].least_cores for row in self._rows]
        if math.inf in least_cores:
            for job in [row.job for row in self._rows]:
                if job.least_cores == math.inf:
                    self.discard(job.job_id)
        return min(least_cores)

    def by_rank(self, now: float) -> Iterator[LedJob]:
        """Yield the jobs in the order to start them: by cost, the late ones last.

        The queue must not be changed meanwhile.
        """
        late: list[LedJob] = []
        for row in self._rows:
            if row.job.is_late(now):
                late.append(row.job)
            else:
                yield row.job
        yield from late

    def work_ahead_of(
        self, now: float, job: LedJob, excluded: Collection[str]
    ) -> float:
        """Return the work of the queued jobs that start before a new one.

        Args:
            now: The leader's clock, s.
            job: The new job.
            excluded: Ids of jobs that don't count.

        Returns:
            Core-seconds.
        """
        own = (job.queue_cost, job.arrived_at)
        is_late = job.is_late(now)
        ahead = 0.0
        for cost, arrived_at, _, other in self._rows_by_id.values():
            if other.least_cores == math.inf or other.job_id in excluded:
                continue
            costs_less = (cost, arrived_at) <= own
            # A job that is late goes behind those that are not.
            if (costs_less or is_late) and (
                not other.is_late(now) or (costs_less and is_late)
            ):
                ahead += other.open_core_seconds
        return ahead

    def _insert(self, job: LedJob, number: int) -> None:
        row = _Row(job.queue_cost, job.arrived_at, number, job)
        self._rows_by_id[job.job_id] = row
        insort(self._rows, row)
