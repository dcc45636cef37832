"""A job at its leader, with the state of its tasks."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from operator import mul
from typing import NamedTuple

from poplarhilld.leading.estimates import CompletedRun
from poplarhilld.leading.spread import RunTimeSpread
from poplarhilld.leases import Run
from poplarhilld.peers.messages import (
    UNKNOWN_WORKERS,
    JobOffer,
    LostWorker,
    StepSpec,
)
from poplarhilld.peers.steps import longest_chain_s, step_prefix

_SAME_TIMEOUT_S = 0.01  # timeouts that differ by less count as equal


@dataclass
class LedTask:
    """One task of a job.

    Attributes:
        number: Its position in the job, from 0.
        name: Its name, unique in the fleet.
        step: Number of its step.
        spec: Specification of its step.
        done: Whether it is done.
        run: The run that is or may be under way, if any.
        worker: Name of the worker of that run.
        ordered_at: When that run was ordered or adopted, by the leader's clock, s.
        adopted: Whether an earlier leader ordered that run, so that its start time
            is unknown.
        next_number: Number of its next run.
        took_s: Run time that the run that did it would have had in the rack of its
            data, s; 0 if that is unknown.
        run_factor: Factor on the run time of its last run, because of its rack.
        failures: Count of runs that failed.
        stalls: Count of runs that were stopped because they took far too long.
        avoid: Workers on which a run of it failed, stalled or was lost.
        lost: Workers that were lost during a run of it and may have crashed under it.
    """

    number: int
    name: str
    step: int
    spec: StepSpec
    done: bool = False
    run: Run | None = None
    worker: str = ""
    ordered_at: float = 0.0
    adopted: bool = False
    next_number: int = 1
    took_s: float = 0.0
    run_factor: float = 1.0
    failures: int = 0
    stalls: int = 0
    avoid: set[str] = field(default_factory=set)
    lost: set[LostWorker] = field(default_factory=set)

    @property
    def waiting(self) -> bool:
        """Whether it is not done and has no run under way."""
        return not self.done and self.run is None


class JobTiming(NamedTuple):
    """When the tasks of a job started and how long they have run.

    Attributes:
        last_start_s: Time from the job's arrival until its last task was started, s;
            `None` if a task was never started.
        mean_run_s: Mean run time of its tasks so far, s.
        longest_run_s: Longest of these run times, s.
    """

    last_start_s: float | None
    mean_run_s: float | None
    longest_run_s: float | None


_UNKNOWN_TIMING = JobTiming(None, None, None)


class LedJob:
    """A job that was offered to this leader.

    Attributes:
        job_id: Its id.
        offered_at: When it was offered, by the leader's clock, s.
        handed_over_at: When an entry host last offered it that had taken it from
            another leader, by the leader's clock, s. No such leader has ordered a run
            of it since; before the first such offer, this is when it was offered.
        arrived_at: When it arrived at its entry host, by the leader's clock, s.
        deadline: When its caller stops waiting, by the leader's clock, s.
        offer_lapses_at: When it is closed unless an entry host repeats its offer, by
            the leader's clock, s.
        workers_digests: Digests of this leader's workers that the job's entry host
            knows; runs are ordered only on these.
        done_count: Count of its tasks that are done.
        run_count: Count of runs that were ordered or adopted for it.
        ran_before: Whether this leader had ordered runs of it before it was offered
            again.
        stopping: Whether it is closed but runs of it may still be under way.
        run_s: Expected run time of its longest chain of steps, s.
        least_run_s: Run time that one job like it in 20 stays below, s.
        due: When it is to be done, by the stretch and allowance of its route and the
            leader's clock, s. The deadline may be later.
        open_core_seconds: Expected work of its tasks that are not done, core-seconds.
        queue_cost: Core-seconds of its open tasks in relation to its value.
        least_cores: Cores of its smallest waiting task; infinite if none waits.
        home_run_s: Like `run_s`, with each step in the rack of its data, s.
        home_step_s: Expected run time of a task of each step in the rack of its data,
            s.
        held: Whether a task of it has waited for the rack of its data.

    Args:
        offer: The offer.
        host: The entry host that offered it.
        now: The leader's clock, s.
        step_s: Expected run time of a task of each step, s.
        spread: How far run times lie from their estimates.
    """

    def __init__(
        self,
        offer: JobOffer,
        host: str,
        now: float,
        step_s: Sequence[float],
        spread: RunTimeSpread | None = None,
    ) -> None:
        self.offer = offer
        self.job_id = offer.job_id
        self.host = host
        self.offered_at = self.handed_over_at = now
        self.arrived_at = now - offer.elapsed_s
        self.deadline = now + offer.left_s
        self.offer_lapses_at = math.inf
        self.workers_digests: tuple[int, ...] = ()
        self.run_count = 0
        self.ran_before = False
        self.stopping = False
        self.completed_runs: list[CompletedRun] = []
        self.tasks: list[LedTask] = []
        for number, step in enumerate(offer.steps):
            prefix = step_prefix(offer.job_id, number)
            first = len(self.tasks)
            self.tasks += [
                LedTask(first + index, f"{prefix}{index}", number, step)
                for index in range(step.count)
            ]
        for number in offer.done:
            if number < len(self.tasks):
                self.tasks[number].done = True
        self._has_one_step = len(offer.steps) == 1
        self._pending = [0] * len(offer.steps)
        for task in self.tasks:
            self._pending[task.step] += not task.done
        self._open_tasks = sum(self._pending)
        self.done_count = len(self.tasks) - self._open_tasks
        self._task_core_seconds = [
            step.needs.cores * run_s
            for step, run_s in zip(offer.steps, step_s, strict=True)
        ]
        self._core_second_cost = 1.0
        self._update_work()
        self.update_least_cores()
        self.home_step_s = self._step_s = tuple(step_s)
        self.run_s = self.home_run_s = longest_chain_s(offer.steps, step_s)
        spread = spread or RunTimeSpread()
        self.least_run_s = spread.least_run_s(offer.route, self.run_s)
        self._home_least_run_s = self.least_run_s
        self.held = False
        self.due = self.arrived_at + offer.stretch * self.run_s + offer.allowance_s
        self._first_due = self._home_due = self.due

    @property
    def complete(self) -> bool:
        """Whether all its tasks are done."""
        return not self._open_tasks

    @property
    def cores(self) -> float:
        """Cores that all its tasks need together."""
        return sum([step.count * step.needs.cores for step in self.offer.steps])

    @property
    def not_run(self) -> bool:
        """Whether no run of it was ever ordered, by this or another leader."""
        ordered_here = self.run_count or self.ran_before
        return not (ordered_here or self.offer.handovers or self.offer.done)

    @property
    def under_way(self) -> list[LedTask]:
        """Tasks with a run that is or may be under way."""
        return [task for task in self.tasks if task.run is not None]

    @property
    def core_second_cost(self) -> float:
        """Queue cost of one core-second of it."""
        return self._core_second_cost

    def set_core_second_cost(self, cost: float) -> None:
        """Set the queue cost of one core-second of it."""
        self._core_second_cost = cost
        self._update_work()

    def _update_work(self) -> None:
        if self._has_one_step:
            work = self._pending[0] * self._task_core_seconds[0]
        else:
            work = sum(map(mul, self._pending, self._task_core_seconds))
        self.open_core_seconds = work
        self.queue_cost = work * self._core_second_cost

    def note_handover(self, now: float, offer: JobOffer) -> None:
        """Note that another entry host has taken this job from other leaders.

        Their runs count as well as those of the leaders that it had before.

        Args:
            now: The leader's clock, s.
            offer: The offer of that host.
        """
        former = dict.fromkeys(_former_workers(self.offer) + _former_workers(offer))
        handovers = max(self.offer.handovers, offer.handovers)
        self.offer = self.offer._replace(
            handovers=handovers, former_workers=tuple(former)
        )
        self.handed_over_at = now

    def is_late(self, now: float) -> bool:
        """Return whether nothing of it has started and it can't be done when due."""
        if self.run_count:
            return False
        end = now + self.run_s
        return end > self.due or end > self.deadline

    def expected_s(self, task: LedTask) -> float:
        """Return the expected run time of a task where it runs or would run, s."""
        if task.run is None:
            return self._step_s[task.step]
        return self.home_step_s[task.step] * task.run_factor

    def set_usual_timeout(self, usual_s: float) -> None:
        """Make it due earlier by the time that its caller has spent on attempts before.

        A caller that tries again has less time left than the callers of its route
        usually have.

        Args:
            usual_s: Usual timeout of the callers of its route, s; 0 if there is none.
        """
        timeout_s = self.offer.elapsed_s + self.offer.left_s
        earlier_s = usual_s - timeout_s
        home_due = self._first_due - (earlier_s if earlier_s > _SAME_TIMEOUT_S else 0.0)
        self.due += home_due - self._home_due
        self._home_due = home_due

    def set_run_factors(self, factors: tuple[float, ...]) -> None:
        """Set the factors on the run times of the steps where they would run.

        This changes its queue cost, so `JobQueue.update` must be called next.
        """
        self._step_s = step_s = tuple(map(mul, self.home_step_s, factors))
        self.run_s = longest_chain_s(self.offer.steps, step_s)
        self.due = self._home_due + self.offer.stretch * (self.run_s - self.home_run_s)
        if self.home_run_s > 0:
            self.least_run_s = self._home_least_run_s * self.run_s / self.home_run_s
        self._task_core_seconds = [
            step.needs.cores * run_s
            for step, run_s in zip(self.offer.steps, step_s, strict=True)
        ]
        self._update_work()

    def update_least_cores(self) -> None:
        """Work out `least_cores` after a task of it has changed."""
        least_cores = math.inf
        for task in self.tasks:
            if task.run is None and not task.done:
                cores = task.spec.needs.cores
                if cores < least_cores:
                    least_cores = cores
                if self._has_one_step:
                    break  # all tasks need the same
        self.least_cores = least_cores

    def task(self, name: str) -> LedTask:
        """Return the task of a name."""
        return next(task for task in self.tasks if task.name == name)

    def ran_s(self, now: float) -> float | None:
        """Return how long its longest chain of steps has run, in home run time, s.

        Returns:
            `None` if that is unknown, because an earlier leader ordered a run.
        """
        step_s = [0.0] * len(self.offer.steps)
        for task in self.tasks:
            if task.adopted or (task.done and not task.took_s):
                return None
            ran_s = task.took_s
            if task.run is not None:
                ran_s = (now - task.ordered_at) / task.run_factor
            step_s[task.step] = max(step_s[task.step], ran_s)
        return longest_chain_s(self.offer.steps, step_s)

    def timing(self, now: float) -> JobTiming:
        """Return when its tasks started and how long they have run.

        A task that was started more than once counts with its last run.

        Args:
            now: The leader's clock, s.

        Returns:
            Only unknown values if an earlier leader ordered a run, or none was ordered.
        """
        started, total_s, longest_s = 0, 0.0, 0.0
        last_start_at = self.arrived_at
        # Runs for each closed job, so the usual case makes few calls.
        for task in self.tasks:
            if task.adopted or (task.done and not task.took_s):
                return _UNKNOWN_TIMING
            if task.done:
                run_s = task.took_s * task.run_factor
            elif task.run is not None:
                run_s = now - task.ordered_at
            else:
                continue
            started += 1
            total_s += run_s
            if run_s > longest_s:
                longest_s = run_s
            if task.ordered_at > last_start_at:
                last_start_at = task.ordered_at
        if not started:
            return _UNKNOWN_TIMING
        last_start_s = None
        if started == len(self.tasks):
            last_start_s = round(last_start_at - self.arrived_at, 4)
        return JobTiming(last_start_s, round(total_s / started, 4), round(longest_s, 4))

    def ready_tasks(self) -> list[LedTask]:
        """Return the waiting tasks of which all earlier steps are done."""
        if self.stopping:
            return []
        waiting = [task for task in self.tasks if task.run is None and not task.done]
        if self._has_one_step:
            return waiting
        open_steps = [
            all(not self._pending[earlier] for earlier in step.after)
            for step in self.offer.steps
        ]
        return [task for task in waiting if open_steps[task.step]]

    def finish(self, task: LedTask) -> None:
        """Mark a task as done."""
        if not task.done:
            task.done = True
            self._pending[task.step] -= 1
            self._open_tasks -= 1
            self.done_count += 1
            self._update_work()
            if task.run is None:
                self.update_least_cores()

    def on_worker(self, step: int, worker: str) -> int:
        """Return how many tasks of a step run on a worker."""
        return sum(t.worker == worker and t.step == step for t in self.under_way)


def _former_workers(offer: JobOffer) -> tuple[int, ...]:
    """Return the digests of the workers of the leaders that a job had before.

    An entry host of an earlier build names none, and then they are not known.
    """
    if offer.handovers and not offer.former_workers:
        return (UNKNOWN_WORKERS,)
    return offer.former_workers
