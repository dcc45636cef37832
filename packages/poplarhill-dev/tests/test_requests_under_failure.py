"""Guarantees for a request while real processes are killed and frozen.

The workers count the starts of each task by its echo, which identifies the request
across submissions. These counts show whether a task ran at most once.
"""

import json
import threading
import time
import urllib.error
import urllib.request
from collections import Counter
from typing import Any

import msgspec
import pytest

from poplarhill_dev.fleet import Fleet, get_page, get_status, put_json, wait_until

LONG_S = 60.0


class Call(threading.Thread):
    """One submission, in a separate thread."""

    def __init__(
        self, port: int, tasks: list[dict], timeout_s: float, key: str | None = None
    ) -> None:
        super().__init__(daemon=True)
        body: dict[str, Any] = {
            "tasks": [json.dumps(task) for task in tasks],
            "timeout_s": timeout_s,
        }
        headers = {}
        if key is not None:
            body["idempotent"] = False
            headers["Idempotency-Key"] = key
        url = f"http://127.0.0.1:{port}/v1/services/booking/jobs"
        data = json.dumps(body).encode()
        self._request = urllib.request.Request(url, data, headers)
        self.answer: dict | None = None
        self.seconds = 0.0
        self.start()

    def run(self) -> None:
        """Submit and store the answer; None if the connection was lost."""
        begin = time.monotonic()
        try:
            with urllib.request.urlopen(self._request, timeout=120) as reply:
                self.answer = json.load(reply)
        except urllib.error.HTTPError as error:
            self.answer = json.load(error)
        except OSError:
            self.answer = None
        self.seconds = time.monotonic() - begin

    def result(self) -> dict | None:
        """Return the answer."""
        self.join(120)
        assert not self.is_alive()
        return self.answer

    def error(self) -> dict:
        """Return the error of a failed job."""
        return self.result()["error"]


@pytest.fixture
def fleet():
    fleet = Fleet.start(hosts=3, workers=3)
    try:
        yield fleet
    finally:
        fleet.stop()


def starts(fleet: Fleet) -> Counter[str]:
    """Return the starts of each task by its echo, on workers that respond."""
    counts: Counter[str] = Counter()
    for port in fleet.worker_ports.values():
        try:
            trace = msgspec.json.decode(get_page(port, "/trace"))
        except OSError:
            continue
        counts.update(echo for _, _, echo in trace)
    return counts


def tasks(name: str, count: int, run_s: float) -> list[dict]:
    return [{"run_s": run_s, "echo": f"{name}/{n}"} for n in range(count)]


def accepts_keys(port: int) -> bool:
    """Return whether a host has read the claims stream."""
    call = Call(port, tasks("probe", 1, 0.0), LONG_S, f"probe-{time.monotonic()}")
    return call.result()["state"] == "complete"


def submit_again(port: int, key: str) -> dict:
    """Submit a key and retry while the host cannot decide about it.

    A host that has not read the claims stream yet refuses with `claim_unavailable`.
    """
    answers: list[dict] = []

    def decided() -> bool:
        answers.append(Call(port, tasks("k", 1, 5.0), LONG_S, key).result())
        return answers[-1].get("error", {}).get("kind") != "claim_unavailable"

    wait_until(decided, "a verdict on the key")
    return answers[-1]


def wait_started(fleet: Fleet, name: str, count: int) -> None:
    def started() -> bool:
        return sum(f"{name}/{n}" in starts(fleet) for n in range(count)) == count

    wait_until(started, f"{count} tasks of {name} started")


def test_a_worker_killed_during_a_job_fails_the_job_at_once(fleet) -> None:
    port = fleet.process("h1").port
    call = Call(port, tasks("a", 3, LONG_S), LONG_S * 2)
    wait_started(fleet, "a", 3)
    fleet.kill("w1")
    error = call.error()
    assert error["kind"] == "worker_lost"
    assert error["run_state"] == "may_have_run"
    assert call.seconds < LONG_S
    after = Call(port, tasks("b", 16, 0.01), LONG_S)
    assert after.result()["state"] == "complete"
    assert max(starts(fleet).values()) == 1


def test_the_other_daemons_serve_after_one_is_killed(fleet) -> None:
    ports = [process.port for process in fleet.daemons()]
    lost = Call(ports[0], tasks("a", 3, LONG_S), LONG_S * 2)
    wait_started(fleet, "a", 3)
    others = [Call(port, tasks(f"o{port}", 16, 0.2), LONG_S) for port in ports[1:]]
    fleet.kill("h1")
    after = [Call(port, tasks(f"p{port}", 16, 0.01), LONG_S) for port in ports[1:]]
    assert lost.result() is None
    for call in others + after:
        assert call.result()["state"] == "complete"
    assert max(starts(fleet).values()) == 1


def test_a_daemon_frozen_past_a_deadline_sends_nothing_late(fleet) -> None:
    port = fleet.process("h1").port
    timeout_s = 2.0
    call = Call(port, tasks("a", 160, 0.5), timeout_s)
    wait_until(lambda: bool(starts(fleet)), "a task started")
    fleet.freeze("h1")
    frozen_at = time.monotonic()
    wait_until(lambda: time.monotonic() > frozen_at + timeout_s + 1, "deadline passed")
    before = starts(fleet)
    fleet.resume("h1")
    error = call.error()
    assert (error["kind"], error["run_state"]) == ("timeout", "may_have_run")
    after = Call(port, tasks("b", 3, 0.01), LONG_S)
    assert after.result()["state"] == "complete"
    late = {echo: n for echo, n in starts(fleet).items() if echo.startswith("a/")}
    assert late == dict(before)


@pytest.mark.parametrize("failure", ["kill", "freeze"])
def test_a_key_submitted_again_elsewhere_runs_at_most_once(fleet, failure) -> None:
    port = fleet.process("h1").port
    wait_until(lambda: accepts_keys(port), "keys taken")
    first = Call(port, tasks("k", 1, 5.0), LONG_S, "deposit")
    wait_started(fleet, "k", 1)
    getattr(fleet, failure)("h1")
    for name in ("h2", "h3"):
        again = submit_again(fleet.process(name).port, "deposit")
        assert again["error"]["kind"] == "duplicate"
    if failure == "freeze":
        fleet.resume("h1")
        assert first.result()["state"] == "complete"
        once_more = submit_again(fleet.process("h1").port, "deposit")
        assert once_more["results"] == ["k/0"]
    assert starts(fleet)["k/0"] == 1


def test_keys_raced_through_all_hosts_run_once_with_answers_lost(fleet) -> None:
    put_json(fleet.platform_port, "/faults", {"lose_answers": True, "fraction": 0.3})
    ports = [process.port for process in fleet.daemons()]
    calls = [
        Call(port, tasks(f"k{n}", 1, 0.05), LONG_S, f"key-{n}")
        for n in range(20)
        for port in ports
    ]
    answers = [call.result() for call in calls]
    counts = starts(fleet)
    for n in range(20):
        kinds = [
            answer.get("error", {}).get("kind", "complete")
            for answer in answers[n * 3 : n * 3 + 3]
        ]
        assert counts[f"k{n}/0"] <= 1
        assert kinds.count("complete") == counts[f"k{n}/0"], kinds
        assert set(kinds) <= {"complete", "duplicate", "claim_unavailable"}


def test_a_log_that_is_down_refuses_only_keyed_requests(fleet) -> None:
    port = fleet.process("h1").port
    put_json(fleet.platform_port, "/faults", {"down": True})

    def refused() -> bool:
        call = Call(port, tasks("k", 1, 0.0), LONG_S, f"key-{time.monotonic()}")
        return "error" in call.result()

    wait_until(refused, "keyed requests refused")
    call = Call(port, tasks("kept", 1, 0.0), LONG_S, "kept")
    error = call.error()
    assert (error["kind"], error["run_state"]) == ("claim_unavailable", "not_run")
    assert error["retry_after_s"] > 0
    plain = Call(port, tasks("plain", 16, 0.0), LONG_S)
    assert plain.result()["state"] == "complete"
    put_json(fleet.platform_port, "/faults", {})

    def taken() -> bool:
        call = Call(port, tasks("kept", 1, 0.0), LONG_S, "kept")
        return call.result()["state"] == "complete"

    wait_until(taken, "keyed requests taken again")
    assert starts(fleet)["kept/0"] == 1


def test_a_stopping_daemon_answers_every_job_and_exits_0(fleet) -> None:
    process = fleet.process("h1")
    idle = urllib.request.urlopen(f"http://127.0.0.1:{process.port}/healthz")
    calls = [Call(process.port, tasks(f"j{n}", 160, 0.2), LONG_S) for n in range(3)]
    wait_until(lambda: len(starts(fleet)) > 10, "tasks started")
    process.handle.terminate()
    wait_until(lambda: get_status(process.port, "/readyz") == 503, "not ready")
    refused = Call(process.port, tasks("late", 1, 0.0), LONG_S)
    assert refused.error()["kind"] == "shutting_down"
    for call in calls:
        assert call.result()["state"] == "complete"
    assert process.handle.wait(60) == 0
    idle.close()
    assert "late/0" not in starts(fleet)
