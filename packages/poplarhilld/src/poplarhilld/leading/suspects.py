"""The jobs of a leader under whose tasks workers may have crashed."""

from collections.abc import Callable, Collection, Container, Iterable, Mapping

from poplarhilld.decisions import LogDecision
from poplarhilld.leading.capacity import FreeCapacity
from poplarhilld.leading.crashes import MAX_CRASHES, Isolation, LossRecords
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leading.messages import TaskCleared, TaskSuspected
from poplarhilld.leading.placement import choose_worker, could_run
from poplarhilld.leases import LeasedWorker, Run
from poplarhilld.peers.messages import LostWorker, TaskLosses

# Tells something about the process of a worker that was lost.
Predicate = Callable[[LostWorker], bool]


class Suspects:
    """Tracks the lost workers of tasks, and finds workers for suspected tasks.

    A task is suspected while a worker that was lost during a run of it may have
    crashed. It runs alone on a worker that is set aside.
    """

    def __init__(self) -> None:
        self._losses = LossRecords()
        self._jobs: dict[str, LedJob] = {}
        self._isolation = Isolation()

    @property
    def jobs(self) -> list[LedJob]:
        """The jobs with a suspected task."""
        return list(self._jobs.values())

    @property
    def job_ids(self) -> Collection[str]:
        """Ids of the jobs with a suspected task."""
        return self._jobs.keys()

    @property
    def affect_placement(self) -> bool:
        """Whether a task is suspected or a worker is set aside."""
        return bool(self._jobs) or bool(self._isolation)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def add_job(self, job: LedJob) -> None:
        """Add to the tasks of a job the losses that are known of them."""
        if not self._losses:
            return
        for task in job.tasks:
            task.lost |= self._losses.of_task(task.name)
        if any(task.lost for task in job.tasks):
            self._jobs[job.job_id] = job

    def drop_job(self, job_id: str) -> None:
        """Remove a job; its losses stay known."""
        self._jobs.pop(job_id, None)

    def note_loss(
        self, now: float, job: LedJob, run: Run, lost: LostWorker
    ) -> list[LogDecision]:
        """Suspect the task of a run whose worker was lost."""
        task = next(task for task in job.tasks if task.name == run.task)
        if lost in task.lost:
            return []
        self._losses.note(now, task.name, lost)
        self.add_job(job)
        suspected = TaskSuspected(task.name, *lost, len(task.lost))
        return [LogDecision(suspected)]

    def note_shared(self, now: float, losses: Iterable[TaskLosses]) -> None:
        """Note the workers that another host has lost under tasks."""
        self._losses.note_shared(now, losses)

    def take_unshared(self) -> tuple[TaskLosses, ...]:
        """Return what this host has noted since the last call."""
        return self._losses.take_unshared()

    def clear(self, job: LedJob, is_back: Predicate) -> list[LogDecision]:
        """Clear the tasks of a job of the lost workers that are back."""
        lines: list[LogDecision] = []
        for task in job.tasks:
            for lost in [lost for lost in task.lost if is_back(lost)]:
                task.lost.discard(lost)
                self._losses.clear(task.name, lost)
                cleared = TaskCleared(task.name, lost.worker, len(task.lost))
                lines.append(LogDecision(cleared))
        if not any(task.lost for task in job.tasks):
            self.drop_job(job.job_id)
        return lines

    def waiting(self, jobs: Iterable[LedJob]) -> list[tuple[LedJob, LedTask]]:
        """Return the suspected tasks that may start, one of a job at a time.

        A task that has lost as many workers as convict it waits until it is known
        whether they crashed.
        """
        return [
            (job, task)
            for job in jobs
            if not any(task.lost and task.run for task in job.tasks)
            for task in [t for t in job.ready_tasks() if t.lost][:1]
            if len(task.lost) < MAX_CRASHES
        ]

    # Workers that are set aside

    def is_set_aside(self, worker: str) -> bool:
        """Return whether a worker is set aside for suspected tasks."""
        return worker in self._isolation

    def release_vacant(self) -> bool:
        """Give back the workers that wait for a suspect; return whether any did."""
        return self._isolation.release_vacant()

    def occupy(self, worker: str, run: Run) -> None:
        """Note the run of a suspect on a worker that is set aside."""
        self._isolation.occupy(worker, run)

    def note_closed(self, worker: str, run: Run) -> None:
        """Note that a run has ended; the worker of a suspect may be used by others."""
        self._isolation.note_closed(worker, run)

    def forget_worker(self, worker: str) -> None:
        """Forget a worker that this host no longer leads."""
        self._isolation.forget(worker)

    def choose_worker(
        self,
        job: LedJob,
        task: LedTask,
        capacity: FreeCapacity,
        slowdowns: Mapping[str, float],
        suspects: int,
        closed: Container[str] = (),
    ) -> LeasedWorker | None:
        """Return an idle worker that is set aside and fits a task, if there is one.

        If there is none, sets one aside, so that it becomes idle once its runs end.

        Args:
            job: Job of the task.
            task: The task.
            capacity: Free capacity of the workers that may take tasks now.
            slowdowns: Rounded slowdowns of the known workers, by name.
            suspects: Count of suspected tasks that wait.
            closed: Names of workers that may not be chosen.
        """
        isolation = self._isolation
        by_name = {worker.entry.name: worker for worker in capacity.workers}
        for name in isolation.vacant:
            if name not in by_name:
                isolation.forget(name)
        while True:
            vacant = [by_name[name] for name in isolation.vacant]
            idle = [worker for worker in vacant if not any(worker.reservations)]
            idle_capacity = FreeCapacity(idle, slowdowns)
            worker = choose_worker(
                job, task, idle_capacity, avoid_fast=False, closed=closed
            )
            fitting = [
                name
                for name, other in by_name.items()
                if could_run(other.entry, job.offer.service, task.spec)
            ]
            others = [name for name in fitting if name not in isolation]
            if (
                worker is not None
                or not others
                or len(vacant) >= suspects
                or not isolation.may_add(job.offer.service, len(fitting))
            ):
                return worker
            emptiest = max(others, key=lambda name: capacity.of(name).cores)
            isolation.set_aside(emptiest, job.offer.service)


def find_deadly_task(job: LedJob, has_crashed: Predicate) -> LedTask | None:
    """Return a task under which so many workers crashed that it is given up."""
    for task in job.tasks:
        if task.lost and sum(map(has_crashed, task.lost)) >= MAX_CRASHES:
            return task
    return None
