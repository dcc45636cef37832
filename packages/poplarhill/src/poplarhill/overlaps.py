"""Finds tasks of which two runs may have been under way at the same time.

The logs tell when a run was ordered and when its leader learnt that it had ended. So
each run has a longest time for which it may have been under way, and a shortest one for
which it was. Times are those of the hosts that wrote the lines.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from itertools import combinations
from typing import NamedTuple

from poplarhill.story import Line, writer

_PROMPT_REPLY_S = 0.1  # replies to orders that take longer are logged
_LEASE_S = 1.0  # if the log does not tell it
_MIN_CLOCK_RATE = 0.97  # of a worker's clock, which measures its lease


class TaskRun(NamedTuple):
    """A run of a task, as the logs of all hosts tell of it.

    Attributes:
        number: Number of the run.
        worker: Name of its worker.
        leaders: Hosts that ordered, adopted or resolved it, the first one first.
        began_at: Earliest time at which it was under way, s since the Unix epoch.
        known_from: Latest time at which it began; infinite if it may not have begun.
        known_until: Earliest time at which it ended.
        ended_at: Latest time at which it ended.
        end: How that is known.
    """

    number: int
    worker: str
    leaders: tuple[str, ...]
    began_at: float
    known_from: float
    known_until: float
    ended_at: float
    end: str


class Overlap(NamedTuple):
    """Two runs of a task that may have been under way at the same time.

    Attributes:
        task: Name of the task.
        first: The run that began first.
        second: The other run.
        certain_s: Time for which both were under way, at least, s.
        possible_s: Time for which both may have been under way, s.
    """

    task: str
    first: TaskRun
    second: TaskRun
    certain_s: float
    possible_s: float


@dataclass
class _Found:
    """What the lines tell of a run, which its number and its worker identify."""

    leaders: list[str] = field(default_factory=list)
    began_at: float = math.inf
    known_from: float | None = None
    listed_at: float = -math.inf
    found_at: float = math.inf
    ended_at: float = -math.inf
    end: str = ""
    presumed_until: float = math.inf
    presumed: str = ""
    never_started: int = 0
    orders: int = 0

    @property
    def was_reported(self) -> bool:
        """Whether its worker reported it, while it ran or when it had ended."""
        return bool(self.end) or self.found_at < math.inf

    def is_followed_by(self, event: str, at: float, line: Line) -> bool:
        """Return whether a line is about a later run of the same number.

        A job that was closed and offered again numbers its runs from 1 again.
        """
        if event == "RunOrdered":
            return bool(self.end or self.never_started)
        resolved = event == "RunResolved" and line["fate"] != "never_started"
        return resolved and bool(self.end) and at - line["took_s"] > self.ended_at

    def note_leader(self, leader: str) -> None:
        if leader not in self.leaders:
            self.leaders.append(leader)


_Key = tuple[int, str]


class _Reader:
    """Collects the runs of all tasks, and what bounds the ends of unresolved runs."""

    def __init__(self) -> None:
        self.tasks: dict[str, dict[_Key, list[_Found]]] = defaultdict(dict)
        self._confirmed: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self._completed: dict[str, float] = {}
        self._written: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        self._lease_s = _LEASE_S
        self._last_at = -math.inf

    def read(self, line: Line) -> None:
        """Take note of a line; they must come in order of time."""
        at, host = time_s(line), writer(line)
        self._last_at = max(self._last_at, at)
        self._written[host].append((at, line["event"] == "Started"))
        match line:
            case {"event": "WorkerConfirmed", "worker": worker}:
                self._confirmed[worker].append((at, host))
            case {"event": "WorkerTaken", "lease_s": lease_s}:
                self._lease_s = lease_s
            case {"event": "JobClosed", "job": job, "outcome": "complete"}:
                self._completed.setdefault(job, at)
            case {"event": event, "task": task, "run": number, "worker": worker}:
                runs = self.tasks[task].setdefault((number, worker), [_Found()])
                if runs[-1].is_followed_by(event, at, line):
                    runs.append(_Found())
                self._read_run(runs[-1], event, at, host, line)

    def _read_run(
        self, run: _Found, event: str, at: float, host: str, line: Line
    ) -> None:
        listed_at = at - line["listed_s"] if "listed_s" in line else -math.inf
        match event:
            case "RunOrdered":
                run.note_leader(host)
                run.orders += 1
                run.began_at = min(run.began_at, at)
            case "OrderReplied" if line["outcome"] == "accepted":
                run.known_from = at
            case "OrderReplied" if line["outcome"] == "unknown":
                run.known_from = math.inf
            case "RunResolved" if line["fate"] == "never_started":
                run.never_started += 1
            case "RunResolved" | "UnknownRunEnded":
                run.note_leader(host)
                run.began_at = min(run.began_at, at - line.get("took_s", 0.0))
                if not run.end:
                    run.ended_at, run.end = at, f"{line['fate']} at {host}"
                if event == "RunResolved":
                    # A worker reports ends again to each leader that takes it over.
                    run.listed_at = max(run.listed_at, listed_at)
            case "RunFound":
                run.note_leader(host)
                run.found_at = min(run.found_at, at)
                run.began_at = min(run.began_at, at)
                run.listed_at = max(run.listed_at, at - _PROMPT_REPLY_S)
            case "RunPresumedEnded":
                left_s = max(0.0, line["lease_left_s"]) / _MIN_CLOCK_RATE
                run.presumed_until = at + left_s
                run.presumed = f"presumed at {host}: {line['reason']}"

    def runs_of(self, task: str) -> list[TaskRun]:
        """Return the runs of a task that may have begun, in order of time."""
        found = [
            (key, run)
            for key, runs in self.tasks[task].items()
            for run in runs
            if run.began_at < math.inf
            and (run.was_reported or run.never_started < max(1, run.orders))
        ]
        found.sort(key=lambda one: one[1].began_at)
        return [self._bounded(task, key, run, found) for key, run in found]

    def _bounded(
        self, task: str, key: _Key, run: _Found, runs: list[tuple[_Key, _Found]]
    ) -> TaskRun:
        ended_at, end = run.ended_at, run.end
        if not end:
            ended_at, end = min(self._possible_ends(task, key, run, runs))
        known_from = run.known_from
        if known_from is None:
            known_from = run.began_at + _PROMPT_REPLY_S
        known_until = max(run.began_at, min(run.listed_at, ended_at))
        return TaskRun(
            *key,
            tuple(run.leaders),
            run.began_at,
            min(known_from, run.found_at),
            known_until,
            ended_at,
            end,
        )

    def _possible_ends(
        self, task: str, key: _Key, run: _Found, runs: list[tuple[_Key, _Found]]
    ) -> list[tuple[float, str]]:
        """Return the times by which a run whose end is not logged had ended."""
        number, worker = key
        began_at, leader = run.began_at, run.leaders[0]
        ends = [(self._last_at, "no end in the logs")]
        if run.presumed:
            ends.append((run.presumed_until, run.presumed))
        for at, host in self._confirmed[worker]:
            if at > began_at and host not in run.leaders:
                ends.append((at, f"not listed when {host} took the worker over"))
                break
        completed_at = self._completed.get(task.partition(".")[0], -math.inf)
        if completed_at > began_at:
            ends.append((completed_at, "its job was complete"))
        if not run.presumed:
            # A leader starts a task again once it knows of the end of its last run.
            ends += [
                (later.began_at, f"{leader} started the task again")
                for later_key, later in runs
                if later_key[0] > number
                and later.leaders[0] == leader
                and later.began_at > began_at
            ]
        last_at = began_at
        for at, started in self._written[leader]:
            if started and at > began_at:
                lapsed_at = last_at + self._lease_s / _MIN_CLOCK_RATE
                ends.append((lapsed_at, f"{leader} had ended and the lease expired"))
                break
            last_at = max(last_at, at)
        return ends


def find_overlaps(lines: Iterable[Line]) -> list[Overlap]:
    """Return the runs of one task that may have overlapped, the most certain first."""
    reader = _Reader()
    for line in sorted(lines, key=time_s):
        reader.read(line)
    overlaps = [
        overlap
        for task, runs in reader.tasks.items()
        if sum(map(len, runs.values())) > 1
        for first, second in combinations(reader.runs_of(task), 2)
        if (overlap := _overlap(task, first, second)).possible_s > 0
    ]
    return sorted(overlaps, key=lambda one: (-one.certain_s, -one.possible_s, one.task))


def _overlap(task: str, first: TaskRun, second: TaskRun) -> Overlap:
    certain_s = min(first.known_until, second.known_until) - max(
        first.known_from, second.known_from
    )
    possible_s = min(first.ended_at, second.ended_at) - max(
        first.began_at, second.began_at
    )
    return Overlap(task, first, second, max(0.0, certain_s), max(0.0, possible_s))


def time_s(line: Line) -> float:
    """Return when a line was written, s since the Unix epoch; 0 if it does not say."""
    try:
        return datetime.fromisoformat(line["timestamp"]).timestamp()
    except (KeyError, TypeError, ValueError):
        return 0.0


def time_text(at: float) -> str:
    """Return a time as in the log, ISO 8601."""
    return datetime.fromtimestamp(at, UTC).isoformat().replace("+00:00", "Z")
