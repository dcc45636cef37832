"""Workers of one service: what this host may send to each, and has sent."""

from collections.abc import Iterator
from random import Random

from poplarhill.types import WorkerSpec
from poplarhilld.placement.indexed import IndexedSet
from poplarhilld.placement.messages import Candidate
from poplarhilld.placement.view import WorkerView


class WorkerPool:
    """Allowance and outstanding tasks of a service's workers.

    Workers with headroom are kept in buckets by how much they have, so that a
    choice does not look at every worker.

    Args:
        data_centre: Data centre of this host.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._specs: dict[str, WorkerSpec] = {}
        self._allowance: dict[str, int] = {}
        self._outstanding: dict[str, int] = {}
        self._open = IndexedSet()
        self._buckets: dict[int, IndexedSet] = {}
        self._total_outstanding = 0
        self._free = 0

    @property
    def specs(self) -> dict[str, WorkerSpec]:
        """The workers in the configuration, by name."""
        return self._specs

    @property
    def outstanding(self) -> int:
        """Tasks outstanding on all workers together."""
        return self._total_outstanding

    @property
    def free(self) -> int:
        """Tasks that this host may still send to all workers together."""
        return self._free

    def configure(self, specs: dict[str, WorkerSpec]) -> None:
        """Take the workers of a new configuration; outstanding tasks stay."""
        for name in self._specs.keys() - specs.keys():
            self.set_allowance(name, 0)
        self._specs = specs

    def allowance(self, worker: str) -> int:
        """Return the most tasks that may be outstanding on a worker."""
        return self._allowance.get(worker, 0)

    def headroom(self, worker: str) -> int:
        """Return the tasks that may still be sent to a worker."""
        return self._allowance.get(worker, 0) - self._outstanding.get(worker, 0)

    def set_allowance(self, worker: str, allowance: int) -> None:
        """Set the most tasks that may be outstanding on a worker."""
        before = self.headroom(worker)
        self._allowance[worker] = allowance
        self._move(worker, before)

    def add_allowance(self, worker: str, count: int) -> None:
        """Change the allowance of a worker by a count."""
        self.set_allowance(worker, self.allowance(worker) + count)

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

    def candidate(self, name: str, view: WorkerView) -> Candidate:
        """Return what a choice weighs of a worker."""
        return Candidate(
            name,
            self._outstanding.get(name, 0),
            self._allowance.get(name, 0),
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
        self._free += max(0, after) - max(0, before)
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
