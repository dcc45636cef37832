"""The view of the workers that placement needs."""

from typing import Protocol

from poplarhill.types import Resources, WorkerSpec


class WorkerView(Protocol):
    """What a host currently knows about the workers."""

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""

    def slowdown(self, worker: str) -> float:
        """Return a worker's run time relative to its service; 1 is normal."""


class AllHealthyView:
    """A view in which every worker that is not draining is healthy."""

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""
        return not worker.draining

    def slowdown(self, worker: str) -> float:
        """Return a worker's run time relative to its service; 1 is normal."""
        return 1.0


class FittingView:
    """Restricts a view to the workers that are large enough for a task.

    Args:
        inner: The view to restrict.
        resources: The resources that the task declares.
    """

    def __init__(self, inner: WorkerView, resources: Resources) -> None:
        self._inner = inner
        self._resources = resources

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""
        return fits(worker, self._resources) and self._inner.may_use(now, worker)

    def slowdown(self, worker: str) -> float:
        """Return a worker's run time relative to its service; 1 is normal."""
        return self._inner.slowdown(worker)


def fits(worker: WorkerSpec, resources: Resources) -> bool:
    """Return whether a worker is large enough for a task."""
    return (
        worker.cores >= resources.cores
        and worker.memory_mb >= resources.memory_mb
        and worker.accelerators >= resources.accelerators
    )
