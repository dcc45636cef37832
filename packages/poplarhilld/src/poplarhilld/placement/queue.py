"""The queue of jobs with tasks to place, in the order they are served."""

from collections import deque
from typing import NamedTuple

from sortedcontainers import SortedDict

from poplarhill.types import JobSpec, TaskId


class _Rank(NamedTuple):
    """Position in the queue; lower goes first."""

    size: int
    arrival: int


class _Entry:
    """A queued job and the tasks of it that are not placed."""

    def __init__(self, spec: JobSpec, rank: _Rank) -> None:
        self.spec = spec
        self.rank = rank
        self.waiting = deque(range(len(spec.tasks)))


class JobQueue:
    """Jobs with tasks to place.

    Args:
        order: `first_come` or `fewest_tasks`.
    """

    def __init__(self, order: str) -> None:
        self._order = order
        self._entries: dict[str, _Entry] = {}
        self._ranked: SortedDict = SortedDict()
        self._arrivals = 0
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Count of tasks to place."""
        return self._waiting

    def add(self, spec: JobSpec) -> None:
        """Put a job in the queue."""
        self._arrivals += 1
        size = len(spec.tasks) if self._order == "fewest_tasks" else 0
        entry = _Entry(spec, _Rank(size, self._arrivals))
        self._entries[spec.job_id] = entry
        self._ranked[entry.rank] = entry
        self._waiting += len(entry.waiting)

    def put_back(self, task: TaskId) -> None:
        """Put a task back that was taken and provably not sent."""
        entry = self._entries.get(task.job)
        if entry is None:
            return
        entry.waiting.appendleft(task.index)
        self._ranked[entry.rank] = entry
        self._waiting += 1

    def discard(self, job_id: str) -> None:
        """Drop what is left of a job."""
        entry = self._entries.pop(job_id, None)
        if entry is not None:
            self._ranked.pop(entry.rank, None)
            self._waiting -= len(entry.waiting)

    def services(self) -> tuple[str, ...]:
        """Return the services with tasks to place."""
        return tuple({entry.spec.service for entry in self._ranked.values()})

    def next_job(self, blocked: set[str]) -> JobSpec | None:
        """Return the first job whose service is not in `blocked`."""
        for entry in self._ranked.values():
            if entry.spec.service not in blocked:
                return entry.spec
        return None

    def take(self, job_id: str) -> TaskId:
        """Take the next task of a job."""
        entry = self._entries[job_id]
        index = entry.waiting.popleft()
        self._waiting -= 1
        if not entry.waiting:
            self._ranked.pop(entry.rank, None)
        return TaskId(job_id, index)
