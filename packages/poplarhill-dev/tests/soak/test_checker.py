"""The checker finds each broken promise in a trace, and only that."""

import copy
from collections.abc import Callable

import pytest

from poplarhill_dev.soak.checker import check_soak

JOB = "000000000000000a"
SPEC = '{"run_s":0.2}'


def good_trace() -> dict[str, list[dict]]:
    """Return a trace in which every promise is kept."""
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
        "disturbed": [],
        "runs": runs,
        "recovered": [{"host": "h1", "after_s": 0.2}],
    }


def run_again(trace: dict, at: float, worker: str = "w3") -> None:
    run = [f"{JOB}.0.0.0", 2]
    place = {"worker": worker, "life": 1}
    start = {"at": at, "start": run, "spec": SPEC, "cores": 6.8}
    end = {"at": at + 0.2, "end": run, "kind": "done"}
    trace["runs"] += [{**place, **start}, {**place, **end}]


def overfill(trace: dict) -> None:
    for line in trace["runs"]:
        line["worker"] = "w1"
        line["cores"] = 8.1


def refuse(trace: dict) -> None:
    trace["requests"][0] |= {"status": 503, "state": ""}


def break_off(trace: dict) -> None:
    trace["requests"][0] |= {"status": None, "state": ""}


def break_off_after_sigterm(trace: dict) -> None:
    break_off(trace)
    trace["lives"][0]["term"] = 9.9
    trace["lives"][0]["ended"] = 12.0


def publish_unseen(trace: dict) -> None:
    trace["versions"].append({"version": 2, "sent": 11.0, "acked": 11.0})
    late = {"version": 2, "status": 404, "sent": 13.5, "ended": 13.6}
    trace["probes"].append({**trace["probes"][0], **late})


def go_back(trace: dict) -> None:
    late = {"status": 404, "sent": 9.5, "ended": 9.6}
    trace["probes"].append({**trace["probes"][0], **late})
    trace["disturbed"].append({"target": "*", "kind": "store", "begin": 8, "end": 9})


BROKEN: list[tuple[str, Callable[[dict], None]]] = [
    ("a task never runs twice at the same time", lambda t: run_again(t, 10.2)),
    ("a worker's room is never exceeded", overfill),
    ("only what a caller sent runs", lambda t: t["runs"][0].update(spec="{}")),
    ("only what a caller sent runs", lambda t: t["jobs"][0].update(at=10.2)),
    ("not run means no start", refuse),
    ("completed means that every task was done", lambda t: t["runs"].pop()),
    ("every request gets one whole answer", break_off),
    ("every request gets one whole answer", break_off_after_sigterm),
    ("a host ends by itself within its grace", lambda t: t["lives"][0].update(code=1)),
    (
        "a host ends by itself within its grace",
        lambda t: t["lives"][0].update(ended=36.5),
    ),
    (
        "a host ends by itself within its grace",
        lambda t: t["lives"][0].update(term=None),
    ),
    ("an accepted configuration is in force in time", publish_unseen),
    ("a configuration never goes back", go_back),
    (
        "service is back after the faults",
        lambda t: t["recovered"][0].update(after_s=12.1),
    ),
]


def test_a_good_trace_breaks_no_promise() -> None:
    assert check_soak(good_trace()) == []


@pytest.mark.parametrize(("promise", "spoil"), BROKEN)
def test_a_broken_promise_is_found(promise: str, spoil: Callable) -> None:
    trace = copy.deepcopy(good_trace())
    spoil(trace)
    assert {violation.outcome for violation in check_soak(trace)} == {promise}


# What the rules allow must not be reported, or nobody reads the reports.
def test_what_a_fault_explains_is_no_broken_promise() -> None:
    trace = good_trace()
    break_off(trace)
    paused = {"target": "h1", "kind": "pause", "begin": 9.0, "end": 11.0}
    trace["disturbed"].append(paused)
    publish_unseen(trace)
    assert check_soak(trace) == []


# A run that had not ended when the trace was read looked like one that never ends.
def test_a_trace_that_still_grows_breaks_no_promise() -> None:
    trace = good_trace()
    trace["runs"] = [line for line in trace["runs"] if "start" in line]
    trace["requests"] = []
    trace["versions"].append({"version": 2, "sent": 8.0, "acked": None})
    trace["lives"][0]["ended"] = None
    run_again(trace, 10.31)
    assert check_soak(trace) == []


# SIGTERM before the handlers are set ends a host that nobody has asked anything.
def test_a_host_that_starts_may_end_at_once() -> None:
    trace = good_trace()
    life = {"life": 2, "term": 40.0, "ended": 40.1, "code": -15}
    trace["lives"].append({**trace["lives"][0], **life})
    assert check_soak(trace) == []
    trace["probes"].append(
        {**trace["probes"][0], "life": 2, "sent": 39.8, "ended": 39.9}
    )
    assert {v.outcome for v in check_soak(trace)} == {
        "a host ends by itself within its grace"
    }


def test_a_run_ends_with_its_killed_worker() -> None:
    trace = good_trace()
    trace["runs"] = [line for line in trace["runs"] if line.get("end") is None]
    break_off(trace)
    trace["requests"][0] |= {"status": 504}
    trace["worker_lives"] = [{"worker": "w1", "life": 1, "ended": 10.15}]
    run_again(trace, 10.16)
    assert check_soak(trace) == []
