"""Computes the figures of a run: slowdown, goodput, failures and messages."""

from collections import Counter
from typing import NamedTuple

import msgspec
import numpy as np

from poplarhill_dev.experiment.config import Case
from poplarhill_dev.experiment.load import CallerResult
from poplarhill_dev.trace import Violation

MIN_LARGE_JOB_TASKS = 41
# A larger delay of the load generator itself may distort the figures.
MAX_LATE_P99_S = 0.02


class Messages(NamedTuple):
    """Numbers of messages of the daemons during a run.

    Attributes:
        tasks_sent: Tasks sent to workers, including refused attempts.
        tasks_started: Tasks that workers started.
        others: Messages other than tasks and jobs, by kind.
    """

    tasks_sent: int
    tasks_started: int
    others: dict[str, int]

    @property
    def per_task(self) -> float:
        """Messages per started task, excluding the two per job."""
        total = 2 * self.tasks_sent + sum(self.others.values())
        return total / max(1, self.tasks_started)


class Slowdown(NamedTuple):
    """Percentiles of response time divided by the run time of the longest task."""

    p50: float
    p99: float
    p999: float
    large_p99: float


class Summary(msgspec.Struct):
    """Figures of one run.

    Attributes:
        case: The case that was run.
        jobs: Number of jobs submitted.
        whole: Number of jobs with a complete and correct answer.
        wrong: Number of answers marked complete with missing or wrong results.
        failures: Numbers of all jobs without a whole answer, by outcome.
        slowdown: Slowdown of the whole answers.
        goodput: Tasks in whole answers over tasks submitted.
        messages: Messages per started task, excluding the two per job.
        message_kinds: Messages other than tasks and jobs, by kind.
        violations: Violations found in the run's trace.
        late_p99_s: 99th percentile of the load generator's own delay, s.
        late_max_s: Largest delay of the load generator, s.
    """

    case: Case
    jobs: int
    whole: int
    wrong: int
    failures: dict[str, int]
    slowdown: Slowdown | None
    goodput: float
    messages: float
    message_kinds: dict[str, int]
    violations: list[Violation]
    late_p99_s: float
    late_max_s: float

    @property
    def load_was_late(self) -> bool:
        """Whether the load generator's own delay may distort the figures."""
        return self.late_p99_s > MAX_LATE_P99_S


def summarize(
    case: Case,
    answers: list[CallerResult],
    messages: Messages,
    violations: list[Violation],
) -> Summary:
    """Return the figures of one run."""
    whole = [answer for answer in answers if answer.whole]
    rest = [answer for answer in answers if not answer.whole]
    late = np.array([answer.late_s for answer in answers])
    tasks = sum(answer.tasks for answer in answers)
    return Summary(
        case=case,
        jobs=len(answers),
        whole=len(whole),
        wrong=sum(answer.outcome == "complete" for answer in rest),
        failures=dict(Counter(answer.outcome for answer in rest)),
        slowdown=slowdown_of(
            [(a.tasks, a.response_s / a.longest_s) for a in whole],
        ),
        goodput=round(sum(answer.tasks for answer in whole) / tasks, 4),
        messages=round(messages.per_task, 4),
        message_kinds=messages.others,
        violations=violations,
        late_p99_s=round(float(np.percentile(late, 99)), 4),
        late_max_s=round(float(late.max()), 4),
    )


def slowdown_of(jobs: list[tuple[int, float]]) -> Slowdown | None:
    """Return percentiles of the slowdown of jobs.

    Args:
        jobs: Number of tasks and slowdown of each job.
    """
    if not jobs:
        return None
    values = [slowdown for _, slowdown in jobs]
    large = [slowdown for tasks, slowdown in jobs if tasks >= MIN_LARGE_JOB_TASKS]
    p50, p99, p999 = np.percentile(values, [50, 99, 99.9]).round(3).tolist()
    large_p99 = float(np.percentile(large, 99).round(3)) if large else float("nan")
    return Slowdown(p50, p99, p999, large_p99)
