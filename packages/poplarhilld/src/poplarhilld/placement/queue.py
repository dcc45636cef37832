"""The queues of jobs with tasks to place, one a service, in serving order."""

from collections import deque
from typing import NamedTuple

from sortedcontainers import SortedDict

from poplarhill.types import JobSpec, TaskId

AGING_S_PER_TASK = 0.05
_SLACK_FRACTION = 0.5


class _Rank(NamedTuple):
    """Position in a queue; lower goes first."""

    start_by: float
    arrival: int


class _Entry:
    """A queued job and the tasks of it that are not placed."""

    def __init__(self, spec: JobSpec, now: float, arrival: int) -> None:
        self.spec = spec
        self.queued_at = now
        self.arrival = arrival
        self.waiting = deque(range(len(spec.tasks)))
        self.rank = _Rank(now, arrival)


class ServiceQueue:
    """Jobs of one service.

    With `fewest_tasks`, a job is ranked by a time to start by: its arrival plus
    an allowance for each of its remaining tasks, and never later than half way
    to its deadline. Small jobs so pass large ones, but a large job that waits
    is passed only by jobs that come within its allowance.
    """

    def __init__(self, order: str) -> None:
        self._order = order
        self._ranked: SortedDict = SortedDict()
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Count of tasks to place."""
        return self._waiting

    @property
    def order(self) -> str:
        """The order in force."""
        return self._order

    def put(self, entry: _Entry) -> None:
        """Put a job in, or in again after a change of its tasks."""
        entry.rank = self._rank(entry)
        self._ranked[entry.rank] = entry
        self._waiting += len(entry.waiting)

    def remove(self, entry: _Entry) -> None:
        """Take a job out."""
        if self._ranked.pop(entry.rank, None) is not None:
            self._waiting -= len(entry.waiting)

    def reorder(self, order: str) -> None:
        """Take another order for the jobs queued."""
        entries = list(self._ranked.values())
        self._order = order
        self._ranked.clear()
        self._waiting = 0
        for entry in entries:
            self.put(entry)

    def first(self) -> _Entry:
        """Return the job that goes first; there is one."""
        return self._ranked.peekitem(0)[1]

    def tasks_before(self, entry: _Entry, enough: int) -> int:
        """Count the tasks that go before a job's, up to about `enough`."""
        count = 0
        for rank in self._ranked.irange(maximum=self._rank(entry)):
            count += len(self._ranked[rank].waiting)
            if count >= enough:
                break
        return count

    def _rank(self, entry: _Entry) -> _Rank:
        if self._order == "first_come":
            return _Rank(0.0, entry.arrival)
        slack_s = max(0.0, entry.spec.deadline - entry.queued_at)
        aging_s = AGING_S_PER_TASK * len(entry.waiting)
        start_by = entry.queued_at + min(aging_s, _SLACK_FRACTION * slack_s)
        return _Rank(start_by, entry.arrival)


class JobQueue:
    """Jobs with tasks to place.

    Args:
        order: `first_come` or `fewest_tasks`.
    """

    def __init__(self, order: str) -> None:
        self._order = order
        self._entries: dict[str, _Entry] = {}
        self._services: dict[str, ServiceQueue] = {}
        self._arrivals = 0

    @property
    def waiting(self) -> int:
        """Count of tasks to place."""
        return sum(queue.waiting for queue in self._services.values())

    @property
    def services(self) -> tuple[str, ...]:
        """Services with tasks to place."""
        return tuple(name for name, q in self._services.items() if q.waiting)

    def waiting_of(self, service: str) -> int:
        """Return the count of a service's tasks to place."""
        queue = self._services.get(service)
        return queue.waiting if queue is not None else 0

    def reorder(self, order: str) -> None:
        """Take another order."""
        if order == self._order:
            return
        self._order = order
        for queue in self._services.values():
            queue.reorder(order)

    def add(self, now: float, spec: JobSpec) -> None:
        """Put a job in the queue."""
        self._arrivals += 1
        entry = _Entry(spec, now, self._arrivals)
        self._entries[spec.job_id] = entry
        self._queue(spec.service).put(entry)

    def tasks_before(self, now: float, spec: JobSpec, enough: int) -> int:
        """Count the tasks that would go before a job's, up to about `enough`."""
        entry = _Entry(spec, now, self._arrivals + 1)
        return self._queue(spec.service).tasks_before(entry, enough)

    def put_back(self, task: TaskId) -> None:
        """Put a task back that was taken and provably not sent."""
        entry = self._entries.get(task.job)
        if entry is not None:
            queue = self._queue(entry.spec.service)
            queue.remove(entry)
            entry.waiting.appendleft(task.index)
            queue.put(entry)

    def discard(self, job_id: str) -> None:
        """Drop what is left of a job."""
        entry = self._entries.pop(job_id, None)
        if entry is not None:
            self._queue(entry.spec.service).remove(entry)

    def take(self, service: str) -> TaskId:
        """Take the next task of a service that has one."""
        queue = self._queue(service)
        entry = queue.first()
        queue.remove(entry)
        index = entry.waiting.popleft()
        if entry.waiting:
            queue.put(entry)
        return TaskId(entry.spec.job_id, index)

    def _queue(self, service: str) -> ServiceQueue:
        if service not in self._services:
            self._services[service] = ServiceQueue(self._order)
        return self._services[service]
