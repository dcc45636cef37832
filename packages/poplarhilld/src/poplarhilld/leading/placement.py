"""Which worker a task goes to."""

import math
from collections.abc import Iterable, Mapping

from poplarhill.types import Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leading.estimates import RunTimes
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leases import LeasedWorker
from poplarhilld.peers.messages import StepSpec

_SLOWEST_SOUND = 1.3  # of the sheets' speeds the lowest is 0.8
_UNSURE = 1.6  # of 40 jobs one takes longer than this for its expected run time
_SHORT_PART = 0.5  # free room, below which the fast workers fill up
_HELD_PART = 0.15  # of a caller's time; rooms are free again sooner at usual load
_TOLERANCE = 1e-6  # cores are sums of thousandths


def affords_slow(now: float, job: LedJob) -> bool:
    """Return whether a job is surely in time on any sound worker."""
    return now + _SLOWEST_SOUND * _UNSURE * job.run_s <= job.deadline


def fastest(workers: Iterable[LeasedWorker], times: RunTimes) -> float:
    """Return the slowdown of the fastest of some workers."""
    return min(_slowdown(times, worker.entry.name) for worker in workers)


def slowest_taken(now: float, job: LedJob, fast: float) -> float:
    """Return the slowdown beyond which a job rather waits for a fast worker.

    For a job with little time to spare, a worker that takes longer by more than
    the wait costs more than the wait. Past it, the job takes any worker, as the
    fast ones may stay full.

    Args:
        now: The leader's clock, s.
        job: The job.
        fast: Slowdown of the fastest worker in use.
    """
    held_s = _HELD_PART * (job.deadline - job.offered_at)
    if now >= job.offered_at + held_s or affords_slow(now, job):
        return math.inf
    return fast / (1 - _HELD_PART)


def is_short(free: Mapping[str, Resources], workers: Iterable[LeasedWorker]) -> bool:
    """Return whether room is short, so that it matters which is taken first."""
    cores = sum(worker.entry.room.cores for worker in workers)
    return sum(room.cores for room in free.values()) < _SHORT_PART * cores


def fits(free: Resources, needs: Resources) -> bool:
    """Return whether room is enough for a task."""
    return (
        needs.cores <= free.cores + _TOLERANCE
        and needs.memory_mb <= free.memory_mb
        and needs.accelerators <= free.accelerators
    )


def without(free: Resources, needs: Resources) -> Resources:
    """Return the room that is left beside a task."""
    return Resources(
        free.cores - needs.cores,
        free.memory_mb - needs.memory_mb,
        free.accelerators - needs.accelerators,
    )


def could_run(worker: WorkerEntry, service: str, step: StepSpec) -> bool:
    """Return whether an empty worker could run a task of a step."""
    return (
        worker.service == service
        and fits(worker.room, step.needs)
        and (not step.label or step.label in worker.labels)
    )


def choose_worker(
    job: LedJob,
    task: LedTask,
    workers: Iterable[LeasedWorker],
    free: Mapping[str, Resources],
    times: RunTimes,
    spare_fast: bool,
    slowest: float = math.inf,
) -> LeasedWorker | None:
    """Return the worker for a task: by its speed, then the tightest fit.

    The fastest is best for a job alone. While room is short, a job that can
    afford a slower worker leaves the fast ones to jobs that cannot.

    Args:
        job: Job of the task.
        task: The task.
        workers: Workers that may take tasks now.
        free: Room that is free on each of them, by name.
        times: What was learned of their speed.
        spare_fast: Whether the fast workers are to be left to others.
        slowest: Slowdown beyond which a worker is not taken.
    """
    best: tuple | None = None
    chosen: LeasedWorker | None = None
    step = task.spec
    for worker in workers:
        entry = worker.entry
        name = entry.name
        if not could_run(entry, job.offer.service, step):
            continue
        if not fits(free[name], step.needs):
            continue
        most = step.max_per_worker
        if most and job.on_worker(task.step, name) >= most:
            continue
        slowdown = _slowdown(times, name)
        if slowdown > slowest:
            continue
        if spare_fast and slowdown <= _SLOWEST_SOUND:
            slowdown = -slowdown
        key = (
            name in task.avoid,
            bool(step.data_rack) and entry.rack != step.data_rack,
            slowdown,
            free[name].cores - step.needs.cores,
            name,
        )
        if best is None or key < best:
            best, chosen = key, worker
    return chosen


def _slowdown(times: RunTimes, worker: str) -> float:
    return round(times.slowdown(worker), 1)  # what is learned is no finer
