"""Workers of one service: what this host may send to each, and has sent."""

from collections import deque
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from poplarhill.types import WorkerSpec
from poplarhilld.peers.messages import WorkerSlots
from poplarhilld.placement.indexed import IndexedSet
from poplarhilld.placement.messages import Candidate
from poplarhilld.placement.view import WorkerView

_REPORT_LIFE_S = 0.1


class _Report(NamedTuple):
    worker: str
    ends_at: float


class WorkerPool:
    """Allowance and outstanding tasks of a service's workers.

    The allowance of a worker is this host's share of its slots, and more for a
    moment after the worker has shown that more are free. Workers with headroom
    are kept in buckets by how much they have, so that a choice does not look at
    every worker.

    Args:
        data_centre: Data centre of this host.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._specs: dict[str, WorkerSpec] = {}
        self._shows_free_slots = False
        self._share: dict[str, int] = {}
        self._shown: dict[str, tuple[int, float]] = {}
        self._reports: deque[_Report] = deque()
        self._outstanding: dict[str, int] = {}
        self._open = IndexedSet()
        self._buckets: dict[int, IndexedSet] = {}
        self._total_outstanding = 0
        self._total_share = 0

    @property
    def specs(self) -> dict[str, WorkerSpec]:
        """The workers in the configuration, by name."""
        return self._specs

    @property
    def outstanding(self) -> int:
        """Tasks outstanding on all workers together."""
        return self._total_outstanding

    @property
    def slots(self) -> int:
        """Slots of this host's share of all workers together."""
        return self._total_share

    @property
    def shows_free_slots(self) -> bool:
        """Whether a worker of the service has shown its free slots."""
        return self._shows_free_slots

    @property
    def idle_slots(self) -> int:
        """Slots of the share that are not in use."""
        return max(0, self._total_share - self._total_outstanding)

    def configure(self, specs: dict[str, WorkerSpec]) -> None:
        """Take the workers of a new configuration; outstanding tasks stay."""
        for name in self._specs.keys() - specs.keys():
            self._shown.pop(name, None)
            self.set_share(name, 0)
        self._specs = specs

    def share(self, worker: str) -> int:
        """Return the slots of a worker that this host may always use."""
        return self._share.get(worker, 0)

    def allowance(self, worker: str) -> int:
        """Return the most tasks that may be outstanding on a worker."""
        shown, _ = self._shown.get(worker, (0, 0.0))
        return max(self._share.get(worker, 0), shown)

    def headroom(self, worker: str) -> int:
        """Return the tasks that may still be sent to a worker."""
        return self.allowance(worker) - self._outstanding.get(worker, 0)

    def set_share(self, worker: str, share: int) -> None:
        """Set the slots of a worker that this host may always use."""
        before = self.headroom(worker)
        self._total_share += share - self._share.get(worker, 0)
        self._share[worker] = share
        self._move(worker, before)

    def add_share(self, worker: str, count: int) -> None:
        """Change the share of a worker by a count."""
        self.set_share(worker, self._share.get(worker, 0) + count)

    def report(
        self, now: float, worker: str, free_slots: int, most_beyond: int
    ) -> None:
        """Take the free slots that a worker shows with a response.

        Args:
            now: The host's own clock, s.
            worker: Name of the worker.
            free_slots: Slots free just after the response; negative when tasks wait.
            most_beyond: Most tasks to send beyond the share.
        """
        if worker not in self._specs:
            return
        self._shows_free_slots = True
        before = self.headroom(worker)
        shown = self._outstanding.get(worker, 0) + free_slots
        bound = self._share.get(worker, 0) + most_beyond
        ends_at = now + _REPORT_LIFE_S
        self._shown[worker] = (min(shown, bound), ends_at)
        self._reports.append(_Report(worker, ends_at))
        self._move(worker, before)

    def expire(self, now: float) -> None:
        """Forget what workers showed too long ago."""
        while self._reports and self._reports[0].ends_at <= now:
            worker, ends_at = self._reports.popleft()
            if self._shown.get(worker, (0, 0.0))[1] == ends_at:
                before = self.headroom(worker)
                del self._shown[worker]
                self._move(worker, before)

    def take(self, worker: str) -> None:
        """Count a task as sent to a worker."""
        self._count(worker, 1)

    def release(self, worker: str) -> None:
        """Count a task on a worker as ended."""
        if self._outstanding.get(worker, 0) > 0:
            self._count(worker, -1)

    def any_open(self, now: float, view: WorkerView, random: Random) -> Iterator[str]:
        """Yield usable workers with headroom, from a random one on."""
        for name in self._open.rotated(random):
            if view.may_use(now, self._specs[name]):
                yield name

    def freest(self, now: float, view: WorkerView, random: Random) -> Iterator[str]:
        """Yield usable workers, those with the most headroom first."""
        for headroom in sorted(self._buckets, reverse=True):
            for name in self._buckets[headroom].rotated(random):
                if view.may_use(now, self._specs[name]):
                    yield name

    def idle(self, count: int) -> tuple[WorkerSlots, ...]:
        """Return up to a count of slots of the share that are not in use."""
        slots = []
        for name in self._open:
            unused = self._share.get(name, 0) - self._outstanding.get(name, 0)
            if unused > 0 and count > 0:
                slots.append(WorkerSlots(name, min(unused, count)))
                count -= unused
        return tuple(slots)

    def candidate(self, name: str, view: WorkerView) -> Candidate:
        """Return what a choice weighs of a worker."""
        return Candidate(
            name,
            self._outstanding.get(name, 0),
            self.allowance(name),
            view.slowdown(name),
            self._specs[name].data_centre == self._data_centre,
        )

    def _count(self, worker: str, change: int) -> None:
        before = self.headroom(worker)
        self._outstanding[worker] = self._outstanding.get(worker, 0) + change
        self._total_outstanding += change
        if not self._outstanding[worker]:
            del self._outstanding[worker]
        self._move(worker, before)

    def _move(self, worker: str, before: int) -> None:
        after = self.headroom(worker)
        if before > 0:
            bucket = self._buckets[before]
            bucket.discard(worker)
            if not bucket:
                del self._buckets[before]
        if after > 0:
            self._buckets.setdefault(after, IndexedSet()).add(worker)
            self._open.add(worker)
        else:
            self._open.discard(worker)
