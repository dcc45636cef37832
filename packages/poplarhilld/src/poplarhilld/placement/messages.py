"""What placement decides."""

from typing import NamedTuple

from poplarhill.types import TaskId


class Candidate(NamedTuple):
    """A worker that may take one more task now.

    Attributes:
        worker: Its name.
        outstanding: Tasks that this host has sent to it and not heard of.
        allowance: Most tasks that this host may have outstanding on it.
        slowdown: How slow it runs against its service; 1 is normal.
        local: Whether it stands in this host's data centre.
    """

    worker: str
    outstanding: int
    allowance: int
    slowdown: float = 1.0
    local: bool = False

    @property
    def headroom(self) -> int:
        """Tasks that this host may still send to it."""
        return self.allowance - self.outstanding


class Placed(NamedTuple):
    """One task placed on one worker.

    Attributes:
        task: The task.
        worker: Name of the worker.
        candidates: Workers weighed, at most `MAX_CANDIDATES`, in the order drawn.
        policy: Name of the policy that chose.
        waiting: Tasks of the service still queued on this host.
    """

    task: TaskId
    worker: str
    candidates: tuple[Candidate, ...]
    policy: str
    waiting: int = 0
