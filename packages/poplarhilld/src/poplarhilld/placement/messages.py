"""The decisions of placement, as they are logged."""

from typing import NamedTuple

from poplarhill.types import TaskId


class Candidate(NamedTuple):
    """A worker that may take one more task now.

    Attributes:
        worker: Name of the worker.
        outstanding: Tasks that this host has sent to it and that have not ended.
        allowance: Maximum number of tasks that this host may have outstanding on it.
        slowdown: Its run time relative to its service; 1 is normal.
        local: Whether it is in this host's data centre.
    """

    worker: str
    outstanding: int
    allowance: int
    slowdown: float = 1.0
    local: bool = False

    @property
    def headroom(self) -> int:
        """How many more tasks this host may send to the worker."""
        return self.allowance - self.outstanding


class Placed(NamedTuple):
    """The decision to place one task on one worker.

    Attributes:
        task: The task.
        worker: Name of the worker.
        candidates: Workers compared, at most `MAX_CANDIDATES`, in the order drawn.
        policy: Name of the policy that chose the worker, or `probe`.
        waiting: Tasks of the service that are still queued on this host.
    """

    task: TaskId
    worker: str
    candidates: tuple[Candidate, ...]
    policy: str
    waiting: int = 0
