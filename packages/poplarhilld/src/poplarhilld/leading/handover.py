"""Jobs that another leader had before: when their tasks may start here.

Runs of such a job may still be under way: on workers that have not replied yet, or on
those that the other leader still leads beyond a network partition.
"""

import math
from collections.abc import Iterable

from poplarhilld.leading.admission import fits_in_time
from poplarhilld.leading.job import LedJob
from poplarhilld.leases import LeasedWorker
from poplarhilld.peers.messages import JobOffer, OfferedJob
from poplarhilld.peers.offer_limits import OfferLimits


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
    return offer._replace(handovers=offer.handovers + 1)


def must_wait(
    now: float,
    job: LedJob,
    led_elsewhere: bool,
    workers: Iterable[LeasedWorker],
    limits: OfferLimits,
) -> bool:
    """Return whether the tasks of a job must not start yet.

    They wait until this leader leads all workers and knows their runs, or until another
    leader, which the job is not offered to any more, has stopped them.

    Args:
        now: The leader's clock, s.
        job: The job.
        led_elsewhere: Whether another leader has workers.
        workers: Workers of this leader.
        limits: How long an offer keeps a job.
    """
    if not job.offer.handovers or now >= job.offered_at + limits.runs_ended_after_s:
        return False
    return led_elsewhere or not all(
        worker.confirmed and not worker.fenced for worker in workers
    )


def waits_too_long(
    now: float,
    job: LedJob,
    led_elsewhere: bool,
    workers: Iterable[LeasedWorker],
    limits: OfferLimits,
) -> bool:
    """Return whether waiting tasks of a job will not start in time for its caller.

    Before the workers have replied, its runs on them are not known.

    Args:
        now: The leader's clock, s.
        job: The job.
        led_elsewhere: Whether another leader has workers.
        workers: Workers of this leader.
        limits: How long an offer keeps a job.
    """
    if not job.offer.handovers or not led_elsewhere or job.least_cores == math.inf:
        return False
    if any(worker.awaits_first_reply(now) for worker in workers):
        return False
    return not fits_in_time(job.offered_at + limits.runs_ended_after_s, job)
