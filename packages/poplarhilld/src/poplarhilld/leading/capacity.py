"""The free capacity of the workers that may take tasks, kept in order of preference."""

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from poplarhill.types import Resources
from poplarhilld.leading.estimates import USUAL_SLOWDOWN
from poplarhilld.leases import LeasedWorker

# The slowest healthy worker runs at 0.8 of usual speed, a slowdown of 1.25.
MAX_HEALTHY_SLOWDOWN = 1.3
TOLERANCE = 1e-6  # rounding error of sums of cores, which are given in thousandths


class ServiceCores(NamedTuple):
    """Cores of the workers of a service.

    Attributes:
        total: Their cores.
        free: Their free cores.
    """

    total: float
    free: float


# Free cores, name and the worker itself. Workers of the same slowdown are ordered by
# these. A plain tuple, since one is made for each start and each end of a run.
_Row = tuple[float, str, LeasedWorker]


class FreeCapacity:
    """Free capacity of workers, by slowdown and then by free cores.

    A change of one worker costs a binary search, where a new list would cost a pass
    over all workers. After a change of a worker's free capacity or slowdown, `update`
    must be called before this is read again.

    Args:
        workers: Workers that may take tasks.
        slowdowns: Rounded slowdowns of the known workers, by name.
    """

    def __init__(
        self, workers: Iterable[LeasedWorker], slowdowns: Mapping[str, float]
    ) -> None:
        self._slowdowns = slowdowns
        self._workers: dict[str, LeasedWorker] = {}
        self._free: dict[str, Resources] = {}
        self._free_cores: dict[str, float] = {}
        self._rows: dict[str, tuple[float, _Row]] = {}
        self._by_slowdown: dict[float, list[_Row]] = {}
        # Both are kept until a slowdown changes.
        self._slowdown_at: dict[int, float] = {}
        self._orders: dict[bool, list[float]] = {}
        self._free_cores_of: dict[str, dict[str, float]] = {}
        self._total_cores_of: dict[str, float] = {}
        for worker in workers:
            name = worker.entry.name
            self._workers[name] = worker
            service, cores = worker.entry.service, worker.entry.room.cores
            total = self._total_cores_of.get(service, 0.0)
            self._total_cores_of[service] = total + cores
            self._free_cores_of.setdefault(service, {})
            self._insert(name, slowdowns.get(name, USUAL_SLOWDOWN))
        self._total_cores = sum(self._total_cores_of.values(), 0.0)

    def __len__(self) -> int:
        return len(self._workers)

    @property
    def workers(self) -> Iterable[LeasedWorker]:
        """The workers."""
        return self._workers.values()

    @property
    def names(self) -> Iterable[str]:
        """Names of the workers."""
        return self._workers.keys()

    @property
    def total_cores(self) -> float:
        """Cores of all workers."""
        return self._total_cores

    @property
    def free_cores(self) -> float:
        """Free cores of all workers; overfull workers count as negative."""
        return sum(self._free_cores.values(), 0.0)

    @property
    def usable_free_cores(self) -> float:
        """Free cores of all workers; overfull workers count as zero."""
        return sum([cores for cores in self._free_cores.values() if cores > 0.0], 0.0)

    @property
    def max_free_cores(self) -> float:
        """Free cores of the worker that has most of them, with a tolerance."""
        most = [rows[-1][0] for rows in self._by_slowdown.values()]
        return max(most, default=-math.inf) + TOLERANCE

    def worker(self, name: str) -> LeasedWorker:
        """Return a worker by its name."""
        return self._workers[name]

    def of(self, name: str) -> Resources:
        """Return the free capacity of a worker."""
        return self._free[name]

    def of_service(self, service: str) -> ServiceCores:
        """Return the cores of the workers of a service."""
        free_cores = self._free_cores_of.get(service, {}).values()
        return ServiceCores(
            self._total_cores_of.get(service, 0.0),
            sum([cores for cores in free_cores if cores > 0.0], 0.0),
        )

    def slowdown_at(self, fraction: int) -> float:
        """Return the slowdown that one worker in `fraction` does not exceed."""
        found = self._slowdown_at.get(fraction)
        if found is None:
            index = (len(self._workers) - 1) // fraction
            found = sorted([slowdown for slowdown, _ in self._rows.values()])[index]
            self._slowdown_at[fraction] = found
        return found

    def fitting(
        self, needs: Resources, avoid_fast: bool, max_slowdown: float
    ) -> Iterator[LeasedWorker]:
        """Yield the workers with enough free capacity, the preferred ones first.

        These are the fastest, or with `avoid_fast` the slowest healthy ones; then those
        with the least free cores, and then those of the lowest name.

        Args:
            needs: The capacity that must be free.
            avoid_fast: Whether to prefer the slowest healthy worker to the fastest.
            max_slowdown: Largest slowdown of a worker.
        """
        least_cores = needs.cores - TOLERANCE
        for slowdown in self._slowdown_order(avoid_fast):
            rows = self._by_slowdown[slowdown]
            if slowdown > max_slowdown or rows[-1][0] < least_cores:
                continue
            for index in range(bisect_left(rows, (least_cores,)), len(rows)):
                _, name, worker = rows[index]
                free = self._free[name]
                if (
                    free.memory_mb >= needs.memory_mb
                    and free.accelerators >= needs.accelerators
                ):
                    yield worker

    def _slowdown_order(self, avoid_fast: bool) -> list[float]:
        found = self._orders.get(avoid_fast)
        if found is None:
            found = sorted(self._by_slowdown)
            if avoid_fast:
                healthy = bisect_right(found, MAX_HEALTHY_SLOWDOWN)
                found[:healthy] = found[:healthy][::-1]
            self._orders[avoid_fast] = found
        return found

    def update(self, name: str) -> None:
        """Read the free capacity and the slowdown of a worker again."""
        worker = self._workers.get(name)
        if worker is None:
            return
        slowdown = self._slowdowns.get(name, USUAL_SLOWDOWN)
        old_slowdown, row = self._rows[name]
        if slowdown != old_slowdown:
            self._delete(old_slowdown, row)
            self._insert(name, slowdown)
            return
        free = worker.free_capacity()
        if free is not self._free[name]:
            rows = self._by_slowdown[slowdown]
            del rows[bisect_left(rows, row)]
            insort(rows, self._note(worker, slowdown, free))

    def remove(self, name: str) -> None:
        """Remove a worker that may take no more tasks."""
        worker = self._workers.pop(name)
        self._delete(*self._rows.pop(name))
        service, cores = worker.entry.service, worker.entry.room.cores
        del self._free[name], self._free_cores[name]
        del self._free_cores_of[service][name]
        self._total_cores_of[service] -= cores
        self._total_cores -= cores

    def _note(self, worker: LeasedWorker, slowdown: float, free: Resources) -> _Row:
        """Note the free capacity of a worker and return its row."""
        name = worker.entry.name
        self._free[name] = free
        self._free_cores[name] = free.cores
        self._free_cores_of[worker.entry.service][name] = free.cores
        row = (free.cores, name, worker)
        self._rows[name] = slowdown, row
        return row

    def _insert(self, name: str, slowdown: float) -> None:
        worker = self._workers[name]
        row = self._note(worker, slowdown, worker.free_capacity())
        insort(self._by_slowdown.setdefault(slowdown, []), row)
        self._slowdown_at.clear()
        self._orders.clear()

    def _delete(self, slowdown: float, row: _Row) -> None:
        rows = self._by_slowdown[slowdown]
        del rows[bisect_left(rows, row)]
        if not rows:
            del self._by_slowdown[slowdown]
        self._slowdown_at.clear()
        self._orders.clear()
