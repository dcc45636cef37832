"""What placement decides."""

from typing import NamedTuple

from poplarhill.types import TaskId


class Placed(NamedTuple):
    """One task placed on one worker.

    Attributes:
        task: The task.
        worker: Name of the worker.
        candidates: Workers weighed, each with this host's outstanding tasks.
        policy: Name of the policy that chose.
    """

    task: TaskId
    worker: str
    candidates: tuple[tuple[str, int], ...]
    policy: str
