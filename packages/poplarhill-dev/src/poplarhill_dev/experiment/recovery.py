"""Figures of a run before, during and after its faults, and its recovery time."""

from pathlib import Path
from typing import NamedTuple

import msgspec
import numpy as np

from poplarhill_dev.experiment.config import Case, Experiment
from poplarhill_dev.experiment.load import CallerResult

_WARM_UP_S = 2.0
_NORMAL_GOODPUT = 0.99
_NORMAL_SLOWDOWN = 1.25
_NORMAL_WINDOWS = 2
_HEADER = (
    "| firm | load | policy | goodput before | during | after | p50 before | during "
    "| p99 before | during | after | normal after s |"
)
_SEPARATOR = "|" + "---|" * 12


class Window(NamedTuple):
    """Figures of the jobs that arrived in a time window of a run.

    Attributes:
        goodput: Tasks in whole answers over tasks submitted.
        p50: Median slowdown of whole answers.
        p99: 99th percentile of the slowdown of whole answers.
    """

    goodput: float
    p50: float
    p99: float


def fault_span(experiment: Experiment) -> tuple[float, float] | None:
    """Return the begin of the first fault or step and the end of the last one, s."""
    begins = [step.from_s for step in experiment.steps]
    begins += [fault.at_s for fault in experiment.faults]
    if not begins:
        return None
    ends = [step.until_s for step in experiment.steps]
    ends += [fault.until_s or fault.at_s for fault in experiment.faults]
    return min(begins), max(ends)


def window(answers: list[CallerResult], from_s: float, until_s: float) -> Window:
    """Return the figures of the jobs that arrived between two times."""
    jobs = [a for a in answers if from_s <= a.at_s < until_s]
    whole = [a for a in jobs if a.whole]
    if not whole:
        return Window(0.0, float("nan"), float("nan"))
    goodput = sum(a.tasks for a in whole) / sum(a.tasks for a in jobs)
    p50, p99 = np.percentile([a.response_s / a.longest_s for a in whole], [50, 99])
    return Window(goodput, float(p50), float(p99))


def time_to_normal(
    answers: list[CallerResult], at_s: float, until_s: float
) -> float | None:
    """Return the time from the end of the faults until the run is normal, s.

    The run is normal from the first of two consecutive seconds in which the goodput
    is at least `_NORMAL_GOODPUT` and the median slowdown is at most
    `_NORMAL_SLOWDOWN` times that before the faults. Returns None if there are no such
    seconds.
    """
    before = window(answers, _WARM_UP_S, at_s)
    last = max(answer.at_s for answer in answers)
    consecutive = 0
    start = until_s
    while start + 1.0 <= last:
        now = window(answers, start, start + 1.0)
        is_normal = now.goodput >= _NORMAL_GOODPUT
        is_normal = is_normal and now.p50 <= _NORMAL_SLOWDOWN * before.p50
        consecutive = consecutive + 1 if is_normal else 0
        if consecutive == _NORMAL_WINDOWS:
            return start + 1.0 - _NORMAL_WINDOWS - until_s
        start += 1.0
    return None


def recovery_table(experiment: Experiment, directory: Path, cases: list[Case]) -> str:
    """Return a Markdown table of each run before, during and after its faults."""
    span = fault_span(experiment)
    if span is None:
        return ""
    lines = [_HEADER, _SEPARATOR]
    for case in cases:
        path = directory / answers_name(case)
        answers = msgspec.json.decode(path.read_bytes(), type=list[CallerResult])
        lines.append(_row(case, answers, *span))
    return "\n".join(lines) + "\n"


def answers_name(case: Case) -> str:
    """Return the name of the file with the answers of a run."""
    return f"answers-{case.firm}-{case.load:g}-{case.seed}-{case.policy}.json"


def _row(case: Case, answers: list[CallerResult], at_s: float, until_s: float) -> str:
    end = max(answer.at_s for answer in answers) + 1.0
    before = window(answers, _WARM_UP_S, at_s)
    during = window(answers, at_s, max(until_s, at_s + 1.0))
    after = window(answers, until_s, end)
    normal = time_to_normal(answers, at_s, until_s)
    cells = [case.firm, f"{case.load:g}", case.policy]
    cells += [f"{part.goodput:.3f}" for part in (before, during, after)]
    cells += [f"{before.p50:.2f}", f"{during.p50:.2f}"]
    cells += [f"{part.p99:.2f}" for part in (before, during, after)]
    cells.append("not within the run" if normal is None else f"{normal:.0f}")
    return "| " + " | ".join(cells) + " |"
