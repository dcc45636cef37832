"""When capacity in a rack becomes free."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from poplarhilld.leases import LeasedWorker

_TOLERANCE = 1e-6  # rounding error of sums of cores, which are given in thousandths
# Run times are off by 0.4 in their logarithm, and some tasks run seven times as long.
# So the longer a run is overdue, the later its end is expected.
_MIN_REMAINING = 0.1  # share of the expected run time


def expected_end(now: float, began: float, expected_s: float) -> float:
    """Return when a run is expected to end; an overdue one ends later and later.

    Args:
        now: The leader's clock, s.
        began: When the run began, by the same clock, s.
        expected_s: Its expected run time on its worker, s.
    """
    overdue_s = now - began - (1 - _MIN_REMAINING) * expected_s
    if overdue_s <= 0:
        return began + expected_s
    return now + _MIN_REMAINING * expected_s + overdue_s


@dataclass
class Release:
    """Cores of a worker that become free at a time, s."""

    at: float
    cores: float


class Slot(NamedTuple):
    """A place for a task.

    Attributes:
        worker: Name of the worker.
        start: When the task can start, s.
        end: When it is expected to end, s.
    """

    worker: str
    start: float
    end: float


class RackTimeline:
    """The releases of the workers of one rack.

    Args:
        now: The leader's clock, s.
        workers: The workers that may take tasks, of one service.
        releases: Returns when the runs of a worker release how many cores.
        slowdown: Returns the learned slowdown of a worker.
    """

    def __init__(
        self,
        now: float,
        workers: Iterable[LeasedWorker],
        releases: Callable[[LeasedWorker], list[Release]],
        slowdown: Callable[[str], float],
    ) -> None:
        self._workers = {w.entry.name: w for w in workers}
        self._slowdowns = {name: slowdown(name) for name in self._workers}
        self._releases = {
            name: [Release(now, max(0.0, w.free_capacity().cores)), *releases(w)]
            for name, w in self._workers.items()
        }

    def earliest(
        self,
        cores: float,
        run_s: float,
        may_use: Callable[[LeasedWorker], bool] = lambda worker: True,
    ) -> Slot | None:
        """Return the slot in which a task ends first, or `None` if it fits nowhere.

        Args:
            cores: Cores that the task needs.
            run_s: Its expected run time on a usual worker, s.
            may_use: Returns whether a worker suits the task.
        """
        best: Slot | None = None
        for name, worker in self._workers.items():
            if not may_use(worker):
                continue
            run_here_s = run_s * self._slowdowns[name]
            free = 0.0
            for release in sorted(self._releases[name], key=lambda r: r.at):
                free += release.cores
                if best is not None and release.at + run_here_s >= best.end:
                    break
                if free + _TOLERANCE >= cores:
                    best = Slot(name, release.at, release.at + run_here_s)
                    break
        return best

    def reserve(self, slot: Slot, cores: float) -> Release:
        """Take cores for a task and return their release at its end."""
        left = cores
        releases = self._releases[slot.worker]
        for release in sorted(releases, key=lambda r: r.at):
            taken = min(left, release.cores)
            release.cores -= taken
            left -= taken
            if left <= _TOLERANCE:
                break
        end = Release(slot.end, cores)
        releases.append(end)
        return end

    def drop(self, worker: str) -> None:
        """Remove a worker that may not take tasks any more."""
        self._workers.pop(worker, None)
