"""Figures of one run: slowdown, goodput, failures and messages."""

from collections import Counter
from typing import NamedTuple

import msgspec
import numpy as np

from poplarhill_dev.experiment.config import Case
from poplarhill_dev.experiment.load import CallerResult
from poplarhill_dev.trace import Violation

LARGE_TASKS = 41
# Beyond this the load generator's own delay may colour the figures.
MAX_LATE_P99_S = 0.02


class Messages(NamedTuple):
    """Messages of the daemons during a run.

    Attributes:
        tasks_sent: Tasks sent to workers, tries that were refused included.
        tasks_started: Tasks that workers started.
        others: Messages beyond tasks and jobs, by kind.
    """

    tasks_sent: int
    tasks_started: int
    others: dict[str, int]

    @property
    def per_task(self) -> float:
        """Messages a started task, the two a job left out."""
        total = 2 * self.tasks_sent + sum(self.others.values())
        return total / max(1, self.tasks_started)


class Slowdown(NamedTuple):
    """Response time of whole answers over that of the longest task."""

    p50: float
    p99: float
    p999: float
    large_p99: float


class Summary(msgspec.Struct):
    """Figures of one run.

    Attributes:
        case: What was run.
        jobs: Count of jobs submitted.
        whole: Count of jobs with the whole right answer.
        wrong: Count of answers called complete that were not.
        failures: Count of other jobs, by outcome.
        slowdown: Of the whole answers.
        goodput: Tasks in whole answers over tasks submitted.
        messages: Messages a started task, the two a job left out.
        message_kinds: Messages beyond tasks and jobs, by kind.
        violations: Outcomes that the run's trace breaks.
        late_p99_s: Delay of the load generator itself, s.
        late_max_s: Largest delay of the load generator itself, s.
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
        """Whether the load generator's own delay may colour the figures."""
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
        jobs: Count of tasks and slowdown of each.
    """
    if not jobs:
        return None
    values = [slowdown for _, slowdown in jobs]
    large = [slowdown for tasks, slowdown in jobs if tasks >= LARGE_TASKS]
    p50, p99, p999 = np.percentile(values, [50, 99, 99.9]).round(3).tolist()
    large_p99 = float(np.percentile(large, 99).round(3)) if large else float("nan")
    return Slowdown(p50, p99, p999, large_p99)
