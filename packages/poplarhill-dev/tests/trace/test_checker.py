"""The trace checker reports a violation of each guarantee."""

import copy

import pytest

from poplarhill_dev.trace import check

VALID_TRACE = {
    "requests": [
        {
            "name": "j1",
            "tasks": 2,
            "key": "k1",
            "idempotent": False,
            "outcome": "complete",
            "run_state": "",
            "results": ["j1/0", "j1/1"],
        },
        {
            "name": "j2",
            "tasks": 1,
            "key": "k1",
            "idempotent": False,
            "outcome": "duplicate",
            "run_state": "may_have_run",
            "results": [],
        },
        {
            "name": "j3",
            "tasks": 1,
            "key": None,
            "idempotent": True,
            "outcome": "overloaded",
            "run_state": "not_run",
            "results": [],
        },
    ],
    "starts": [
        {"worker": "w1", "at": 1.0, "task": "a/0", "echo": "j1/0"},
        {"worker": "w2", "at": 14.0, "task": "a/1", "echo": "j1/1"},
    ],
    "leaving": [{"worker": "w2", "at": 10.0}],
    "versions": [
        {"process": "h1", "version": 1},
        {"process": "h2", "version": 3},
        {"process": "h1", "version": 2},
    ],
}


def start(task: str, echo: str, worker: str = "w1", at: float = 2.0) -> dict:
    return {"worker": worker, "at": at, "task": task, "echo": echo}


def test_a_valid_trace_has_no_violations() -> None:
    assert check(VALID_TRACE) == []


@pytest.mark.parametrize(
    ("outcome", "break_guarantee"),
    [
        (
            "a task starts at most once",
            lambda trace: trace["starts"].append(start("a/0", "other/0")),
        ),
        (
            "a task starts at most once",
            lambda trace: trace["starts"].append(start("b/0", "j1/0")),
        ),
        (
            "a request has one answer",
            lambda trace: trace["requests"].append(trace["requests"][2]),
        ),
        (
            "a request has one answer",
            lambda trace: trace["requests"][1].update(outcome=""),
        ),
        (
            "an answer is whole or failed",
            lambda trace: trace["requests"][0]["results"].reverse(),
        ),
        (
            "an answer is whole or failed",
            lambda trace: trace["requests"][0]["results"].pop(),
        ),
        (
            "an answer is whole or failed",
            lambda trace: trace["requests"][2]["results"].append("j3/0"),
        ),
        (
            "not run means no start",
            lambda trace: trace["starts"].append(start("c/0", "j3/0")),
        ),
        (
            "a key that is not idempotent starts at most once",
            lambda trace: trace["starts"].append(start("d/0", "j2/0")),
        ),
        (
            "a leaving worker gets no new work",
            lambda trace: trace["starts"].append(start("e/0", "x/0", "w2", 15.1)),
        ),
        (
            "versions never go back",
            lambda trace: trace["versions"].append({"process": "h2", "version": 2}),
        ),
    ],
)
def test_each_violation_is_found(outcome, break_guarantee) -> None:
    trace = copy.deepcopy(VALID_TRACE)
    break_guarantee(trace)
    assert outcome in {violation.outcome for violation in check(trace)}
