"""Admission of jobs at a leader, and the expected time until they start."""

import math
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from poplarhill.exceptions import ErrorKind
from poplarhilld.leading.capacity import ServiceCores
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.order import rank
from poplarhilld.leading.placement import could_run, could_run_at_largest
from poplarhilld.leading.queue import JobQueue
from poplarhilld.leases import LeasedWorker

RETRY_AFTER_S = 1.0  # a failover or a burst lasts about a second


class Refusal(NamedTuple):
    """Why a job is refused.

    Attributes:
        kind: Kind of the error.
        detail: Explanation for people.
        retry_after_s: Time after which to retry, s; 0 if a retry does not help.
        elsewhere: Whether another leader may run the job.
        wait_s: How long it would wait for free capacity, if that is the reason, s.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float = 0.0
    elsewhere: bool = False
    wait_s: float = 0.0


def expected_wait_s(
    now: float,
    job: LedJob,
    queue: JobQueue,
    suspects: Collection[str],
    cores: ServiceCores,
) -> float:
    """Return roughly how long a job will wait for free capacity, s.

    Args:
        now: The leader's clock, s.
        job: The job.
        queue: Jobs that were accepted before it and have waiting tasks.
        suspects: Ids of the jobs with suspected tasks, which wait for own workers.
        cores: Cores of the workers of its service that may be given tasks.
    """
    if not cores.total:
        return 0.0
    ahead = queue.work_ahead_of(now, job, suspects)
    if not ahead and cores.free >= sum([t.spec.needs.cores for t in job.ready_tasks()]):
        return 0.0
    return ahead / cores.total


def find_refusal(
    now: float,
    job: LedJob,
    workers: Sequence[LeasedWorker],
    reachable: bool,
    wait_s: float,
) -> Refusal | None:
    """Return why a job must be refused, or `None` if it can be accepted.

    Args:
        now: The leader's clock, s.
        job: The job.
        workers: Workers of its service.
        reachable: Whether one of them responds, or was claimed so recently that
            its first reply may be on its way.
        wait_s: How long the job is expected to wait for free capacity, s.
    """
    offer = job.offer
    if not reachable:
        detail = f"no worker of {offer.service!r} responds"
        return Refusal(ErrorKind.NO_WORKERS, detail, RETRY_AFTER_S)
    for step in offer.steps:
        if any(could_run(w.entry, offer.service, step) for w in workers):
            continue
        if any(could_run_at_largest(w.entry, offer.service, step) for w in workers):
            detail = "the workers that can run a task have shrunk"
            return Refusal(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S)
        detail = "no worker is large enough for a task"
        return Refusal(ErrorKind.IMPOSSIBLE, detail, elsewhere=True)
    if not offer.handovers and not fits_in_time(now, job):
        detail = (
            f"it runs for about {job.run_s:.2f} s, and its caller waits for"
            f" {job.deadline - now:.2f} s"
        )
        return Refusal(ErrorKind.EXPIRED, detail)
    if wait_s > 0 and not fits_in_time(now + wait_s, job):
        detail = f"expected to wait {wait_s:.2f} s and to run {job.run_s:.2f} s"
        retry_after_s = max(wait_s, RETRY_AFTER_S)
        return Refusal(ErrorKind.OVERLOADED, detail, retry_after_s, wait_s=wait_s)
    return None


def find_starved(
    now: float, jobs: Iterable[LedJob], cores: float, arriving_cores: float
) -> list[LedJob]:
    """Return the waiting jobs that new ones will overtake until it is too late.

    Jobs that are late already go behind new ones, and get only the capacity that
    those leave.

    Args:
        now: The leader's clock, s.
        jobs: Jobs of one service that have waiting tasks.
        cores: Cores of the workers that may be given tasks.
        arriving_cores: Work that arrives, core-seconds per second.
    """
    ahead = 0.0
    late: list[LedJob] = []
    for job in jobs:
        if job.least_cores == math.inf or job.stopping:
            continue
        if rank(now, job).late:
            late.append(job)
        else:
            ahead += job.open_core_seconds
    late.sort(key=lambda job: rank(now, job))
    spare_cores = cores - arriving_cores
    starved: list[LedJob] = []
    for job in late:
        wait_s = ahead / spare_cores if spare_cores > 0 else math.inf
        if fits_in_time(now + wait_s, job):
            ahead += job.open_core_seconds
        elif job.not_run:
            starved.append(job)
    return starved


def fits_in_time(begin: float, job: LedJob) -> bool:
    """Return whether a job that starts at a time has a chance to meet its deadline."""
    return begin + job.least_run_s <= job.deadline
