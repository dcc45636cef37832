"""The order in which a leader starts its jobs."""

from typing import NamedTuple

from poplarhilld.leading.demand import Demand
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.placement import tolerates_slow_worker

# Value of a job without work. The rest is in proportion to its work relative to the
# mean of its route, because users weigh jobs by their work.
_BASE_VALUE = 0.3
# Factor on the usual queue cost. A wait makes such jobs late, others only slower.
_TIGHT_DEADLINE_FACTOR = 0.7


class Rank(NamedTuple):
    """Place of a job in the queue; the job with the lowest rank starts first.

    Attributes:
        late: Whether nothing of it has started and it can no longer be done when due.
        cost: Core-seconds of its open tasks in relation to its value.
        arrived_at: When it arrived at its entry host.
    """

    late: bool
    cost: float
    arrived_at: float


def core_second_cost(now: float, job: LedJob, demand: Demand) -> float:
    """Return the queue cost of a core-second of a job; jobs of low cost start first.

    All routes have the same value, however many jobs they have: the cost is in
    proportion to the arrival rate of the route. Within a route small jobs go first,
    but a large job has a higher value and does not starve. A job with hardly more
    time than it runs goes first, since a short wait makes it miss its deadline.
    """
    route = job.offer.route
    part = 1.0 if tolerates_slow_worker(now, job) else _TIGHT_DEADLINE_FACTOR
    size = demand.relative_size(route, job.open_core_seconds)
    return part * demand.rate(now, route) / (_BASE_VALUE + (1 - _BASE_VALUE) * size)


def rank(now: float, job: LedJob) -> Rank:
    """Return the rank of a job; jobs that would be late go behind all others."""
    return Rank(job.is_late(now), job.queue_cost, job.arrived_at)
