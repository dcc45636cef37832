"""The runs of a leader: their tasks, orphans, and stop orders."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leases import Run

ORPHAN_TIMEOUT_S = 0.4  # a new leader is offered all jobs within two heartbeats
_STOP_RETRY_S = 0.2  # a stop order is answered within a few ms


class Orphan(NamedTuple):
    """A run that belongs to no job of this leader.

    Attributes:
        run: The run.
        worker: Name of its worker.
        since: When it was found, by the leader's clock, s.
        offered_at: When the offer of its job was sent at the earliest, by the leader's
            clock, s; minus infinity if that is not known.
        stop_at: When it is stopped unless its job is offered here, by the leader's
            clock, s.
    """

    run: Run
    worker: str
    since: float
    offered_at: float
    stop_at: float


class RunTable:
    """The runs of a leader's jobs, and orphans.

    A run is identified by its worker as well: the tasks of a job that is submitted
    again after it was closed number their runs from 1 again.
    """

    def __init__(self) -> None:
        self._tasks: dict[tuple[str, Run], LedTask] = {}
        self._jobs: dict[str, LedJob] = {}
        self._orphans: dict[tuple[str, Run], Orphan] = {}
        self._stop_due: dict[tuple[str, Run], float] = {}

    def add_job(self, job: LedJob) -> None:
        """Add the tasks of a job."""
        for task in job.tasks:
            self._jobs[task.name] = job

    def drop_job(self, job: LedJob) -> None:
        """Remove the tasks of a job."""
        for task in job.tasks:
            self._jobs.pop(task.name, None)

    def job_of(self, task: str) -> LedJob | None:
        """Return the job of a task, if this leader has it."""
        return self._jobs.get(task)

    def task_of(self, worker: str, run: Run) -> LedTask | None:
        """Return the task of a run that is under way, if this leader has it."""
        return self._tasks.get((worker, run))

    def note_started(
        self, now: float, run: Run, task: LedTask, worker: str, adopted: bool = False
    ) -> None:
        """Note that a run of a task was ordered.

        Args:
            now: The leader's clock, s.
            run: The run.
            task: The task.
            worker: Name of the worker.
            adopted: Whether an earlier leader ordered it.
        """
        task.run, task.worker = run, worker
        task.ordered_at, task.adopted = now, adopted
        if task.next_number <= run.number:
            task.next_number = run.number + 1
        self._tasks[worker, run] = task
        self._note_task_change(task)

    def forget(self, worker: str, run: Run) -> LedTask | None:
        """Remove a run that is no longer under way, and return its task, if known."""
        if self._orphans:
            self._orphans.pop((worker, run), None)
        task = self._tasks.pop((worker, run), None)
        if task is not None and (task.worker, task.run) == (worker, run):
            task.run, task.worker = None, ""
            if not task.done:
                self._note_task_change(task)
        return task

    def _note_task_change(self, task: LedTask) -> None:
        job = self._jobs.get(task.name)
        if job is not None:
            job.update_least_cores()

    def note_closed(self, worker: str, run: Run) -> None:
        """Note that a run has ended: it needs no stop order and is no orphan."""
        if self._stop_due:
            self._stop_due.pop((worker, run), None)
        if self._orphans:
            self._orphans.pop((worker, run), None)

    @property
    def orphan_offers_at(self) -> list[float]:
        """When the offer of each orphan's job was sent at the earliest, s."""
        return [orphan.offered_at for orphan in self._orphans.values()]

    def add_orphan(
        self,
        now: float,
        run: Run,
        worker: str,
        offered_at: float,
        stop_by: float = math.inf,
    ) -> None:
        """Add a run that belongs to no job of this leader.

        Args:
            now: The leader's clock, s.
            run: The run.
            worker: Name of its worker.
            offered_at: When the offer of its job was sent at the earliest, by the
                leader's clock, s.
            stop_by: When it has to be stopped at the latest, by the leader's clock, s.
        """
        stop_at = min(now + ORPHAN_TIMEOUT_S, stop_by)
        self._orphans[worker, run] = Orphan(run, worker, now, offered_at, stop_at)

    def orphans_of(self, job: LedJob) -> list[tuple[Orphan, LedTask]]:
        """Return the orphans that are runs of a job."""
        tasks = {task.name: task for task in job.tasks}
        return [
            (orphan, tasks[orphan.run.task])
            for orphan in self._orphans.values()
            if orphan.run.task in tasks
        ]

    def unclaimed(self, now: float) -> Iterator[Orphan]:
        """Yield the orphans whose job was not offered here in time."""
        for orphan in list(self._orphans.values()):
            if now >= orphan.stop_at:
                yield orphan

    @property
    def any_stopping(self) -> bool:
        """Whether a stop was ordered for any run that has not ended."""
        return bool(self._stop_due)

    def is_stopping(self, worker: str, run: Run) -> bool:
        """Return whether a stop was ordered for a run that has not ended."""
        return (worker, run) in self._stop_due

    def note_stop_if_due(self, now: float, worker: str, run: Run) -> bool:
        """Return whether a stop order is due now, and if so note that it is sent."""
        key = (worker, run)
        if now < self._stop_due.get(key, 0.0):
            return False
        self._stop_due[key] = now + _STOP_RETRY_S
        return True
