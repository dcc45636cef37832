"""Which worker a task goes to."""

from collections.abc import Iterable, Mapping

from poplarhill.types import Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leading.estimates import RunTimes
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leases import LeasedWorker
from poplarhilld.peers.messages import StepSpec

_TOLERANCE = 1e-6  # cores are sums of thousandths


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
) -> LeasedWorker | None:
    """Return the worker for a task: the fastest, then the tightest fit.

    Args:
        job: Job of the task.
        task: The task.
        workers: Workers that may take tasks now.
        free: Room that is free on each of them, by name.
        times: What was learned of their speed.
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
        key = (
            name in task.avoid,
            bool(step.data_rack) and entry.rack != step.data_rack,
            round(times.slowdown(name), 1),
            free[name].cores - step.needs.cores,
            name,
        )
        if best is None or key < best:
            best, chosen = key, worker
    return chosen
