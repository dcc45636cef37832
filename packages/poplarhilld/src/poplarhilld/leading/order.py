"""The order in which a leader serves its jobs."""

from typing import NamedTuple

from poplarhilld.leading.demand import Demand
from poplarhilld.leading.estimates import RunTimes
from poplarhilld.leading.job import LedJob

_BASE_WORTH = 0.3  # of a job of no work; the users weigh the rest by its work


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


def expected_run_s(job: LedJob, times: RunTimes) -> float:
    """Return the run time of a job's longest chain of steps, s."""
    ends: list[float] = []
    for step in job.offer.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + times.expected_s(job.offer.route, step.run_time_s))
    return max(ends, default=0.0)


def open_room_s(job: LedJob, times: RunTimes) -> float:
    """Return the room that a job's open tasks still take, core-seconds."""
    return sum(
        task.spec.needs.cores * times.expected_s(job.offer.route, task.spec.run_time_s)
        for task in job.tasks
        if not task.done
    )


def rank(now: float, job: LedJob, times: RunTimes, demand: Demand) -> Rank:
    """Return the place of a job.

    Routes count alike, however many jobs they bring: a job of a rare route may
    take as much more room. Within a route small jobs go first, but a large one
    is worth more to its caller and does not starve. What can no longer be in
    time goes behind what can.
    """
    run_s = expected_run_s(job, times)
    due = job.taken_at + job.offer.stretch * run_s + job.offer.allowance_s
    late = not job.runs and now + run_s > min(due, job.deadline)
    route = job.offer.route
    room_s = open_room_s(job, times)
    worth = _BASE_WORTH + (1 - _BASE_WORTH) * demand.relative_size(route, room_s)
    return Rank(late, room_s * demand.rate(now, route) / worth, job.taken_at)
