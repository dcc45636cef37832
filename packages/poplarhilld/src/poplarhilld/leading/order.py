"""The order in which a leader serves its jobs."""

from typing import NamedTuple

from poplarhilld.leading.demand import Demand
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.placement import affords_slow

_BASE_WORTH = 0.3  # of a job of no work; the users weigh the rest by its work
_PRESSED_PRICE = 0.7  # of the usual; a wait costs such a job all, others a part


class Rank(NamedTuple):
    """Place of a job in the queue; the lowest goes first.

    Attributes:
        late: Whether it can no longer be in time.
        cost: Room that its open tasks take, for what the job is worth.
        taken_at: When it came.
    """

    late: bool
    cost: float
    taken_at: float


def price(now: float, job: LedJob, demand: Demand) -> float:
    """Return what a core-second of a job costs in the queue.

    Routes count alike, however many jobs they bring: a job of a rare route may
    take as much more room. Within a route small jobs go first, but a large one
    is worth more to its caller and does not starve. What has hardly more time than
    it runs goes first: a short wait loses it.
    """
    route = job.offer.route
    part = 1.0 if affords_slow(now, job) else _PRESSED_PRICE
    size = demand.relative_size(route, job.open_room_s)
    return part * demand.rate(now, route) / (_BASE_WORTH + (1 - _BASE_WORTH) * size)


def rank(now: float, job: LedJob) -> Rank:
    """Return the place of a job; what cannot be in time goes behind what can."""
    late = not job.runs and now + job.run_s > min(job.due, job.deadline)
    return Rank(late, job.open_room_s * job.price, job.taken_at)
