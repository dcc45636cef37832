"""Table of the sends in flight, including those whose job has already ended."""

from typing import NamedTuple

from poplarhill.types import TaskId


class Send(NamedTuple):
    """One send of one task.

    Attributes:
        worker: Name of the worker.
        attempt: Count of earlier sends of the task, none of which started it.
    """

    worker: str
    attempt: int


class SendTable:
    """Sends in flight; each one ends with the first report on it."""

    def __init__(self) -> None:
        self._sends: dict[TaskId, Send] = {}
        self._ignored_reports = 0

    def __len__(self) -> int:
        return len(self._sends)

    @property
    def ignored(self) -> int:
        """Count of reports on sends that were not in flight."""
        return self._ignored_reports

    def begin(self, task: TaskId, send: Send) -> None:
        """Record that a task is handed to a worker's link.

        Raises:
            ValueError: A send of the task is already in flight.
        """
        if task in self._sends:
            raise ValueError(f"task {task} sent twice")
        self._sends[task] = send

    def end(self, task: TaskId, send: Send) -> bool:
        """Record a report on a send; return whether the send was in flight."""
        if self._sends.get(task) != send:
            self._ignored_reports += 1
            return False
        del self._sends[task]
        return True
