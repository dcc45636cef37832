"""Jobs that another leader had before: when their tasks may start here.

Runs of such a job may be under way, and tasks of it may be done, on any worker of the
former leader. Time shows that no run is left, but not whether a task is done. This
leader knows all that the job has run only if it leads the workers of the former leader,
and each of them has told its runs under its token since the former leader has ordered
the last one. Until then that one may have claimed a worker back that this leader takes
for its own. Which workers these are comes from the former leader, by way of the job's
entry host: the lists of workers that hosts read may differ.
"""

import math

from poplarhilld.leading.admission import fits_in_time
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.shared import LeaderState
from poplarhilld.leading.worker_sets import WorkerSets
from poplarhilld.peers.messages import UNKNOWN_WORKERS, JobOffer, OfferedJob

# The former leader may know of a failed run of a task, which allows another one only
# from this count of attempts on.
_MIN_ATTEMPTS = 2


def as_handed_over(offered: OfferedJob, tenure: int) -> JobOffer:
    """Return an offer, marked as handed over if it was made to an earlier tenure.

    A host that has led before has lost the jobs that it had then, and may not know yet
    which of their runs are under way.

    Args:
        offered: The offer.
        tenure: Epoch since which this host leads.
    """
    offer = offered.offer
    if not offered.repeated or offered.tenure == tenure:
        return offer
    workers = offered.workers_digests or (UNKNOWN_WORKERS,)
    return offer._replace(
        handovers=offer.handovers + 1,
        former_workers=(*offer.former_workers, *workers),
    )


def may_know_all_runs(offer: JobOffer, worker_sets: WorkerSets) -> bool:
    """Return whether a leader has all workers of the former leaders of a job.

    As far as it knows they obey it, so asking them shows every run of the job.

    Args:
        offer: The offer.
        worker_sets: Workers of the leader.
    """
    if not offer.former_workers or offer.max_attempts < _MIN_ATTEMPTS:
        return False
    return worker_sets.runs_known_at(offer.former_workers) is not None


def knows_all_runs(job: LedJob, worker_sets: WorkerSets) -> bool:
    """Return whether a leader knows every run of a job that was handed over.

    The entry host has offered it here after the former leader had ordered its last run.

    Args:
        job: The job.
        worker_sets: Workers of the leader.
    """
    offer = job.offer
    if not offer.former_workers or offer.max_attempts < _MIN_ATTEMPTS:
        return False
    known_at = worker_sets.runs_known_at(offer.former_workers)
    return known_at is not None and known_at >= job.handed_over_at


def cannot_start(now: float, job: LedJob, state: LeaderState) -> bool:
    """Return whether waiting tasks of a job that was handed over will not start.

    Until the workers have replied and the runs that other leaders had have been found
    or have ended, this leader may adopt runs of them, or lead the rest of the workers.

    Args:
        now: The leader's clock, s.
        job: The job.
        state: State of the leader.
    """
    if job.least_cores == math.inf or knows_all_runs(job, state.worker_sets):
        return False
    if any(worker.awaits_first_reply(now) for worker in state.workers.values()):
        return False
    settled_at = job.handed_over_at + state.limits.runs_ended_after_s
    if now >= settled_at:
        return True
    return not fits_in_time(settled_at, job) and _others_lead_workers(job.offer, state)


def _others_lead_workers(offer: JobOffer, state: LeaderState) -> bool:
    """Return whether other leaders may have workers of the former leaders of a job."""
    sets = [state.worker_sets.names(digest) for digest in offer.former_workers]
    return not sets or any(
        names is None or not names.isdisjoint(state.led_by_others) for names in sets
    )
