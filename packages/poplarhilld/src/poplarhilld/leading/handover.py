"""Jobs that another leader had before: when their tasks may start here.

Runs of such a job may still be under way: on workers that have not replied yet, or on
those that the other leader still leads beyond a network partition.
"""

import math
from collections.abc import Iterable

from poplarhilld.leading.admission import fits_in_time
from poplarhilld.leading.job import LedJob
from poplarhilld.leases import LeasedWorker
from poplarhilld.shards.intervals import GIVE_UP_DELAY_S, HEARTBEAT_INTERVAL_S

# Within this time after a host has lost a leader that still runs, that leader has given
# up the host's jobs and stopped their runs.
HANDOVER_WAIT_S = GIVE_UP_DELAY_S + 2 * HEARTBEAT_INTERVAL_S


def must_wait(
    now: float, job: LedJob, led_elsewhere: bool, workers: Iterable[LeasedWorker]
) -> bool:
    """Return whether the tasks of a job must not start yet.

    They wait until this leader leads all workers and knows their runs, or for
    `HANDOVER_WAIT_S`.

    Args:
        now: The leader's clock, s.
        job: The job.
        led_elsewhere: Whether another leader has workers.
        workers: Workers of this leader.
    """
    if not job.offer.handovers or now >= job.offered_at + HANDOVER_WAIT_S:
        return False
    return led_elsewhere or not all(
        worker.confirmed and not worker.fenced for worker in workers
    )


def waits_too_long(
    now: float, job: LedJob, led_elsewhere: bool, workers: Iterable[LeasedWorker]
) -> bool:
    """Return whether waiting tasks of a job will not start in time for its caller.

    Before the workers have replied, its runs on them are not known.

    Args:
        now: The leader's clock, s.
        job: The job.
        led_elsewhere: Whether another leader has workers.
        workers: Workers of this leader.
    """
    if not job.offer.handovers or not led_elsewhere or job.least_cores == math.inf:
        return False
    if any(worker.awaits_first_reply(now) for worker in workers):
        return False
    return not fits_in_time(job.offered_at + HANDOVER_WAIT_S, job)
