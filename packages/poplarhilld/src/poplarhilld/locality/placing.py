"""Whether a task waits for the rack of its data or runs elsewhere now."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING, NamedTuple

from poplarhilld.decisions import LogDecision
from poplarhilld.locality.messages import TaskHeld
from poplarhilld.locality.state import releases
from poplarhilld.locality.timeline import RackTimeline, Release, Slot

if TYPE_CHECKING:
    from poplarhilld.leading.job import LedJob, LedTask
    from poplarhilld.leading.shared import LeaderState
    from poplarhilld.leases import LeasedWorker

    # Returns the worker for a task among some, or `None`, given whether these are
    # outside the rack of its data.
    Choose = Callable[
        [LedJob, LedTask, Iterable[LeasedWorker], bool], LeasedWorker | None
    ]
    # Returns the names of the workers whose reserved places a task would delay, given
    # whether it would run outside the rack of its data.
    ClosedTo = Callable[[LedJob, LedTask, bool], Collection[str]]

# A job of which one in 40 runs for longer than 1.6 times its expected time is in time
# on a place that leaves this margin.
_IN_TIME_MARGIN = 1.3
# A place freed by an estimate is less certain than one that is free: the wait has to
# gain this share of the run time.
_MIN_GAIN = 0.05


class Placement(NamedTuple):
    """A task to start now, and its worker."""

    job: LedJob
    task: LedTask
    worker: LeasedWorker


class Waiting(NamedTuple):
    """A task that does not start now.

    Attributes:
        fits_elsewhere: Whether a worker outside the rack of its data has room for it.
    """

    fits_elsewhere: bool


class _Held(NamedTuple):
    job: LedJob
    task: LedTask
    slot: Slot
    release: Release


class PlacementPass:
    """One pass over the waiting tasks of a leader, in queue order.

    Tasks that wait for a rack reserve their places in its timeline, so that each one
    counts those before it.

    Args:
        now: The leader's clock, s.
        state: State of the leader.
        workers: Workers that may take tasks now.
        choose: Chooses a worker for a task among some.
        closed_to: Returns the workers whose reserved places a task would delay.

    Attributes:
        lines: Log lines on tasks that wait.
    """

    def __init__(
        self,
        now: float,
        state: LeaderState,
        workers: Iterable[LeasedWorker],
        choose: Choose,
        closed_to: ClosedTo,
    ) -> None:
        self._now = now
        self._state = state
        self._slowdown = state.locality.slowdown
        self._choose = choose
        self._closed_to = closed_to
        self._workers = list(workers)
        self._hot = state.locality.in_demand(now, self._workers)
        self._timelines: dict[tuple[str, str], RackTimeline] = {}
        self._held: dict[tuple[str, str], list[_Held]] = {}
        self.lines: list[LogDecision] = []

    def drop(self, worker: LeasedWorker) -> None:
        """Remove a worker that may not take tasks any more."""
        self._workers.remove(worker)
        for timeline in self._timelines.values():
            timeline.drop(worker.entry.name)

    def near(self, task: LedTask) -> list[LeasedWorker]:
        """Return the workers in the rack of a task that it does not avoid."""
        rack = task.spec.data_rack
        return [
            worker
            for worker in self._workers
            if rack
            and worker.entry.rack == rack
            and worker.entry.name not in task.avoid
        ]

    def place(self, job: LedJob, task: LedTask) -> Placement | Waiting:
        """Return what to start now: the task, one that waits for its rack, or none."""
        near = self.near(task)
        worker = self._choose(job, task, near, False) if near else None
        if worker is not None:
            self._note_start(job, task, worker)
            return Placement(job, task, worker)
        slot = self._slot(job, task) if near else None
        elsewhere = self._choose_elsewhere(job, task)
        if slot is None:
            return Placement(job, task, elsewhere) if elsewhere else Waiting(False)
        remote_end = self._remote_end(job, task, elsewhere) if elsewhere else None
        if remote_end is None or not self._is_sooner(job, task, remote_end, slot):
            self._hold(job, task, slot, remote_end)
            return Waiting(elsewhere is not None)
        return self._spill(job, task, elsewhere)

    def _slot(self, job: LedJob, task: LedTask) -> Slot | None:
        """Return the place in the rack of a task where it would end first."""
        step, avoid = task.spec, task.avoid
        closed = self._closed_to(job, task, False)

        def may_use(worker: LeasedWorker) -> bool:
            entry = worker.entry
            return (
                entry.name not in avoid
                and entry.name not in closed
                and entry.room.cores >= step.needs.cores
                and (not step.label or step.label in entry.labels)
            )

        run_s = job.home_step_s[task.step]
        timeline = self._timeline(step.data_rack, job.offer.service)
        return timeline.earliest(step.needs.cores, run_s, may_use)

    def _timeline(self, rack: str, service: str) -> RackTimeline:
        key = (rack, service)
        if key not in self._timelines:
            workers = [
                worker
                for worker in self._workers
                if worker.entry.rack == rack and worker.entry.service == service
            ]
            self._timelines[key] = RackTimeline(
                self._now,
                workers,
                lambda worker: releases(self._now, worker, self._state),
                self._state.times.slowdown,
            )
        return self._timelines[key]

    def _note_start(self, job: LedJob, task: LedTask, worker: LeasedWorker) -> None:
        """Take the capacity of a task that starts now from the timeline of its rack."""
        name = worker.entry.name
        timeline = self._timelines.get((worker.entry.rack, job.offer.service))
        if timeline is not None:
            factor = self._state.locality.factor(task.spec, worker.entry)
            run_s = job.home_step_s[task.step] * factor
            end = self._now + run_s * self._state.times.slowdown(name)
            timeline.reserve(Slot(name, self._now, end), task.spec.needs.cores)

    def _choose_elsewhere(self, job: LedJob, task: LedTask) -> LeasedWorker | None:
        """Return a free worker outside the rack, if possible in no rack in demand."""
        rack = task.spec.data_rack
        others = [
            worker
            for worker in self._workers
            if not rack or worker.entry.rack != rack or worker.entry.name in task.avoid
        ]
        if not self._hot:
            return self._choose(job, task, others, bool(rack))
        cool = [w for w in others if w.entry.rack not in self._hot]
        worker = self._choose(job, task, cool, bool(rack))
        if worker is not None:
            run_s = self._remote_end(job, task, worker) - self._now
            limit = min(job.due, job.deadline)
            if self._now + _IN_TIME_MARGIN * run_s <= limit:
                return worker
        hot = [w for w in others if w.entry.rack in self._hot]
        other = self._choose(job, task, hot, bool(rack))
        if worker is None or other is None:
            return worker or other
        slowdown = self._state.times.slowdown
        gain = slowdown(worker.entry.name) / slowdown(other.entry.name)
        return other if gain > _IN_TIME_MARGIN else worker

    def _remote_end(self, job: LedJob, task: LedTask, worker: LeasedWorker) -> float:
        factor = self._state.locality.factor(task.spec, worker.entry)
        slowdown = self._state.times.slowdown(worker.entry.name)
        return self._now + job.home_step_s[task.step] * factor * slowdown

    def _is_sooner(
        self, job: LedJob, task: LedTask, remote_end: float, slot: Slot
    ) -> bool:
        """Return whether a task should run elsewhere now rather than wait."""
        limit = min(job.due, job.deadline)
        if (remote_end <= limit) != (slot.end <= limit):
            return remote_end <= limit
        return remote_end < slot.end + _MIN_GAIN * job.home_step_s[task.step]

    def _hold(
        self, job: LedJob, task: LedTask, slot: Slot, remote_end: float | None
    ) -> None:
        key = (task.spec.data_rack, job.offer.service)
        release = self._timelines[key].reserve(slot, task.spec.needs.cores)
        self._held.setdefault(key, []).append(_Held(job, task, slot, release))
        if not job.held:
            job.held = True
            near_s = round(slot.end - self._now, 4)
            remote_s = -1.0 if remote_end is None else round(remote_end - self._now, 4)
            line = TaskHeld(task.name, task.spec.data_rack, near_s, remote_s)
            self.lines.append(LogDecision(line))

    def _spill(self, job: LedJob, task: LedTask, worker: LeasedWorker) -> Placement:
        """Start a task elsewhere, or one that loses less by that and gives its place.

        The loss of a remote run is in proportion to the run time.
        """
        run_s = job.home_step_s[task.step]
        held = self._held.get((task.spec.data_rack, job.offer.service), [])
        for other in sorted(held, key=lambda h: h.job.home_step_s[h.task.step]):
            other_run_s = other.job.home_step_s[other.task.step]
            if other_run_s >= run_s:
                break
            if other.release.cores < task.spec.needs.cores:
                continue
            slowdown = self._state.times.slowdown(other.slot.worker)
            end = other.slot.start + run_s * slowdown
            if end >= self._remote_end(job, task, worker):
                continue
            elsewhere = self._choose_elsewhere(other.job, other.task)
            if elsewhere is None:
                continue
            other_end = self._remote_end(other.job, other.task, elsewhere)
            if other_end > min(other.job.due, other.job.deadline):
                continue
            held.remove(other)
            other.release.at = end
            slot = Slot(other.slot.worker, other.slot.start, end)
            held.append(_Held(job, task, slot, other.release))
            return Placement(other.job, other.task, elsewhere)
        return Placement(job, task, worker)
