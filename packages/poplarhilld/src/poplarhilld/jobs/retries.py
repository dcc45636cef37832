"""Backoff of workers that refused a task, and the limit of a task's attempts.

A task is attempted again only if it provably did not start.
"""

from typing import NamedTuple

from poplarhill.types import WorkerSpec
from poplarhilld.placement.view import WorkerView

MAX_SEND_ATTEMPTS = 8
"""Maximum number of times that a task is handed to a worker's link.

`max_attempts` of a route limits failed runs instead.
"""

_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 1.0


class _Pause(NamedTuple):
    """Time during which a worker gets no tasks.

    Attributes:
        until: When the pause ends, s.
        length_s: Length of the pause, s.
    """

    until: float
    length_s: float


class Backoff:
    """Pauses of workers that refused a task, with exponential backoff.

    A pause starts at 0.05 s and doubles, up to 1 s, until the worker accepts a task.
    """

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}

    def __len__(self) -> int:
        return len(self._pauses)

    def refused(self, now: float, worker: str) -> None:
        """Record that a worker refused a task; ignored while the worker is paused."""
        pause = self._pauses.get(worker)
        if pause is not None and now < pause.until:
            return
        length_s = _FIRST_PAUSE_S if pause is None else pause.length_s * 2
        length_s = min(length_s, _MAX_PAUSE_S)
        self._pauses[worker] = _Pause(now + length_s, length_s)

    def accepted(self, worker: str) -> None:
        """Record that a worker accepted a task, which resets its backoff."""
        self._pauses.pop(worker, None)

    def paused(self, now: float, worker: str) -> bool:
        """Return whether a worker is paused."""
        pause = self._pauses.get(worker)
        return pause is not None and now < pause.until


class BackoffView:
    """Restricts a view to the workers that are not paused.

    Args:
        inner: The view to restrict.
        backoff: The pauses of the workers.
    """

    def __init__(self, inner: WorkerView, backoff: Backoff) -> None:
        self._inner = inner
        self._backoff = backoff

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""
        paused = self._backoff.paused(now, worker.name)
        return not paused and self._inner.may_use(now, worker)

    def slowdown(self, worker: str) -> float:
        """Return a worker's run time relative to its service; 1 is normal."""
        return self._inner.slowdown(worker)
