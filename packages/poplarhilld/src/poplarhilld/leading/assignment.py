"""Places the waiting tasks of a leader on its workers."""

import math
from collections.abc import Sequence

from poplarhill.types import Resources
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.handover import must_wait
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leading.messages import (
    LeaderAction,
    Order,
    RunOrdered,
    StartRun,
)
from poplarhilld.leading.order import rank
from poplarhilld.leading.placement import (
    choose_worker,
    fast_slowdown,
    is_capacity_short,
    max_slowdown_for,
    subtract,
    tolerates_slow_worker,
)
from poplarhilld.leading.shared import LeaderState
from poplarhilld.leases import (
    LeasedWorker,
    Run,
)
from poplarhilld.locality import PlacementPass

_TOLERANCE = 1e-6  # rounding error of sums of cores, which are given in thousandths


class Assignment:
    """Starts the tasks that fit, in queue order.

    Args:
        state: State of the leader.
    """

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def assign(self, now: float) -> list[LeaderAction]:
        """Start the tasks that fit, in queue order.

        Does nothing if no task could start at the last call and nothing has changed
        since then.
        """
        if self._state.placement_up_to_date:
            return []
        self._state.placement_up_to_date = True
        min_cores: dict[str, float] = {}
        for job_id, job in list(self._state.queue.items()):
            min_cores[job_id] = job.least_cores
            if min_cores[job_id] == math.inf:
                # None of its tasks waits; `_forget_run` puts it back.
                del self._state.queue[job_id]
        if not self._state.queue:
            return []
        usable = self._workers_open_to_tasks(now)
        if not usable:
            return []
        free = {worker.entry.name: worker.free_capacity() for worker in usable}
        initial_max_free = (
            max(capacity.cores for capacity in free.values()) + _TOLERANCE
        )
        waiting = [
            job
            for job_id, job in self._state.queue.items()
            if min_cores[job_id] <= initial_max_free and self._may_start_tasks(now, job)
        ]
        if not waiting:
            return []
        if len(waiting) > 1:
            waiting.sort(key=lambda job: rank(now, job))
        capacity_short = is_capacity_short(free, usable)
        max_free = initial_max_free
        fast = fast_slowdown(usable, self._state.times)
        actions: list[LeaderAction] = []
        if self._state.suspects.affect_placement:
            actions += self._assign_suspects(now, waiting, usable, free)
            usable = [
                w for w in usable if not self._state.suspects.is_set_aside(w.entry.name)
            ]
        near_data = self._begin_pass(now, usable, free, capacity_short, fast)
        for job in waiting:
            if min_cores[job.job_id] > max_free:
                continue
            avoid_fast = capacity_short and tolerates_slow_worker(now, job)
            max_slowdown = max_slowdown_for(now, job, fast)
            for task in job.ready_tasks():
                if task.lost or task.spec.needs.cores > initial_max_free:
                    continue
                if task.spec.needs.cores > max_free:
                    break
                placed_job, placed_task = job, task
                if near_data is not None:
                    placement = near_data.place(job, task)
                    if placement is None and task.spec.data_rack:
                        continue  # it may wait for its rack; a later one may not
                    placed_job, placed_task, worker = placement or (job, task, None)
                else:
                    worker = choose_worker(
                        job,
                        task,
                        usable,
                        free,
                        self._state.times,
                        avoid_fast,
                        max_slowdown,
                    )
                if worker is None:
                    if max_slowdown < math.inf:
                        # After a while the job accepts any worker.
                        self._state.placement_up_to_date = False
                    break
                was_largest = free[worker.entry.name].cores + _TOLERANCE >= max_free
                actions += self._start_run(
                    now, placed_job, placed_task, worker, free, len(usable)
                )
                if was_largest:
                    max_free = (
                        max(capacity.cores for capacity in free.values()) + _TOLERANCE
                    )
                if not self._may_take_task(now, worker):
                    usable.remove(worker)  # ejected workers get one probe at a time
                    if near_data is not None:
                        near_data.drop(worker)
                    self._state.placement_up_to_date = False
        return actions if near_data is None else actions + near_data.lines

    def _begin_pass(
        self,
        now: float,
        usable: list[LeasedWorker],
        free: dict[str, Resources],
        capacity_short: bool,
        fast: float,
    ) -> PlacementPass | None:
        """Return what places tasks near their data, if recent jobs name racks."""
        if not self._state.locality.active:
            return None

        def choose(
            job: LedJob, task: LedTask, workers: Sequence[LeasedWorker], remote: bool
        ) -> LeasedWorker | None:
            # A remote run takes long enough to need a fast worker.
            avoid_fast = (
                capacity_short and not remote and tolerates_slow_worker(now, job)
            )
            max_slowdown = max_slowdown_for(now, job, fast)
            times = self._state.times
            return choose_worker(
                job, task, workers, free, times, avoid_fast, max_slowdown
            )

        return PlacementPass(now, self._state, usable, choose)

    def _assign_suspects(
        self,
        now: float,
        waiting: list[LedJob],
        usable: list[LeasedWorker],
        free: dict[str, Resources],
    ) -> list[LeaderAction]:
        """Start suspected tasks, each alone on a worker.

        A second crash then convicts nobody else.
        """
        suspects = self._state.suspects.waiting(waiting)
        if not suspects and self._state.suspects.release_vacant():
            self._state.placement_up_to_date = False
        actions: list[LeaderAction] = []
        for job, task in suspects:
            worker = self._state.suspects.choose_worker(
                job, task, usable, free, self._state.times, len(suspects)
            )
            if worker is not None:
                actions += self._start_run(now, job, task, worker, free, len(usable))
                self._state.suspects.occupy(worker.entry.name, task.run)
        return actions

    def _workers_open_to_tasks(self, now: float) -> list[LeasedWorker]:
        """Return the usable workers whose health allows tasks now."""
        usable = self._state.usable_workers()
        excluded = self._state.health.excluded(now)
        open_to_tasks = [w for w in usable if w.entry.name not in excluded]
        if len(open_to_tasks) < len(usable):
            self._state.placement_up_to_date = False  # others return after a while
        return open_to_tasks

    def _may_take_task(self, now: float, worker: LeasedWorker) -> bool:
        return self._state.is_usable(worker) and self._state.health.may_start(
            now, worker.entry.name
        )

    def _may_start_tasks(self, now: float, job: LedJob) -> bool:
        """Return whether the tasks of a job may start now."""
        if job.stopping:
            return False
        if must_wait(
            now, job, bool(self._state.not_led_here), self._state.workers.values()
        ):
            self._state.placement_up_to_date = False  # the wait ends without an event
            return False
        return True

    def _start_run(
        self,
        now: float,
        job: LedJob,
        task: LedTask,
        worker: LeasedWorker,
        free: dict[str, Resources],
        candidates: int,
    ) -> list[LeaderAction]:
        name = worker.entry.name
        needs = task.spec.needs
        run = Run(task.name, task.next_number)
        deadline_s = worker.reserve(now, run, needs)
        if not job.run_count:
            self._state.history.note_ordered(now, job.job_id)
        job.run_count += 1
        task.run_factor = self._state.locality.factor(task.spec, worker.entry)
        data = self._state.locality.place(task.spec, worker.entry)
        self._state.locality.placed[data] += 1
        self._state.runs.note_started(now, run, task, name)
        self._state.health.note_start(name, run)
        before = free[name]
        free[name] = subtract(before, needs)
        placed = RunOrdered(
            task.name,
            run.number,
            name,
            round(before.cores, 3),
            round(now - job.arrived_at, 4),
            candidates,
            data.value,
        )
        order = Order(run, job.offer.body, deadline_s, worker.token)
        return [LogDecision(placed), StartRun(worker.entry, order)]
