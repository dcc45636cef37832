"""The soak checker reports each violated guarantee in a trace, and nothing else."""

import copy
from collections.abc import Callable

import pytest

from poplarhill_dev.soak.checker import check_soak

JOB = "000000000000000a"
SPEC = '{"run_s":0.2}'


def valid_trace() -> dict[str, list[dict]]:
    """Return a trace without violations."""
    runs = []
    for index, worker in enumerate(("w1", "w2")):
        run = [f"{JOB}.0.0.{index}", 1]
        place = {"worker": worker, "life": 1}
        start = {"at": 10.1, "start": run, "spec": SPEC, "cores": 6.8}
        runs += [{**place, **start}, {**place, "at": 10.3, "end": run, "kind": "done"}]
    request = {"job": JOB, "host": "h1", "life": 1, "sent": 10.0, "ended": 10.4}
    life = {"host": "h1", "life": 1, "term": 30.0, "killed": None}
    probe = {"host": "h1", "life": 1, "version": 1, "status": 200}
    return {
        "jobs": [{"job": JOB, "spec": SPEC, "tasks": 2, "at": 9.9}],
        "requests": [{**request, "status": 200, "state": "completed", "left": False}],
        "probes": [{**probe, "sent": 9.0, "ended": 9.1}],
        "versions": [{"version": 1, "sent": 1.0, "acked": 1.1}],
        "lives": [{**life, "ended": 33.0, "code": 0, "forced": False}],
        "worker_lives": [],
        "evacuations": [],
        "disturbed": [],
        "runs": runs,
        "recovered": [{"host": "h1", "after_s": 0.2}],
    }


def add_second_run(trace: dict, at: float, worker: str = "w3") -> None:
    run = [f"{JOB}.0.0.0", 2]
    place = {"worker": worker, "life": 1}
    start = {"at": at, "start": run, "spec": SPEC, "cores": 6.8}
    end = {"at": at + 0.2, "end": run, "kind": "done"}
    trace["runs"] += [{**place, **start}, {**place, **end}]


def exceed_capacity(trace: dict) -> None:
    for line in trace["runs"]:
        line["worker"] = "w1"
        line["cores"] = 8.1


def refuse_request(trace: dict) -> None:
    trace["requests"][0] |= {"status": 503, "state": ""}


def lose_response(trace: dict) -> None:
    trace["requests"][0] |= {"status": None, "state": ""}


def lose_response_after_sigterm(trace: dict) -> None:
    lose_response(trace)
    trace["lives"][0]["term"] = 9.9
    trace["lives"][0]["ended"] = 12.0


def add_outdated_answer(trace: dict) -> None:
    trace["versions"].append({"version": 2, "sent": 11.0, "acked": 11.0})
    late = {"version": 2, "status": 404, "sent": 13.5, "ended": 13.6}
    trace["probes"].append({**trace["probes"][0], **late})


def evacuate(trace: dict) -> None:
    place = {"data_centre": "dc1", "machines": ["w1"]}
    trace["evacuations"].append({**place, "acked": 5.0, "lifted": 10.2})


def roll_back(trace: dict) -> None:
    late = {"status": 404, "sent": 9.5, "ended": 9.6}
    trace["probes"].append({**trace["probes"][0], **late})
    trace["disturbed"].append({"target": "*", "kind": "store", "begin": 8, "end": 9})


VIOLATIONS: list[tuple[str, Callable[[dict], None]]] = [
    ("a task never runs twice at the same time", lambda t: add_second_run(t, 10.2)),
    ("a worker's room is never exceeded", exceed_capacity),
    ("no task starts in an evacuated data centre", evacuate),
    ("only what a caller sent runs", lambda t: t["runs"][0].update(spec="{}")),
    ("only what a caller sent runs", lambda t: t["jobs"][0].update(at=10.2)),
    ("not run means no start", refuse_request),
    ("completed means that every task was done", lambda t: t["runs"].pop()),
    ("every request gets one whole answer", lose_response),
    ("every request gets one whole answer", lose_response_after_sigterm),
    ("a host ends by itself within its grace", lambda t: t["lives"][0].update(code=1)),
    (
        "a host ends by itself within its grace",
        lambda t: t["lives"][0].update(ended=36.5),
    ),
    (
        "a host ends by itself within its grace",
        lambda t: t["lives"][0].update(term=None),
    ),
    ("an accepted configuration is in force in time", add_outdated_answer),
    ("a configuration never goes back", roll_back),
    (
        "service is back after the faults",
        lambda t: t["recovered"][0].update(after_s=12.1),
    ),
]


def test_a_valid_trace_has_no_violations() -> None:
    assert check_soak(valid_trace()) == []


@pytest.mark.parametrize(("guarantee", "break_guarantee"), VIOLATIONS)
def test_each_violation_is_found(guarantee: str, break_guarantee: Callable) -> None:
    trace = copy.deepcopy(valid_trace())
    break_guarantee(trace)
    assert {violation.outcome for violation in check_soak(trace)} == {guarantee}


# False reports would hide the real ones.
def test_effects_of_a_fault_are_no_violation() -> None:
    trace = valid_trace()
    lose_response(trace)
    paused = {"target": "h1", "kind": "pause", "begin": 9.0, "end": 11.0}
    trace["disturbed"].append(paused)
    add_outdated_answer(trace)
    evacuate(trace)
    assert check_soak(trace) == []


# While the trace grows, a run without an end line was taken for one that never ends.
def test_an_unfinished_trace_has_no_violations() -> None:
    trace = valid_trace()
    trace["runs"] = [line for line in trace["runs"] if "start" in line]
    trace["requests"] = []
    trace["versions"].append({"version": 2, "sent": 8.0, "acked": None})
    trace["lives"][0]["ended"] = None
    add_second_run(trace, 10.31)
    assert check_soak(trace) == []


# SIGTERM ends a host at once if it arrives before the host installs its handlers.
def test_sigterm_may_end_a_starting_host_at_once() -> None:
    trace = valid_trace()
    life = {"life": 2, "term": 40.0, "ended": 40.1, "code": -15}
    trace["lives"].append({**trace["lives"][0], **life})
    assert check_soak(trace) == []
    trace["probes"].append(
        {**trace["probes"][0], "life": 2, "sent": 39.8, "ended": 39.9}
    )
    assert {v.outcome for v in check_soak(trace)} == {
        "a host ends by itself within its grace"
    }


def test_a_run_ends_when_its_worker_is_killed() -> None:
    trace = valid_trace()
    trace["runs"] = [line for line in trace["runs"] if line.get("end") is None]
    lose_response(trace)
    trace["requests"][0] |= {"status": 504}
    trace["worker_lives"] = [{"worker": "w1", "life": 1, "ended": 10.15}]
    add_second_run(trace, 10.16)
    assert check_soak(trace) == []
