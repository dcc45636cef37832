"""When a task that provably was not sent may be tried again, and where."""

from typing import NamedTuple

from poplarhill.types import WorkerSpec
from poplarhilld.placement.view import WorkerView

MAX_ATTEMPTS = 8
_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 1.0


class _Pause(NamedTuple):
    """Time during which a worker gets no task.

    Attributes:
        until: Its end, s.
        length: How long it lasts, s.
    """

    until: float
    length: float


class Backoff:
    """Pauses of workers that did not take a task; they double up to a second."""

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}

    def __len__(self) -> int:
        return len(self._pauses)

    def refused(self, now: float, worker: str) -> None:
        """Note that a worker did not take a task."""
        pause = self._pauses.get(worker)
        if pause is not None and now < pause.until:
            return
        length = _FIRST_PAUSE_S if pause is None else pause.length * 2
        length = min(length, _LONGEST_PAUSE_S)
        self._pauses[worker] = _Pause(now + length, length)

    def accepted(self, worker: str) -> None:
        """Note that a worker took a task."""
        self._pauses.pop(worker, None)

    def paused(self, now: float, worker: str) -> bool:
        """Return whether a worker gets no task now."""
        pause = self._pauses.get(worker)
        return pause is not None and now < pause.until


class BackoffView:
    """A view of workers without those that are paused.

    Args:
        inner: The view that holds otherwise.
        backoff: The pauses.
    """

    def __init__(self, inner: WorkerView, backoff: Backoff) -> None:
        self._inner = inner
        self._backoff = backoff

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""
        paused = self._backoff.paused(now, worker.name)
        return not paused and self._inner.may_use(now, worker)

    def slowdown(self, worker: str) -> float:
        """Return how slow a worker runs against its service; 1 is normal."""
        return self._inner.slowdown(worker)
