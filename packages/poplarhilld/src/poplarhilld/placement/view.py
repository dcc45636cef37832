"""What placement needs to know of workers, whoever learns it."""

from typing import Protocol

from poplarhill.types import WorkerSpec


class WorkerView(Protocol):
    """A host's present view of the workers."""

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""

    def slowdown(self, worker: str) -> float:
        """Return how slow a worker runs against its service; 1 is normal."""


class EveryWorker:
    """Takes every worker that does not drain to be well."""

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""
        return not worker.draining

    def slowdown(self, worker: str) -> float:
        """Return how slow a worker runs against its service; 1 is normal."""
        return 1.0
