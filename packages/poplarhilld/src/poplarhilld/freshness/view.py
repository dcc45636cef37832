"""Keeps new work from workers that the platform's list says are leaving."""

from typing import NamedTuple

from poplarhill.types import WorkerSpec
from poplarhilld.freshness.state import Freshness
from poplarhilld.placement import WorkerView


class LeavingView(NamedTuple):
    """Another view, less the workers that are leaving.

    Attributes:
        view: The other view.
        freshness: Knows which workers are leaving.
    """

    view: WorkerView
    freshness: Freshness

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""
        if worker.name in self.freshness.leaving:
            return False
        return self.view.may_use(now, worker)

    def slowdown(self, worker: str) -> float:
        """Return how slow a worker runs against its service; 1 is normal."""
        return self.view.slowdown(worker)
