"""Tells from logs how many jobs could have been served without any delay.

A job whose longest run takes longer than its limit is lost however soon its tasks
start. Of a job that was given up it is only known that its longest run takes longer
than it had run until then, so the chance that it would have ended within the limit is
estimated from other jobs of its route and size (Kaplan-Meier).
"""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from operator import attrgetter
from typing import NamedTuple

from poplarhill.story import Line

# Until a leader knows of the end of a run, a round trip and the worker's reply pass.
_RUN_OVERHEAD_S = 0.01
# A start so late is named as a cause; one that is earlier is usual.
_LATE_START_S = 0.01
_MIN_SHARE = 1e-9  # of jobs that run for longer than any that was seen


class ClosedJob(NamedTuple):
    """A job of which at least one task was started.

    Attributes:
        job: Its id.
        route: Its route.
        complete: Whether it was served.
        limit_s: Time after its arrival at which it was given up, s.
        work: Work of its tasks, core-seconds; at least that if it was not served.
        longest_run_s: Run time of its longest task, s; at least that if it was not
            served.
        last_start_s: Time until its last task was started, s; `None` if one never was.
        repeated: Whether a task was started more than once.
    """

    job: str
    route: str
    complete: bool
    limit_s: float
    work: float
    longest_run_s: float
    last_start_s: float | None
    repeated: bool

    @property
    def wait(self) -> str:
        """What may have delayed its last run, for people."""
        if self.last_start_s is None:
            return "a task was never started"
        if self.repeated:
            return "a run was repeated"
        return "started late" if self.last_start_s > _LATE_START_S else "no wait"


class RunBound(NamedTuple):
    """How many jobs of a group were served, and how many could have been.

    Attributes:
        jobs: Count of jobs.
        served: Count of the served ones.
        too_long: Count of the lost ones with a run that took longer than the limit.
        possible: Expected count of those that could have been served.
        lost_by_wait: Expected count of those lost although they could have been
            served, by what they waited for.
    """

    jobs: int
    served: int
    too_long: int
    possible: float
    lost_by_wait: dict[str, float]


def closed_jobs(lines: Iterable[Line]) -> list[ClosedJob]:
    """Return the jobs that ended complete or at their limit, from logs of all hosts.

    Jobs with a line missing, and those of which no task was started, are left out.
    """
    answers: dict[str, Line] = {}
    closed: dict[str, Line] = {}
    for line in lines:
        match line["event"]:
            case "JobAnswered" if line["outcome"] in ("complete", "timeout"):
                answers[line["job"]] = line
            case "JobClosed" if line.get("longest_run_s") is not None:
                closed[line["job"]] = line
    return [_closed_job(answers[job], closed[job]) for job in answers.keys() & closed]


def find_bound(jobs: Sequence[ClosedJob]) -> RunBound:
    """Return how many of some jobs of about the same size could have been served."""
    longer = _share_longer(jobs)
    served = too_long = 0
    lost_by_wait: dict[str, float] = {}
    for job in jobs:
        if job.complete:
            served += 1
        elif job.longest_run_s + _RUN_OVERHEAD_S >= job.limit_s:
            too_long += 1
        else:
            beyond = longer(job.limit_s) / longer(job.longest_run_s)
            lost_by_wait[job.wait] = lost_by_wait.get(job.wait, 0.0) + 1 - beyond
    possible = served + sum(lost_by_wait.values())
    return RunBound(len(jobs), served, too_long, possible, lost_by_wait)


def format_bounds(jobs: Iterable[ClosedJob]) -> str:
    """Return a table of the bounds of each route: of all its jobs and of the largest.

    These are the largest tenth and the fifth below it.
    """
    by_route: dict[str, list[ClosedJob]] = {}
    for job in jobs:
        by_route.setdefault(job.route, []).append(job)
    rows = [
        f"{'route':15s} {'jobs':>5s} {'served':>7s} {'possible':>9s} {'too long':>9s}"
        "  lost, by what they waited for"
    ]
    for route, found in sorted(by_route.items()):
        found.sort(key=attrgetter("work"), reverse=True)
        tenth = max(1, round(len(found) / 10))
        parts = {
            route: found,
            "  largest tenth": found[:tenth],
            "  next fifth": found[tenth : 3 * tenth],
        }
        for name, part in parts.items():
            bound = find_bound(part)
            waits = ", ".join(
                f"{wait}: {count:.1f}"
                for wait, count in sorted(bound.lost_by_wait.items())
            )
            rows.append(
                f"{name:15s} {bound.jobs:5d} {bound.served:7d} {bound.possible:9.1f}"
                f" {bound.too_long:9d}  {waits}"
            )
    return "\n".join(row.rstrip() for row in rows)


def _closed_job(answer: Line, closed: Line) -> ClosedJob:
    return ClosedJob(
        answer["job"],
        answer["route"],
        answer["outcome"] == "complete",
        answer["limit_s"],
        closed["cores"] * closed["mean_run_s"],
        closed["longest_run_s"],
        closed["last_start_s"],
        closed["runs"] > closed["tasks"],
    )


def _share_longer(jobs: Iterable[ClosedJob]) -> Callable[[float], float]:
    """Return a function: the share of jobs whose longest run takes longer than a time.

    The estimate of Kaplan and Meier, with the lost jobs as censored observations.
    """
    # At the same time an end comes before a job that was given up.
    ordered = sorted(jobs, key=lambda job: (job.longest_run_s, not job.complete))
    end_times: list[float] = []
    shares = [1.0]
    for index, job in enumerate(ordered):
        if job.complete:
            end_times.append(job.longest_run_s)
            at_risk = len(ordered) - index
            shares.append(max(_MIN_SHARE, shares[-1] * (1 - 1 / at_risk)))
    return lambda time_s: shares[bisect_right(end_times, time_s)]
