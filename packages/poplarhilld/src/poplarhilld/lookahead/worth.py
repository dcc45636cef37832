"""What the waiting tasks of a job are worth if they start now."""

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from poplarhilld.leading.job import LedJob

_LATE_CREDIT = 0.2  # of an answer that is late by up to three times its objective
_LATE_LIMIT_FACTOR = 3.0
# A job without a chance still starts where nothing else wants the cores.
_MIN_CREDIT = 0.01
_MIN_DEVIATION = 0.1  # tasks of a job differ by up to 15 %


def chance(within_s: float, median_s: float, deviation: float) -> float:
    """Return the probability that a run time stays below a limit.

    Args:
        within_s: The limit, s.
        median_s: Median of the run time, s.
        deviation: Standard deviation of the logarithm of the run time.
    """
    if within_s <= 0:
        return 0.0
    if median_s <= 0:
        return 1.0
    deviations = math.log(within_s / median_s) / max(_MIN_DEVIATION, deviation)
    return 0.5 * math.erfc(-deviations / math.sqrt(2))


def expected_credit(
    now: float, job: "LedJob", median_s: float, deviation: float
) -> float:
    """Return the expected credit of a job whose last tasks start now.

    Args:
        now: The leader's clock, s.
        job: The job.
        median_s: Median of its run time, s.
        deviation: Standard deviation of the logarithm of its run time.
    """
    due = min(job.due, job.deadline)
    late_limit = job.arrived_at + _LATE_LIMIT_FACTOR * (job.due - job.arrived_at)
    late_limit = min(job.deadline, late_limit)
    in_time = chance(due - now, median_s, deviation)
    counted = chance(late_limit - now, median_s, deviation)
    credit = (1 - _LATE_CREDIT) * in_time + _LATE_CREDIT * counted
    return max(_MIN_CREDIT, credit)


def waiting_core_seconds(job: "LedJob") -> float:
    """Return the expected work of the tasks of a job that wait, core-seconds.

    Started tasks are left out: their cores are spent whatever starts next, so that a
    job of which few tasks wait gains its whole credit for little.
    """
    if len(job.offer.steps) > 1:
        return sum(
            task.spec.needs.cores * job.expected_s(task)
            for task in job.tasks
            if task.waiting
        )
    first = job.tasks[0]
    count = sum([task.run is None and not task.done for task in job.tasks])
    return count * first.spec.needs.cores * job.expected_s(first)
