"""Checks a trace against the guarantees that must always hold.

A trace is plain JSON. This module shares no code with the code under test: it imports
nothing of the project and checks each guarantee from the trace alone.

A trace has these lists:
    requests: Requests of callers and their answers: `name`, `tasks` (a number),
        `key`, `idempotent`, `outcome`, `run_state`, `results`.
    starts: Task starts on workers: `worker`, `at`, `task`, `echo`.
    leaving: Workers that were set to leave: `worker`, `at`.
    versions: Configuration versions in the order in which they came into force:
        `process`, `version`.

The `echo` of a task consists of the name of its request and its index, as in `j7/0`;
the worker returns it as the result. All times are in seconds by one clock.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

# A leaving worker must not start tasks later than this.
LEAVING_BOUND_S = 5.0

Trace = dict[str, list[dict[str, Any]]]


class Violation(NamedTuple):
    """One violation of a guarantee.

    Attributes:
        outcome: The guarantee.
        detail: A sentence on how the trace violates it.
    """

    outcome: str
    detail: str


def check(trace: Trace) -> list[Violation]:
    """Return every violation in a trace."""
    return [
        Violation(guarantee, detail)
        for guarantee, rule in _GUARANTEES.items()
        for detail in rule(trace)
    ]


def _repeated_starts(trace: Trace) -> Iterator[str]:
    for field in ("task", "echo"):
        counts = Counter(start[field] for start in trace["starts"])
        for name, count in counts.items():
            if count > 1:
                yield f"{field} {name} started {count} times"


def _missing_or_repeated_answers(trace: Trace) -> Iterator[str]:
    counts = Counter(request["name"] for request in trace["requests"])
    for name, count in counts.items():
        if count > 1:
            yield f"{name} has {count} answers"
    for request in trace["requests"]:
        if not request["outcome"]:
            yield f"{request['name']} has no outcome"


def _partial_answers(trace: Trace) -> Iterator[str]:
    for request in trace["requests"]:
        name, results = request["name"], request["results"]
        if request["outcome"] == "complete":
            due = [f"{name}/{index}" for index in range(request["tasks"])]
            if results != due:
                yield f"{name} was reported complete with results {results[:3]}..."
        elif results:
            yield f"{name} failed and has {len(results)} results"


def _starts_of_jobs_not_run(trace: Trace) -> Iterator[str]:
    started = {start["echo"].split("/")[0] for start in trace["starts"]}
    for request in trace["requests"]:
        if request["run_state"] == "not_run" and request["name"] in started:
            yield f"{request['name']} was reported as not run, but started"


def _repeated_key_starts(trace: Trace) -> Iterator[str]:
    keys = {
        request["name"]: request["key"]
        for request in trace["requests"]
        if request["key"] is not None and not request["idempotent"]
    }
    counts: Counter[tuple[str, str]] = Counter()
    for start in trace["starts"]:
        name, index = start["echo"].split("/")
        if name in keys:
            counts[keys[name], index] += 1
    for (key, index), count in counts.items():
        if count > 1:
            yield f"task {index} of key {key} started {count} times"


def _late_starts(trace: Trace) -> Iterator[str]:
    bounds: dict[str, float] = {}
    for leaving in trace["leaving"]:
        bound = leaving["at"] + LEAVING_BOUND_S
        bounds[leaving["worker"]] = min(bound, bounds.get(leaving["worker"], bound))
    for start in trace["starts"]:
        bound = bounds.get(start["worker"])
        if bound is not None and start["at"] > bound:
            late_s = start["at"] - bound
            yield f"{start['worker']} started {start['task']} {late_s:.3f} s too late"


def _version_rollbacks(trace: Trace) -> Iterator[str]:
    last: dict[str, int] = {}
    for line in trace["versions"]:
        process, version = line["process"], line["version"]
        if version < last.get(process, 0):
            yield f"{process} went from version {last[process]} to {version}"
        last[process] = version


_GUARANTEES: dict[str, Callable[[Trace], Iterator[str]]] = {
    "a task starts at most once": _repeated_starts,
    "a request has one answer": _missing_or_repeated_answers,
    "an answer is whole or failed": _partial_answers,
    "not run means no start": _starts_of_jobs_not_run,
    "a key that is not idempotent starts at most once": _repeated_key_starts,
    "a leaving worker gets no new work": _late_starts,
    "versions never go back": _version_rollbacks,
}
