"""The slowdown in force, the demand for each rack, and where its jobs would run."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from poplarhilld.locality.messages import OFF, DataPlace, RackLoad
from poplarhilld.locality.timeline import RackTimeline, Release, expected_end

if TYPE_CHECKING:
    from poplarhilld.catalogue import WorkerEntry
    from poplarhilld.leading.job import LedJob
    from poplarhilld.leading.shared import LeaderState
    from poplarhilld.leases import LeasedWorker
    from poplarhilld.peers.messages import StepSpec

_MEMORY_S = 1.0  # time constant of the demand; a burst on a rack lasts some seconds
# A rack is in demand if its work would fill this share of its cores. With 0.4 and 0.65,
# other work is kept from places that stay free, and credit is lower.
_IN_DEMAND_SHARE = 0.9
_MAX_RACKS = 4096  # callers name them; the largest fleet has 2,600
_FORGET_SHARE = 0.02  # a rack with less demand than this is not tracked any more
_MAX_REPORTED = 16  # racks in a heartbeat, those with the longest waits
_WAIT_DIGITS = 2  # a heartbeat that changes is decoded anew by each receiver
_NO_PLACE_S = 60.0  # wait for a rack of which no worker may take tasks
_COUNT_INTERVAL_S = 0.02  # an offer would otherwise scan the queue, job by job
_REVIEW_INTERVAL_S = 0.1  # a wait changes by about a task's run time


class _Demand(NamedTuple):
    """Recent jobs that named a rack.

    Attributes:
        service: Service of the newest one.
        work: Work that arrives, core-seconds per second.
        cores: Mean cores of a task.
        at: When the newest one arrived, by the leader's clock, s.
    """

    service: str
    work: float
    cores: float
    at: float

    def work_at(self, now: float) -> float:
        return self.work * math.exp((self.at - now) / _MEMORY_S)


class Locality:
    """What a leader knows of racks.

    Attributes:
        slowdown: Factor on the run time outside the rack of the data; 1 is off.
        placed: Count of ordered runs by where they run.
    """

    def __init__(self) -> None:
        self.slowdown = OFF
        self.placed: dict[str, int] = dict.fromkeys(DataPlace, 0)
        self._demand: dict[str, _Demand] = {}
        self._review_at = 0.0
        self._queued: dict[tuple[str, str], float] = {}
        self._queued_until = 0.0

    @property
    def on(self) -> bool:
        """Whether the slowdown is known and above 1."""
        return self.slowdown > OFF

    @property
    def active(self) -> bool:
        """Whether it is on and a recent job named a rack."""
        return bool(self._demand) and self.on

    def set_slowdown(self, slowdown: float, state: LeaderState) -> None:
        """Set the slowdown; runs under way keep the one of their start."""
        self.slowdown = max(OFF, slowdown)
        self._review_at = 0.0
        if not self.on:
            self._demand.clear()
            for job in state.jobs.values():
                job.set_run_factors((1.0,) * len(job.offer.steps))
                state.queue.update(job)

    def place(self, step: StepSpec, entry: WorkerEntry) -> DataPlace:
        """Return where a task runs in relation to its data on a worker."""
        if not step.data_rack:
            return DataPlace.NONE
        return DataPlace.NEAR if step.data_rack == entry.rack else DataPlace.REMOTE

    def factor(self, step: StepSpec, entry: WorkerEntry) -> float:
        """Return the factor on the run time of a task on a worker."""
        remote = self.place(step, entry) is DataPlace.REMOTE
        return self.slowdown if remote else 1.0

    def in_demand(self, now: float, workers: Iterable[LeasedWorker]) -> frozenset[str]:
        """Return the racks whose recent jobs would nearly fill them."""
        cores: dict[str, float] = {}
        for worker in workers:
            rack = worker.entry.rack
            if rack in self._demand:
                cores[rack] = cores.get(rack, 0.0) + worker.entry.room.cores
        return frozenset(
            rack
            for rack, total in cores.items()
            if self._demand[rack].work_at(now) >= _IN_DEMAND_SHARE * total
        )

    def admit(
        self, now: float, job: LedJob, state: LeaderState, wait_s: float
    ) -> float:
        """Set where the tasks of a new job would run, and return its expected wait, s.

        Args:
            now: The leader's clock, s.
            job: The job.
            state: State of the leader.
            wait_s: Expected wait for capacity anywhere, s.
        """
        if not any(step.data_rack for step in job.offer.steps):
            return wait_s
        self._note_arrival(now, job)
        wait_s = self._settle(now, job, state, wait_s)
        self._count(job)
        return wait_s

    def review(self, now: float, state: LeaderState) -> None:
        """Set anew where the waiting jobs would run, as waits and workers change."""
        if not self.active or now < self._review_at:
            return
        self._review_at = now + _REVIEW_INTERVAL_S
        for rack, demand in list(self._demand.items()):
            if demand.work_at(now) <= _FORGET_SHARE * demand.cores:
                del self._demand[rack]
        waits: dict[tuple[str, str], float] = {}
        for job in state.queue.jobs:
            if not job.run_count and any(step.data_rack for step in job.offer.steps):
                self._settle(now, job, state, 0.0, waits)

    def rack_loads(self, now: float, state: LeaderState) -> tuple[RackLoad, ...]:
        """Return the racks in which a task has to wait, for heartbeats."""
        if not self.active:
            return ()
        loads: list[RackLoad] = []
        led = {worker.entry.rack for worker in state.workers.values()}
        for rack, demand in self._demand.items():
            if rack not in led:
                continue
            wait_s = self._rack_wait_s(now, rack, demand.service, demand.cores, state)
            if round(wait_s, _WAIT_DIGITS) > 0:
                loads.append(RackLoad(rack, round(wait_s, _WAIT_DIGITS)))
        loads.sort(key=lambda load: (-load.wait_s, load.rack))
        return tuple(loads[:_MAX_REPORTED])

    def _note_arrival(self, now: float, job: LedJob) -> None:
        for number, step in enumerate(job.offer.steps):
            if not step.data_rack:
                continue
            core_s = step.count * step.needs.cores * job.home_step_s[number]
            demand = self._demand.get(step.data_rack)
            if demand is None and len(self._demand) >= _MAX_RACKS:
                continue
            work, cores = 0.0, step.needs.cores
            if demand is not None:
                work = demand.work_at(now)
                cores = demand.cores + 0.1 * (cores - demand.cores)
            self._demand[step.data_rack] = _Demand(
                job.offer.service, work + core_s / _MEMORY_S, cores, now
            )

    def _settle(
        self,
        now: float,
        job: LedJob,
        state: LeaderState,
        wait_s: float,
        waits: dict[tuple[str, str], float] | None = None,
    ) -> float:
        """Set the run factors of a job and return its expected wait, s."""
        waits = {} if waits is None else waits
        longest_s = 0.0
        factors: list[float] = []
        for number, step in enumerate(job.offer.steps):
            factor, step_wait_s = 1.0, wait_s
            if step.data_rack:
                key = (step.data_rack, job.offer.service)
                if key not in waits:
                    waits[key] = self._rack_wait_s(now, *key, step.needs.cores, state)
                run_s = job.home_step_s[number]
                if waits[key] + run_s <= wait_s + run_s * self.slowdown:
                    step_wait_s = waits[key]
                else:
                    factor = self.slowdown
            factors.append(factor)
            longest_s = max(longest_s, step_wait_s)
        job.set_run_factors(tuple(factors))
        state.queue.update(job)
        return longest_s

    def _rack_wait_s(
        self, now: float, rack: str, service: str, cores: float, state: LeaderState
    ) -> float:
        """Return how long a task would wait for a place in a rack, s."""
        excluded = state.health.excluded(now)
        workers = [
            worker
            for worker in state.usable_workers()
            if worker.entry.rack == rack
            and worker.entry.service == service
            and worker.entry.name not in excluded
        ]
        total = sum(worker.entry.room.cores for worker in workers)
        timeline = RackTimeline(
            now, workers, lambda w: releases(now, w, state), state.times.slowdown
        )
        slot = timeline.earliest(cores, 0.0)
        if slot is None or not total:
            return _NO_PLACE_S
        queued = self._queued_core_s(now, state).get((rack, service), 0.0)
        return slot.start - now + queued / total

    def _queued_core_s(
        self, now: float, state: LeaderState
    ) -> dict[tuple[str, str], float]:
        """Return the work that waits for each rack and service, core-seconds."""
        if now < self._queued_until:
            return self._queued
        self._queued_until = now + _COUNT_INTERVAL_S
        self._queued = {}
        for job in state.queue.jobs:
            if not job.stopping:
                self._count(job)
        return self._queued

    def _count(self, job: LedJob) -> None:
        for task in job.tasks:
            step = task.spec
            if step.data_rack and task.waiting:
                key = (step.data_rack, job.offer.service)
                core_s = step.needs.cores * job.home_step_s[task.step]
                self._queued[key] = self._queued.get(key, 0.0) + core_s


def releases(now: float, worker: LeasedWorker, state: LeaderState) -> list[Release]:
    """Return when the runs of a worker are expected to release their cores."""
    name = worker.entry.name
    slowdown = state.times.slowdown(name)
    found: list[Release] = []
    for reservation in worker.reservations:
        task = state.runs.task_of(name, reservation.run)
        job = None if task is None else state.runs.job_of(task.name)
        if job is None:
            continue  # a run that is being stopped, or whose job is not known yet
        at = expected_end(now, task.ordered_at, job.expected_s(task) * slowdown)
        found.append(Release(at, task.spec.needs.cores))
    return found
