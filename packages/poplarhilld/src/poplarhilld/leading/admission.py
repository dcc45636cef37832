"""Whether a leader can serve a job, and how long the job will wait."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from poplarhill.exceptions import ErrorKind
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.order import rank
from poplarhilld.leading.placement import could_run
from poplarhilld.leases import LeasedWorker

COME_BACK_S = 1.0  # a lost leader or a burst takes about a second
_SURE_PART = 0.55  # of 40 jobs one takes less of its expected run time


class Refusal(NamedTuple):
    """Why a job cannot be served.

    Attributes:
        kind: One of the closed list.
        detail: One sentence for a person.
        retry_after_s: When to come back, s; 0 if that does not help.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float = 0.0


def expected_wait_s(
    now: float,
    job: LedJob,
    jobs: Iterable[LedJob],
    usable: Iterable[LeasedWorker],
) -> float:
    """Return how long a job will wait for room, roughly, s.

    Args:
        now: The leader's clock, s.
        job: The job.
        jobs: Jobs that were taken before it and have tasks that wait.
        usable: Workers in use.
    """
    cores = free = 0.0
    for worker in usable:
        if worker.entry.service == job.offer.service:
            cores += worker.entry.room.cores
            free += max(0.0, worker.free_capacity().cores)
    if not cores:
        return 0.0
    own = rank(now, job)
    ahead = 0.0
    for other in jobs:
        if other.least_cores < math.inf and rank(now, other) <= own:
            ahead += other.open_room_s
    if not ahead and free >= sum(t.spec.needs.cores for t in job.ready_tasks()):
        return 0.0
    return ahead / cores


def refusal(
    now: float,
    job: LedJob,
    workers: Iterable[LeasedWorker],
    answering: bool,
    wait_s: float,
) -> Refusal | None:
    """Return why a job cannot be served, if so.

    Args:
        now: The leader's clock, s.
        job: The job.
        workers: Workers of its service.
        answering: Whether one of them answers, or may do so in a moment.
        wait_s: How long the job is expected to wait for room, s.
    """
    offer = job.offer
    if not answering:
        detail = f"no worker of {offer.service!r} answers"
        return Refusal(ErrorKind.NO_WORKERS, detail, COME_BACK_S)
    entries = [worker.entry for worker in workers]
    for step in offer.steps:
        if not any(could_run(entry, offer.service, step) for entry in entries):
            return Refusal(ErrorKind.IMPOSSIBLE, "no worker is large enough for a task")
    if wait_s > 0 and not fits_in_time(now + wait_s, job):
        detail = f"expected to wait {wait_s:.2f} s and to run {job.run_s:.2f} s"
        return Refusal(ErrorKind.OVERLOADED, detail, max(wait_s, COME_BACK_S))
    return None


def fits_in_time(begin: float, job: LedJob) -> bool:
    """Return whether a job that starts at a time may still be done in time."""
    return begin + _SURE_PART * job.run_s <= job.deadline
