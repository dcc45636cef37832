"""Tells from the logs of entry hosts which jobs were not served, when and why."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum
from itertools import chain
from pathlib import Path
from typing import NamedTuple

from poplarhill.story import Line

WINDOW_S = 2
# A run that has taken this share of its job's limit explains by itself that it is late.
_LONG_RUN_SHARE = 0.7


class LossReason(Enum):
    """Why a job was not served."""

    REFUSED_TOO_LONG = "refused: its tasks run too long for its caller"
    REFUSED_WAIT = "refused: no free capacity in time"
    REFUSED_LATE = "refused: late, and new jobs need the capacity"
    REFUSED_OTHER = "refused: other"
    NEVER_ORDERED = "no task ordered"
    HANDED_OVER = "no task ordered after its leader was lost"
    PARTLY_ORDERED = "some tasks not ordered"
    LONG_RUN = "ordered, and a task ran too long"
    RUN_LOST = "ordered, and a run has no known end"
    REPORT_LOST = "all tasks done, the host was not told in time"
    SLOW = "ordered, and ended late after more than one run or a wait"


class Loss(NamedTuple):
    """A job that was not served.

    Attributes:
        job: Its id.
        route: Its route.
        at_s: When its caller was answered, s since the first line of the logs.
        reason: Why it was not served.
    """

    job: str
    route: str
    at_s: float
    reason: LossReason


@dataclass
class _Run:
    fate: str = ""
    took_s: float = 0.0


@dataclass
class _Job:
    """What the logs tell of one job.

    Attributes:
        tasks: Count of its tasks, as its leader logged it.
        handovers: How often it was handed to another leader.
        runs: Its runs by task and number.
        answer: The line on the answer to its caller, if there is one.
        answered_at: When that line was written, s since the Unix epoch.
    """

    tasks: int = 0
    handovers: int = 0
    runs: dict[tuple[str, int], _Run] = field(default_factory=dict)
    answer: Line | None = None
    answered_at: float = 0.0


def find_losses(lines: Iterable[Line]) -> list[Loss]:
    """Return the jobs that were not served, in the order of their answers."""
    jobs: dict[str, _Job] = defaultdict(_Job)
    first_at = float("inf")
    for line in lines:
        at = _time_s(line)
        first_at = min(first_at, at)
        match line["event"]:
            case "JobTaken":
                job = jobs[line["job"]]
                job.tasks = max(job.tasks, line["tasks"])
            case "LeaderChosen":
                job = jobs[line["job"]]
                job.handovers = max(job.handovers, line["handovers"])
            case "RunOrdered":
                run = jobs[_job_of(line["task"])].runs
                run.setdefault((line["task"], line["run"]), _Run())
            case "RunResolved":
                run = jobs[_job_of(line["task"])].runs
                run[line["task"], line["run"]] = _Run(line["fate"], line["took_s"])
            case "JobAnswered":
                job = jobs[line["job"]]
                job.answer, job.answered_at = line, at
    losses = [
        Loss(name, job.answer["route"], job.answered_at - first_at, _reason(job))
        for name, job in jobs.items()
        if job.answer is not None and job.answer["outcome"] != "complete"
    ]
    return sorted(losses, key=lambda loss: loss.at_s)


def format_losses(losses: Sequence[Loss]) -> str:
    """Return a table of the losses by reason and route, and one by time."""
    routes = sorted({loss.route for loss in losses})
    by_reason = Counter((loss.reason, loss.route) for loss in losses)
    rows = [["reason", *routes, "all"]]
    for reason in LossReason:
        counts = [by_reason[reason, route] for route in routes]
        if sum(counts):
            rows.append([reason.value, *map(str, counts), str(sum(counts))])
    by_window = Counter(int(loss.at_s) // WINDOW_S for loss in losses)
    times = [
        f"{window * WINDOW_S:6d} s {count:5d} {_most_frequent(losses, window)}"
        for window, count in sorted(by_window.items())
    ]
    return "\n".join(chain(_aligned(rows), [""], times))


def plot_losses(losses: Sequence[Loss], path: Path) -> None:
    """Write a picture of the losses over time, by reason."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    reasons = [r for r in LossReason if any(loss.reason is r for loss in losses)]
    end = max((loss.at_s for loss in losses), default=0.0) + WINDOW_S
    figure, axes = pyplot.subplots(figsize=(10, 5))
    axes.hist(
        [[loss.at_s for loss in losses if loss.reason is r] for r in reasons],
        bins=[float(second) for second in range(int(end) + 2)],
        stacked=True,
        label=[reason.value for reason in reasons],
    )
    axes.set_xlabel("time of the answer, s")
    axes.set_ylabel("jobs not served")
    axes.legend(fontsize="small")
    figure.savefig(path)
    pyplot.close(figure)


def _reason(job: _Job) -> LossReason:
    outcome, detail = job.answer["outcome"], job.answer["detail"]
    if outcome in ("overloaded", "expired") and not job.runs:
        if detail.startswith("it runs for"):
            return LossReason.REFUSED_TOO_LONG
        if detail.startswith("late,"):
            return LossReason.REFUSED_LATE
        return LossReason.REFUSED_WAIT
    if outcome not in ("timeout", "worker_lost"):
        return LossReason.REFUSED_OTHER
    if not job.runs:
        handed_over = job.handovers > 0
        return LossReason.HANDED_OVER if handed_over else LossReason.NEVER_ORDERED
    ordered = {task for task, _ in job.runs}
    if len(ordered) < job.tasks:
        return LossReason.PARTLY_ORDERED
    done = {task for (task, _), run in job.runs.items() if run.fate == "done"}
    if len(done) == job.tasks:
        return LossReason.REPORT_LOST
    least_s = _LONG_RUN_SHARE * job.answer["limit_s"]
    late_runs = [run for (task, _), run in job.runs.items() if task not in done]
    if any(run.took_s >= least_s for run in late_runs):
        return LossReason.LONG_RUN
    if any(not run.fate or run.fate == "lost" for run in late_runs):
        return LossReason.RUN_LOST
    return LossReason.SLOW


def _job_of(task: str) -> str:
    return task.partition(".")[0]


def _time_s(line: Mapping) -> float:
    return datetime.fromisoformat(line["timestamp"]).timestamp()


def _most_frequent(losses: Sequence[Loss], window: int) -> str:
    inside = Counter(
        loss.reason for loss in losses if int(loss.at_s) // WINDOW_S == window
    )
    (reason, count), *_ = inside.most_common(1)
    return f"({count}: {reason.value})"


def _aligned(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            [row[0].ljust(widths[0])]
            + [
                cell.rjust(width)
                for cell, width in zip(row[1:], widths[1:], strict=True)
            ]
        )
        for row in rows
    ]
