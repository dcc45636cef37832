"""The sends that have not been reported on, whatever became of their jobs."""

from typing import NamedTuple

from poplarhill.types import TaskId


class Send(NamedTuple):
    """One send of one task.

    Attributes:
        worker: Name of the worker.
        attempt: Count of earlier sends of the task, each proved unsent.
    """

    worker: str
    attempt: int


class SendTable:
    """Sends under way; each ends by the first report on it."""

    def __init__(self) -> None:
        self._sends: dict[TaskId, Send] = {}
        self._ignored = 0

    def __len__(self) -> int:
        return len(self._sends)

    @property
    def ignored(self) -> int:
        """Count of reports on sends that were not under way."""
        return self._ignored

    def begin(self, task: TaskId, send: Send) -> None:
        """Note that a task is handed to a worker's link.

        Raises:
            ValueError: A send of the task is under way.
        """
        if task in self._sends:
            raise ValueError(f"task {task} sent twice")
        self._sends[task] = send

    def end(self, task: TaskId, send: Send) -> bool:
        """Note a report; return whether it is the first on a send under way."""
        if self._sends.get(task) != send:
            self._ignored += 1
            return False
        del self._sends[task]
        return True
