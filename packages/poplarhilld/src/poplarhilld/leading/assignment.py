"""Places the waiting tasks of a leader on its workers."""

import math
from collections.abc import Container, Iterable, Iterator

from poplarhilld.decisions import LogDecision
from poplarhilld.leading.barred import NONE_BARRED, BarredWorkers
from poplarhilld.leading.capacity import TOLERANCE, FreeCapacity
from poplarhilld.leading.handover import knows_all_runs
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leading.messages import (
    LeaderAction,
    Order,
    RunOrdered,
    StartRun,
)
from poplarhilld.leading.placement import (
    choose_worker,
    fast_slowdown,
    is_capacity_short,
    max_slowdown_for,
    tolerates_slow_worker,
)
from poplarhilld.leading.shared import LeaderState
from poplarhilld.leases import (
    LONGEST_LEASE_FACTOR,
    LeasedWorker,
    Run,
)
from poplarhilld.locality import Placement, PlacementPass, Waiting
from poplarhilld.lookahead import Plan


class Assignment:
    """Starts the tasks that fit, in queue order.

    Args:
        state: State of the leader.
    """

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self._barred: BarredWorkers | None = None
        # An offer that is valid for longer closes no worker to its job.
        limits = state.limits
        self._least_left_s = (
            state.lease_s * LONGEST_LEASE_FACTOR
            + limits.lifetime_s
            - limits.runs_ended_after_s
        )

    def assign(self, now: float) -> list[LeaderAction]:
        """Start the tasks that fit, in queue order.

        Does nothing if no task could start at the last call and nothing has changed
        since then.
        """
        if self._state.placement_up_to_date:
            return []
        self._state.placement_up_to_date = True
        # `forget_run` puts the exhausted jobs back.
        least_cores = self._state.queue.drop_exhausted()
        if least_cores == math.inf:
            return []
        limited = self._state.health.limits_tasks(now)
        capacity = self._capacity_open_to_tasks(now, limited)
        if not len(capacity):
            return []
        initial_max_free = capacity.max_free_cores
        if least_cores > initial_max_free:
            return []
        self._barred = None
        plan = self._state.lookahead.plan(now, capacity)
        waiting: Iterable[LedJob] = self._waiting_jobs(
            now, initial_max_free if plan is None else math.inf
        )
        capacity_short = is_capacity_short(capacity)
        max_free = initial_max_free
        fast = fast_slowdown(capacity)
        actions: list[LeaderAction] = []
        if self._state.suspects.affect_placement:
            waiting = list(waiting)
            if not waiting:
                return []
            actions += self._assign_suspects(now, waiting, capacity)
            capacity = self._state.capacity_of(
                worker
                for worker in capacity.workers
                if not self._state.suspects.is_set_aside(worker.entry.name)
            )
        if plan is not None:
            waiting = plan.order(waiting)
        near_data: PlacementPass | None = None
        if self._state.locality.active:
            near_data = self._begin_pass(now, capacity, capacity_short, fast, plan)
        known_digests = self._state.workers_digests
        if known_digests is None:
            known_digests = self._state.worker_sets.digests
        for job in waiting:
            if least_cores > max_free:
                break
            if job.least_cores > max_free:
                if plan is not None:
                    actions += _reserve(plan, job, near_data)
                continue
            avoid_fast = capacity_short and tolerates_slow_worker(now, job)
            max_slowdown = max_slowdown_for(now, job, fast)
            barred = NONE_BARRED
            if (
                job.workers_digests != known_digests
                or job.offer_lapses_at < now + self._least_left_s
            ):
                barred = self._barred_to(now, job)
            for task in job.ready_tasks():
                if task.lost or task.spec.needs.cores > initial_max_free:
                    continue
                if task.spec.needs.cores > max_free:
                    if plan is not None:
                        actions += _reserve(plan, job, near_data)
                    break
                placed_job, placed_task = job, task
                worker: LeasedWorker | None = None
                fits_elsewhere = False
                if near_data is None:
                    closed: Container[str] = barred
                    if plan is not None:
                        closed = plan.closed_to(job, task) | barred
                    worker = choose_worker(
                        job, task, capacity, avoid_fast, max_slowdown, closed
                    )
                else:
                    match near_data.place(job, task):
                        case Placement(placed_job, placed_task, worker):
                            pass
                        case Waiting(fits_elsewhere):
                            pass
                if worker is None:
                    if plan is not None and not fits_elsewhere:
                        actions += _reserve(plan, job, near_data)
                    if max_slowdown < math.inf:
                        # After a while the job accepts any worker.
                        self._state.placement_up_to_date = False
                    if near_data is not None and task.spec.data_rack:
                        continue  # it may wait for its rack; a later one may not
                    break
                free_cores = capacity.of(worker.entry.name).cores
                actions += self._start_run(
                    now, placed_job, placed_task, worker, capacity
                )
                if limited and not self._state.health.may_start(now, worker.entry.name):
                    # Ejected workers get one probe at a time.
                    capacity.remove(worker.entry.name)
                    if near_data is not None:
                        near_data.drop(worker)
                    self._state.placement_up_to_date = False
                if free_cores + TOLERANCE >= max_free:
                    max_free = capacity.max_free_cores
        return actions if near_data is None else actions + near_data.lines

    def _barred_to(self, now: float, job: LedJob) -> frozenset[str]:
        """Return the names of the workers on which no run of a job may start now."""
        if self._barred is None:
            self._barred = BarredWorkers(self._state)
        return self._barred.barred_to(now, job)

    def _begin_pass(
        self,
        now: float,
        capacity: FreeCapacity,
        capacity_short: bool,
        fast: float,
        plan: Plan | None,
    ) -> PlacementPass:
        """Return what places tasks near their data.

        Args:
            now: The leader's clock, s.
            capacity: Free capacity of the workers that may take tasks now.
            capacity_short: Whether so little of it is free that fast workers fill up.
            fast: Slowdown of the fast workers in use.
            plan: Decisions of a round that looks ahead, if it does.
        """

        def closed_to(job: LedJob, task: LedTask, remote: bool) -> frozenset[str]:
            barred = self._barred_to(now, job)
            if plan is None:
                return barred
            factor = self._state.locality.slowdown if remote else 1.0
            return plan.closed_to(job, task, factor) | barred

        def choose(
            job: LedJob, task: LedTask, workers: Iterable[LeasedWorker], remote: bool
        ) -> LeasedWorker | None:
            closed = set(capacity.names)
            closed.difference_update(worker.entry.name for worker in workers)
            closed.update(closed_to(job, task, remote))
            # A remote run takes long enough to need a fast worker.
            avoid_fast = (
                capacity_short and not remote and tolerates_slow_worker(now, job)
            )
            max_slowdown = max_slowdown_for(now, job, fast)
            return choose_worker(job, task, capacity, avoid_fast, max_slowdown, closed)

        return PlacementPass(now, self._state, capacity.workers, choose, closed_to)

    def _assign_suspects(
        self,
        now: float,
        waiting: list[LedJob],
        capacity: FreeCapacity,
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
                job,
                task,
                capacity,
                self._state.times.rounded_slowdowns,
                len(suspects),
                self._barred_to(now, job),
            )
            if worker is not None:
                actions += self._start_run(now, job, task, worker, capacity)
                self._state.suspects.occupy(worker.entry.name, task.run)
        return actions

    def _capacity_open_to_tasks(self, now: float, limited: bool) -> FreeCapacity:
        """Return the free capacity of the usable workers whose health allows tasks.

        Args:
            now: The leader's clock, s.
            limited: Whether the health of any worker limits its tasks.
        """
        capacity = self._state.capacity()
        if not limited:
            return capacity
        excluded = self._state.health.excluded(now)
        open_to_tasks = [
            worker for worker in capacity.workers if worker.entry.name not in excluded
        ]
        if len(open_to_tasks) < len(capacity):
            self._state.placement_up_to_date = False  # others return after a while
        return self._state.capacity_of(open_to_tasks)

    def _waiting_jobs(self, now: float, max_free: float) -> Iterator[LedJob]:
        """Yield the jobs that may start tasks, in queue order.

        Args:
            now: The leader's clock, s.
            max_free: Free cores of the worker that has most of them.
        """
        state = self._state
        # The leader that has held workers of this one may have jobs of it by now. The
        # next offer of a job shows that it is still here. An offer that is older than
        # this leader has reported of its runs does not count either.
        offered_since = max(state.reclaimed_at, state.offer_times.reported_at)
        starts_if_lapsing_at = offered_since + state.limits.lifetime_s
        for job in state.queue.by_rank(now):
            if job.least_cores > max_free or job.stopping:
                continue
            if now >= job.offer_lapses_at:
                continue  # nobody may wait for it any more
            if job.offer_lapses_at < starts_if_lapsing_at:
                continue
            if job.offer.handovers and not knows_all_runs(job, state.worker_sets):
                continue
            yield job

    def _start_run(
        self,
        now: float,
        job: LedJob,
        task: LedTask,
        worker: LeasedWorker,
        capacity: FreeCapacity,
    ) -> list[LeaderAction]:
        name = worker.entry.name
        free_cores = capacity.of(name).cores
        run = Run(task.name, task.next_number)
        deadline_s = worker.reserve(now, run, task.spec.needs, job)
        capacity.update(name)
        if self._barred is not None:
            self._barred.note_start(name)
        if not job.run_count:
            self._state.history.note_ordered(now, job.job_id, job.deadline)
        job.run_count += 1
        task.run_factor = self._state.locality.factor(task.spec, worker.entry)
        data = self._state.locality.place(task.spec, worker.entry)
        self._state.locality.placed[data] += 1
        self._state.runs.note_started(now, run, task, name)
        self._state.lookahead.note_start(now, name, run, job, task)
        self._state.health.note_start(name, run)
        placed = RunOrdered(
            task.name,
            run.number,
            name,
            round(free_cores, 3),
            round(now - job.arrived_at, 4),
            len(capacity),
            data.value,
        )
        order = Order(run, job.offer.body, deadline_s, worker.token)
        return [LogDecision(placed), StartRun(worker.entry, order)]


def _reserve(
    plan: Plan, job: LedJob, near_data: PlacementPass | None
) -> list[LogDecision]:
    """Reserve places for a job that fits nowhere, in the rack of its data if known."""
    return plan.reserve(job, None if near_data is None else near_data.near)
