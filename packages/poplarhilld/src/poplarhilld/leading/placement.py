"""Choice of the worker for a task."""

import math
from collections.abc import Iterable, Mapping

from poplarhill.types import Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leading.estimates import USUAL_SLOWDOWN, RunTimes
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leases import LeasedWorker
from poplarhilld.peers.messages import StepSpec

# The slowest healthy worker runs at 0.8 of usual speed, a slowdown of 1.25.
_MAX_HEALTHY_SLOWDOWN = 1.3
_RUN_TIME_MARGIN = 1.6  # one job in 40 runs for longer than 1.6 times its expected time
_SHORT_FRACTION = 0.5  # free share of capacity below which fast workers fill up
# At usual load, a fast worker is free sooner.
_WAIT_FRACTION = 0.15  # share of its time limit that a job waits for a fast worker
_FAST_FRACTION = 8  # one worker in so many counts as fast
_TOLERANCE = 1e-6  # rounding error of sums of cores, which are given in thousandths


def tolerates_slow_worker(now: float, job: LedJob) -> bool:
    """Return whether a job is sure to meet its deadline on any healthy worker.

    It does so on the slowest one even if it runs 1.6 times its expected time.
    """
    return now + _MAX_HEALTHY_SLOWDOWN * _RUN_TIME_MARGIN * job.run_s <= job.deadline


def fast_slowdown(workers: Iterable[LeasedWorker], times: RunTimes) -> float:
    """Return the slowdown that the fastest eighth of the workers do not exceed.

    The fastest single one may have a lucky estimate, and is rarely free.
    """
    slowdowns = times.rounded_slowdowns
    ordered = sorted(slowdowns.get(w.entry.name, USUAL_SLOWDOWN) for w in workers)
    return ordered[(len(ordered) - 1) // _FAST_FRACTION]


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


def is_capacity_short(
    free: Mapping[str, Resources], workers: Iterable[LeasedWorker]
) -> bool:
    """Return whether so little capacity is free that fast workers fill up."""
    cores = sum(worker.entry.room.cores for worker in workers)
    return sum(capacity.cores for capacity in free.values()) < _SHORT_FRACTION * cores


def fits(free: Resources, needs: Resources) -> bool:
    """Return whether free capacity is enough for a task."""
    return (
        needs.cores <= free.cores + _TOLERANCE
        and needs.memory_mb <= free.memory_mb
        and needs.accelerators <= free.accelerators
    )


def subtract(free: Resources, needs: Resources) -> Resources:
    """Return the capacity that is left after a task has been placed."""
    return Resources(
        free.cores - needs.cores,
        free.memory_mb - needs.memory_mb,
        free.accelerators - needs.accelerators,
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
    workers: Iterable[LeasedWorker],
    free: Mapping[str, Resources],
    times: RunTimes,
    avoid_fast: bool,
    max_slowdown: float = math.inf,
) -> LeasedWorker | None:
    """Return the worker for a task: the fastest, then the one with the tightest fit.

    Workers on which a run of the task has not ended well come last, and workers
    outside the rack of its data come after those in it. While capacity is short, a
    job that tolerates a slower worker takes the slowest healthy one, to leave the
    fast ones to jobs that do not; degraded workers come after all healthy ones.

    Args:
        job: Job of the task.
        task: The task.
        workers: Workers that may take tasks now.
        free: Free capacity of each of them, by name.
        times: Estimates of their speed.
        avoid_fast: Whether to prefer the slowest healthy worker to the fastest.
        max_slowdown: Largest slowdown of a worker that may be chosen.
    """
    best: tuple | None = None
    chosen: LeasedWorker | None = None
    step = task.spec
    cores, memory_mb, accelerators = step.needs
    cores -= _TOLERANCE
    service, label, data_rack = job.offer.service, step.label, step.data_rack
    max_tasks = step.max_per_worker
    slowdowns = times.rounded_slowdowns
    for worker in workers:
        entry = worker.entry
        name = entry.name
        left = free[name]
        # Most workers are full while capacity is short, so this check comes first.
        if (
            left.cores < cores
            or left.memory_mb < memory_mb
            or left.accelerators < accelerators
            or entry.service != service
            or (label and label not in entry.labels)
        ):
            continue
        if max_tasks and job.on_worker(task.step, name) >= max_tasks:
            continue
        slowdown = slowdowns.get(name, USUAL_SLOWDOWN)
        if slowdown > max_slowdown:
            continue
        if avoid_fast and slowdown <= _MAX_HEALTHY_SLOWDOWN:
            slowdown = -slowdown  # the slowest healthy worker comes first
        key = (
            name in task.avoid,
            bool(data_rack) and entry.rack != data_rack,
            slowdown,
            left.cores,
            name,
        )
        if best is None or key < best:
            best, chosen = key, worker
    return chosen
