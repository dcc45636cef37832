"""Sends no new tasks to workers that the platform lists as leaving."""

from typing import NamedTuple

from poplarhill.types import WorkerSpec
from poplarhilld.freshness.state import Freshness
from poplarhilld.placement import WorkerView


class LeavingView(NamedTuple):
    """Restricts a view to the workers that are not leaving.

    Attributes:
        view: The view to restrict.
        freshness: Provides the names of the workers that are leaving.
    """

    view: WorkerView
    freshness: Freshness

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""
        if worker.name in self.freshness.leaving:
            return False
        return self.view.may_use(now, worker)

    def slowdown(self, worker: str) -> float:
        """Return a worker's run time relative to its service; 1 is normal."""
        return self.view.slowdown(worker)
