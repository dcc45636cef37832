"""Choice of the worker for a task."""

import math
from collections.abc import Container

from poplarhill.types import Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leading.capacity import (
    MAX_HEALTHY_SLOWDOWN,
    TOLERANCE,
    FreeCapacity,
)
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leases import LeasedWorker
from poplarhilld.peers.messages import StepSpec

_RUN_TIME_MARGIN = 1.6  # one job in 40 runs for longer than 1.6 times its expected time
_SHORT_FRACTION = 0.5  # free share of capacity below which fast workers fill up
# At usual load, a fast worker is free sooner.
_WAIT_FRACTION = 0.15  # share of its time limit that a job waits for a fast worker
_FAST_FRACTION = 8  # one worker in so many counts as fast
_NO_PENALTY = (False, False)  # not avoided, and in the rack of the data


def tolerates_slow_worker(now: float, job: LedJob) -> bool:
    """Return whether a job is sure to meet its deadline on any healthy worker.

    It does so on the slowest one even if it runs 1.6 times its expected time.
    """
    return now + MAX_HEALTHY_SLOWDOWN * _RUN_TIME_MARGIN * job.run_s <= job.deadline


def fast_slowdown(capacity: FreeCapacity) -> float:
    """Return the slowdown that the fastest eighth of the workers do not exceed.

    The fastest single one may have a lucky estimate, and is rarely free.
    """
    return capacity.slowdown_at(_FAST_FRACTION)


def max_slowdown_for(now: float, job: LedJob, fast: float) -> float:
    """Return the largest slowdown of a worker that a job may be placed on now.

    A job with little time to spare first waits for a fast worker, if a slow one
    would cost it more time than the wait. After that it takes any worker, since
    the fast ones may stay full.

    Args:
        now: The leader's clock, s.
        job: The job.
        fast: Slowdown of the fast workers in use.
    """
    wait_s = _WAIT_FRACTION * (job.deadline - job.offered_at)
    if now >= job.offered_at + wait_s or tolerates_slow_worker(now, job):
        return math.inf
    return fast / (1 - _WAIT_FRACTION)


def is_capacity_short(capacity: FreeCapacity) -> bool:
    """Return whether so little capacity is free that fast workers fill up."""
    return capacity.free_cores < _SHORT_FRACTION * capacity.total_cores


def fits(free: Resources, needs: Resources) -> bool:
    """Return whether free capacity is enough for a task."""
    return (
        needs.cores <= free.cores + TOLERANCE
        and needs.memory_mb <= free.memory_mb
        and needs.accelerators <= free.accelerators
    )


def could_run(worker: WorkerEntry, service: str, step: StepSpec) -> bool:
    """Return whether a worker without other tasks could run a task of a step."""
    return (
        worker.service == service
        and fits(worker.room, step.needs)
        and (not step.label or step.label in worker.labels)
    )


def could_run_at_largest(worker: WorkerEntry, service: str, step: StepSpec) -> bool:
    """Return whether a worker could run a task of a step at its largest capacity."""
    return could_run(worker._replace(room=worker.largest_room), service, step)


def choose_worker(
    job: LedJob,
    task: LedTask,
    capacity: FreeCapacity,
    avoid_fast: bool,
    max_slowdown: float = math.inf,
    closed: Container[str] = (),
) -> LeasedWorker | None:
    """Return the worker for a task: the fastest, then the one with the tightest fit.

    Workers on which a run of the task has not ended well come last, and workers
    outside the rack of its data come after those in it. While capacity is short, a
    job that tolerates a slower worker takes the slowest healthy one, to leave the
    fast ones to jobs that do not; degraded workers come after all healthy ones.

    Args:
        job: Job of the task.
        task: The task.
        capacity: Free capacity of the workers that may take tasks now.
        avoid_fast: Whether to prefer the slowest healthy worker to the fastest.
        max_slowdown: Largest slowdown of a worker that may be chosen.
        closed: Names of workers that may not be chosen.
    """
    lowest: tuple[bool, bool] | None = None
    chosen: LeasedWorker | None = None
    step = task.spec
    service, label, data_rack = job.offer.service, step.label, step.data_rack
    max_tasks = step.max_per_worker
    for worker in capacity.fitting(step.needs, avoid_fast, max_slowdown):
        entry = worker.entry
        name = entry.name
        if entry.service != service or (label and label not in entry.labels):
            continue
        if closed and name in closed:
            continue
        if max_tasks and job.on_worker(task.step, name) >= max_tasks:
            continue
        penalty = (name in task.avoid, bool(data_rack) and entry.rack != data_rack)
        if penalty == _NO_PENALTY:
            return worker
        if lowest is None or penalty < lowest:
            lowest, chosen = penalty, worker
    return chosen
