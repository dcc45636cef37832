"""The two measures of a replay: slowdown and wasted messages."""

from typing import NamedTuple

import numpy as np

from poplarhill_dev.replay.model import Replayed
from poplarhill_dev.replay.workload import Firm

LARGE_JOB_TASKS = 64
WARM_UP_S = 10.0


class Scores(NamedTuple):
    """Measures of one replay.

    Attributes:
        p50: Median slowdown.
        p99: 99th percentile of the slowdown.
        p999: 99.9th percentile of the slowdown.
        large_p99: 99th percentile over jobs of more than 64 tasks.
        messages_per_task: All messages but the two a job.
        with_jobs_per_task: All messages.
        peak: Most tasks on one worker at a time.
        refilled: Part of the tasks that found all slots of their worker taken.
    """

    p50: float
    p99: float
    p999: float
    large_p99: float
    messages_per_task: float
    with_jobs_per_task: float
    peak: float
    refilled: float


def score(replayed: Replayed, firm: Firm, other_messages: float) -> Scores:
    """Work out the measures of one replay.

    Args:
        replayed: What the replay gave.
        firm: Its delays.
        other_messages: Messages besides tasks, jobs and frames.
    """
    slowdowns, sizes = [], []
    for ended in replayed.ended:
        if ended.arrival.at >= WARM_UP_S:
            ideal_s = max(ended.arrival.run_s) + firm.round_trips_s
            response_s = ended.response_s + 2 * firm.caller_s
            slowdowns.append(response_s / ideal_s)
            sizes.append(len(ended.arrival.run_s))
    values = np.array(slowdowns)
    large = values[np.array(sizes) > LARGE_JOB_TASKS]
    p50, p99, p999 = np.percentile(values, [50, 99, 99.9])
    tasks = replayed.tasks
    messages = 2 * tasks + replayed.frames + other_messages
    return Scores(
        float(p50),
        float(p99),
        float(p999),
        float(np.percentile(large, 99)),
        messages / tasks,
        (messages + 2 * len(replayed.ended)) / tasks,
        replayed.peak_worker_tasks,
        replayed.refilled / tasks,
    )


def median_of(runs: list[Scores]) -> Scores:
    """Return the median of each measure over several seeds."""
    return Scores(*(float(np.median(values)) for values in zip(*runs, strict=True)))
