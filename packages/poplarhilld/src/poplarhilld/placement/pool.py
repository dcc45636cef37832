"""The workers of one service, with this host's shares and outstanding tasks."""

from collections import deque
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from poplarhill.types import WorkerSpec
from poplarhilld.peers.messages import WorkerSlots
from poplarhilld.placement.indexed import IndexedSet
from poplarhilld.placement.messages import Candidate
from poplarhilld.placement.view import WorkerView

_REPORT_TTL_S = 0.1


class _ReportExpiry(NamedTuple):
    """When a worker's report of free slots expires."""

    worker: str
    ends_at: float


class WorkerPool:
    """Tracks the share, the allowance and the outstanding tasks of each worker.

    The share of a worker is the number of its slots that are assigned to this host,
    loans included. The allowance is the maximum number of tasks that this host may
    have outstanding on the worker: the share or, for `_REPORT_TTL_S` after a report
    of free slots, the number that the report permits if that is higher. Workers with
    headroom are kept in buckets by headroom, so that choosing one does not scan
    every worker.

    Args:
        data_centre: Data centre of this host.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._specs: dict[str, WorkerSpec] = {}
        self._reports_free_slots = False
        self._share: dict[str, int] = {}
        self._reported_allowances: dict[str, tuple[int, float]] = {}
        self._report_expiries: deque[_ReportExpiry] = deque()
        self._outstanding: dict[str, int] = {}
        self._available = IndexedSet()
        self._buckets: dict[int, IndexedSet] = {}
        self._total_outstanding = 0
        self._total_share = 0

    @property
    def specs(self) -> dict[str, WorkerSpec]:
        """The configured workers, by name."""
        return self._specs

    @property
    def outstanding(self) -> int:
        """Count of tasks outstanding on all workers together."""
        return self._total_outstanding

    @property
    def slots(self) -> int:
        """Count of slots in this host's share of all workers together."""
        return self._total_share

    @property
    def reports_free_slots(self) -> bool:
        """Whether any worker of the service has reported its free slots."""
        return self._reports_free_slots

    @property
    def idle_slots(self) -> int:
        """Count of slots of the share that are not in use."""
        return max(0, self._total_share - self._total_outstanding)

    def configure(self, specs: dict[str, WorkerSpec]) -> None:
        """Replace the workers by those of a new configuration.

        Outstanding tasks are kept.
        """
        for name in self._specs.keys() - specs.keys():
            self._reported_allowances.pop(name, None)
            self.set_share(name, 0)
        self._specs = specs

    def share(self, worker: str) -> int:
        """Return this host's share of a worker's slots, loans included."""
        return self._share.get(worker, 0)

    def allowance(self, worker: str) -> int:
        """Return the maximum number of outstanding tasks on a worker."""
        reported, _ = self._reported_allowances.get(worker, (0, 0.0))
        return max(self._share.get(worker, 0), reported)

    def headroom(self, worker: str) -> int:
        """Return how many more tasks may be sent to a worker."""
        return self.allowance(worker) - self._outstanding.get(worker, 0)

    def set_share(self, worker: str, share: int) -> None:
        """Set this host's share of a worker's slots."""
        before = self.headroom(worker)
        self._total_share += share - self._share.get(worker, 0)
        self._share[worker] = share
        self._update_bucket(worker, before)

    def add_share(self, worker: str, count: int) -> None:
        """Add a count, which may be negative, to the share of a worker."""
        self.set_share(worker, self._share.get(worker, 0) + count)

    def report(
        self, now: float, worker: str, free_slots: int, max_beyond_share: int
    ) -> None:
        """Record the free slots that a worker reported in a response.

        Args:
            now: The host's own clock, s.
            worker: Name of the worker.
            free_slots: Slots free right after the response; negative when tasks
                wait on the worker.
            max_beyond_share: Maximum number of tasks to send beyond the share.
        """
        if worker not in self._specs:
            return
        self._reports_free_slots = True
        before = self.headroom(worker)
        reported = self._outstanding.get(worker, 0) + free_slots
        bound = self._share.get(worker, 0) + max_beyond_share
        ends_at = now + _REPORT_TTL_S
        self._reported_allowances[worker] = (min(reported, bound), ends_at)
        self._report_expiries.append(_ReportExpiry(worker, ends_at))
        self._update_bucket(worker, before)

    def expire(self, now: float) -> None:
        """Discard reports of free slots that have expired."""
        while self._report_expiries and self._report_expiries[0].ends_at <= now:
            worker, ends_at = self._report_expiries.popleft()
            if self._reported_allowances.get(worker, (0, 0.0))[1] == ends_at:
                before = self.headroom(worker)
                del self._reported_allowances[worker]
                self._update_bucket(worker, before)

    def acquire(self, worker: str) -> None:
        """Count a task as outstanding on a worker."""
        self._change_outstanding(worker, 1)

    def release(self, worker: str) -> None:
        """Count a task on a worker as ended, if any is outstanding."""
        if self._outstanding.get(worker, 0) > 0:
            self._change_outstanding(worker, -1)

    def available(self, now: float, view: WorkerView, random: Random) -> Iterator[str]:
        """Yield usable workers with headroom, starting at a random one."""
        for name in self._available.rotated(random):
            if view.may_use(now, self._specs[name]):
                yield name

    def by_headroom(
        self, now: float, view: WorkerView, random: Random
    ) -> Iterator[str]:
        """Yield usable workers with headroom, those with the most first."""
        for headroom in sorted(self._buckets, reverse=True):
            for name in self._buckets[headroom].rotated(random):
                if view.may_use(now, self._specs[name]):
                    yield name

    def idle_share(self, count: int) -> tuple[WorkerSlots, ...]:
        """Return at most `count` slots of the share that are not in use."""
        slots = []
        for name in self._available:
            unused = self._share.get(name, 0) - self._outstanding.get(name, 0)
            if unused > 0 and count > 0:
                slots.append(WorkerSlots(name, min(unused, count)))
                count -= unused
        return tuple(slots)

    def candidate(self, name: str, view: WorkerView) -> Candidate:
        """Return a worker with the figures by which policies compare workers."""
        return Candidate(
            name,
            self._outstanding.get(name, 0),
            self.allowance(name),
            view.slowdown(name),
            self._specs[name].data_centre == self._data_centre,
        )

    def _change_outstanding(self, worker: str, change: int) -> None:
        before = self.headroom(worker)
        self._outstanding[worker] = self._outstanding.get(worker, 0) + change
        self._total_outstanding += change
        if not self._outstanding[worker]:
            del self._outstanding[worker]
        self._update_bucket(worker, before)

    def _update_bucket(self, worker: str, before: int) -> None:
        after = self.headroom(worker)
        if before > 0:
            bucket = self._buckets[before]
            bucket.discard(worker)
            if not bucket:
                del self._buckets[before]
        if after > 0:
            self._buckets.setdefault(after, IndexedSet()).add(worker)
            self._available.add(worker)
        else:
            self._available.discard(worker)
