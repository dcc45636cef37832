"""The order in which a leader serves its jobs."""

from typing import NamedTuple

from poplarhilld.leading.estimates import RunTimes
from poplarhilld.leading.job import LedJob


class Rank(NamedTuple):
    """Place of a job in the queue; the lowest goes first.

    Attributes:
        late: Whether it can no longer be in time.
        room_s: Room that its open tasks still take, core-seconds.
        taken_at: When it came.
    """

    late: bool
    room_s: float
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


def rank(now: float, job: LedJob, times: RunTimes) -> Rank:
    """Return the place of a job: least room first, what is late behind."""
    run_s = expected_run_s(job, times)
    objective_s = job.offer.stretch * run_s + job.offer.allowance_s
    late = not job.runs and now + run_s > job.taken_at + objective_s
    return Rank(late, open_room_s(job, times), job.taken_at)
