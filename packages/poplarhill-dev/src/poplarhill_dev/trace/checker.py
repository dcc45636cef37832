"""Judges a trace against the outcomes that must always hold.

A trace is plain JSON. This module shares no code with what it judges: it imports
nothing of the project and works out each outcome from the trace alone.

A trace has these lists:
    requests: What callers asked and got: `name`, `tasks` (a count), `key`,
        `idempotent`, `outcome`, `run_state`, `results`.
    starts: What workers started: `worker`, `at`, `task`, `echo`.
    leaving: Workers that were told to leave: `worker`, `at`.
    versions: Configurations that came into force, in order: `process`, `version`.

A task's `echo` names its request and its index, as in `j7/0`; it is the result
that the worker gives. Times are those of one clock, in s.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

LEAVING_BOUND_S = 5.0

Trace = dict[str, list[dict[str, Any]]]


class Violation(NamedTuple):
    """One outcome that a trace breaks.

    Attributes:
        outcome: Name of the outcome.
        detail: What the trace shows, in a sentence.
    """

    outcome: str
    detail: str


def check(trace: Trace) -> list[Violation]:
    """Return every violation in a trace; none if it is as it must be."""
    return [
        Violation(outcome, detail)
        for outcome, rule in _OUTCOMES.items()
        for detail in rule(trace)
    ]


def _starts_once(trace: Trace) -> Iterator[str]:
    for field in ("task", "echo"):
        counts = Counter(start[field] for start in trace["starts"])
        for name, count in counts.items():
            if count > 1:
                yield f"{field} {name} started {count} times"


def _one_answer(trace: Trace) -> Iterator[str]:
    counts = Counter(request["name"] for request in trace["requests"])
    for name, count in counts.items():
        if count > 1:
            yield f"{name} has {count} answers"
    for request in trace["requests"]:
        if not request["outcome"]:
            yield f"{request['name']} has no outcome"


def _whole_or_failed(trace: Trace) -> Iterator[str]:
    for request in trace["requests"]:
        name, results = request["name"], request["results"]
        if request["outcome"] == "complete":
            due = [f"{name}/{index}" for index in range(request["tasks"])]
            if results != due:
                yield f"{name} is called complete with results {results[:3]}..."
        elif results:
            yield f"{name} failed and has {len(results)} results"


def _not_run(trace: Trace) -> Iterator[str]:
    started = {start["echo"].split("/")[0] for start in trace["starts"]}
    for request in trace["requests"]:
        if request["run_state"] == "not_run" and request["name"] in started:
            yield f"{request['name']} is called not run and started"


def _key_once(trace: Trace) -> Iterator[str]:
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


def _leaving(trace: Trace) -> Iterator[str]:
    bounds: dict[str, float] = {}
    for leaving in trace["leaving"]:
        bound = leaving["at"] + LEAVING_BOUND_S
        bounds[leaving["worker"]] = min(bound, bounds.get(leaving["worker"], bound))
    for start in trace["starts"]:
        bound = bounds.get(start["worker"])
        if bound is not None and start["at"] > bound:
            late_s = start["at"] - bound
            yield f"{start['worker']} got {start['task']} {late_s:.3f} s too late"


def _versions(trace: Trace) -> Iterator[str]:
    last: dict[str, int] = {}
    for line in trace["versions"]:
        process, version = line["process"], line["version"]
        if version < last.get(process, 0):
            yield f"{process} went from version {last[process]} to {version}"
        last[process] = version


_OUTCOMES: dict[str, Callable[[Trace], Iterator[str]]] = {
    "a task starts at most once": _starts_once,
    "a request has one answer": _one_answer,
    "an answer is whole or failed": _whole_or_failed,
    "not run means no start": _not_run,
    "a key that is not idempotent starts at most once": _key_once,
    "a leaving worker gets no new work": _leaving,
    "versions never go back": _versions,
}
