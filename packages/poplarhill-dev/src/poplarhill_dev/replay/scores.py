"""Computes the two measures of a replay: slowdown and messages per task."""

from typing import NamedTuple

import numpy as np

from poplarhill_dev.replay.model import ReplayResult
from poplarhill_dev.replay.workload import Firm

MAX_SMALL_JOB_TASKS = 64
WARM_UP_S = 10.0


class Scores(NamedTuple):
    """Measures of one replay.

    Attributes:
        p50: Median slowdown.
        p99: 99th percentile of the slowdown.
        p999: 99.9th percentile of the slowdown.
        large_p99: 99th percentile over jobs of more than 64 tasks.
        messages_per_task: Messages per task, excluding the two per job.
        with_jobs_per_task: Messages per task, including the two per job.
        peak: Largest number of tasks on one worker at a time.
        refilled: Fraction of tasks that arrived when their worker had no free slot.
    """

    p50: float
    p99: float
    p999: float
    large_p99: float
    messages_per_task: float
    with_jobs_per_task: float
    peak: float
    refilled: float


def score(replayed: ReplayResult, firm: Firm, other_messages: float) -> Scores:
    """Return the measures of one replay.

    Args:
        replayed: The replay.
        firm: The network delays of the replay.
        other_messages: Number of messages other than tasks, jobs and frames.
    """
    slowdowns, sizes = [], []
    for finished_job in replayed.finished_jobs:
        if finished_job.arrival.at >= WARM_UP_S:
            ideal_s = max(finished_job.arrival.run_s) + firm.round_trips_s
            response_s = finished_job.response_s + 2 * firm.caller_s
            slowdowns.append(response_s / ideal_s)
            sizes.append(len(finished_job.arrival.run_s))
    values = np.array(slowdowns)
    large = values[np.array(sizes) > MAX_SMALL_JOB_TASKS]
    p50, p99, p999 = np.percentile(values, [50, 99, 99.9])
    tasks = replayed.tasks
    messages = 2 * tasks + replayed.frames + other_messages
    return Scores(
        float(p50),
        float(p99),
        float(p999),
        float(np.percentile(large, 99)),
        messages / tasks,
        (messages + 2 * len(replayed.finished_jobs)) / tasks,
        replayed.peak_worker_tasks,
        replayed.refilled / tasks,
    )


def median_of(runs: list[Scores]) -> Scores:
    """Return the median of each measure over several runs."""
    return Scores(*(float(np.median(values)) for values in zip(*runs, strict=True)))
