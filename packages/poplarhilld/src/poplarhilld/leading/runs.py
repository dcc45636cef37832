"""Which runs belong to which tasks, which to nobody, and which are to stop."""

from collections.abc import Iterator
from typing import NamedTuple

from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leases import Run

ORPHAN_TIMEOUT_S = 0.4  # entry hosts offer their jobs anew within two heartbeats
_STOP_RETRY_S = 0.2  # a stop answers within a few ms


class Orphan(NamedTuple):
    """A run that no job known here asked for.

    Attributes:
        run: The run.
        worker: Name of its worker.
        since: When it was found, by the leader's clock, s.
    """

    run: Run
    worker: str
    since: float


class RunTable:
    """The runs of a leader's jobs, and those that nobody claims.

    A run is told by its worker too: the tasks of a job that is sent again after it
    was closed count their runs from 1 again.
    """

    def __init__(self) -> None:
        self._tasks: dict[tuple[str, Run], LedTask] = {}
        self._jobs: dict[str, LedJob] = {}
        self._orphans: dict[tuple[str, Run], Orphan] = {}
        self._stop_due: dict[tuple[str, Run], float] = {}

    def add_job(self, job: LedJob) -> None:
        """Note the tasks of a job."""
        for task in job.tasks:
            self._jobs[task.name] = job

    def drop_job(self, job: LedJob) -> None:
        """Forget the tasks of a job."""
        for task in job.tasks:
            self._jobs.pop(task.name, None)

    def job_of(self, task: str) -> LedJob | None:
        """Return the job of a task, if it is known here."""
        return self._jobs.get(task)

    def task_of(self, worker: str, run: Run) -> LedTask | None:
        """Return the task that a run is under way for, if it is known here."""
        return self._tasks.get((worker, run))

    def started(self, now: float, run: Run, task: LedTask, worker: str) -> None:
        """Note that a run was ordered for a task."""
        self._begin(now, run, task, worker, found=False)

    def found(self, now: float, run: Run, task: LedTask, worker: str) -> None:
        """Note that a run which an earlier leader ordered is a task's."""
        self._begin(now, run, task, worker, found=True)

    def _begin(
        self, now: float, run: Run, task: LedTask, worker: str, found: bool
    ) -> None:
        task.run, task.worker = run, worker
        task.ordered_at, task.found = now, found
        task.next_number = max(task.next_number, run.number + 1)
        self._tasks[worker, run] = task

    def forget(self, worker: str, run: Run) -> None:
        """Note that a run is not under way any more."""
        self._orphans.pop((worker, run), None)
        task = self._tasks.pop((worker, run), None)
        if task is not None and (task.worker, task.run) == (worker, run):
            task.run, task.worker = None, ""

    def closed(self, worker: str, run: Run) -> None:
        """Note that a run needs no stop any more."""
        self._stop_due.pop((worker, run), None)
        self._orphans.pop((worker, run), None)

    def found_orphan(self, now: float, run: Run, worker: str) -> None:
        """Note a run that no job known here asked for."""
        self._orphans[worker, run] = Orphan(run, worker, now)

    def orphans_of(self, job: LedJob) -> list[tuple[Orphan, LedTask]]:
        """Return the orphans that turn out to be runs of a job."""
        tasks = {task.name: task for task in job.tasks}
        return [
            (orphan, tasks[orphan.run.task])
            for orphan in self._orphans.values()
            if orphan.run.task in tasks
        ]

    def unclaimed(self, now: float) -> Iterator[Orphan]:
        """Yield the orphans that nobody has claimed in time."""
        for orphan in list(self._orphans.values()):
            if now >= orphan.since + ORPHAN_TIMEOUT_S:
                yield orphan

    def is_stopping(self, worker: str, run: Run) -> bool:
        """Return whether a run was told to stop and has not closed."""
        return (worker, run) in self._stop_due

    def may_stop(self, now: float, worker: str, run: Run) -> bool:
        """Return whether a run is to be told to stop now; note that it is."""
        key = (worker, run)
        if now < self._stop_due.get(key, 0.0):
            return False
        self._stop_due[key] = now + _STOP_RETRY_S
        return True
