"""Tests of what the logs tell about two runs of one task."""

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result

from poplarhill.cli.main import main
from poplarhill.overlaps import find_overlaps

TASK = "a1.0.0.0"


def line(event: str, at: float, host: str, **fields: object) -> dict:
    timestamp = f"2026-12-04T00:00:{at:09.6f}Z"
    return {"event": event, "host": host, "timestamp": timestamp, **fields}


def ordered(at: float, host: str, worker: str, run: int = 1) -> dict:
    return line("RunOrdered", at, host, task=TASK, run=run, worker=worker)


def resolved(
    at: float, host: str, worker: str, took_s: float, fate: str = "done", run: int = 1
) -> dict:
    fields = {"task": TASK, "run": run, "worker": worker, "fate": fate}
    return line("RunResolved", at, host, took_s=took_s, listed_s=0.05, **fields)


FIRST = [ordered(1.0, "h1", "w1"), resolved(3.0, "h1", "w1", 2.0)]
SUBMITTED_TWICE = [
    line("LeaderChosen", 0.9, "h4", job="a1", leader="h1", number=7),
    line("JobAnswered", 1.1, "h4", job="a1", outcome="stopped", number=7),
    line("LeaderChosen", 2.4, "h5", job="a1", leader="h2", number=3),
]


@pytest.fixture
def run_command(tmp_path: Path) -> Callable[..., Result]:
    def run(lines: list[dict], *arguments: str) -> Result:
        path = tmp_path / "hosts.log"
        path.write_bytes(b"".join(msgspec.json.encode(one) + b"\n" for one in lines))
        return CliRunner().invoke(main, ["log", *arguments, str(path)])

    return run


# Guards against a certain overlap where there is none: a worker reports its ends again
# to the next leader, which does not know the run.
def test_an_end_that_is_reported_again_extends_no_run() -> None:
    fields = {"task": TASK, "run": 1, "worker": "w1", "fate": "ended"}
    again = line("UnknownRunEnded", 4.5, "h3", listed_s=0.09, **fields)
    second = [ordered(3.1, "h1", "w2", 2), resolved(4.0, "h1", "w2", 0.9, run=2)]
    assert not find_overlaps([*FIRST, *second, again])


# Guards against an overlap of two leaders' runs that the report leaves out.
def test_runs_at_two_leaders_overlap_for_certain() -> None:
    second = [ordered(2.5, "h2", "w2"), resolved(4.0, "h2", "w2", 1.5)]
    [overlap] = find_overlaps(FIRST + second)
    assert overlap.certain_s == pytest.approx(3.0 - 0.05 - (2.5 + 0.1), abs=1e-3)
    assert overlap.possible_s == pytest.approx(0.5, abs=1e-3)
    assert (overlap.first.leaders, overlap.second.leaders) == (("h1",), ("h2",))


@pytest.mark.parametrize(
    "second",
    [
        [ordered(3.1, "h2", "w2"), resolved(4.0, "h2", "w2", 0.9)],
        # The worker never started it.
        [ordered(2.5, "h2", "w2"), resolved(2.6, "h2", "w2", 0.1, "never_started")],
        # Its number was used before, for an order that the worker did not carry out.
        [
            ordered(0.1, "h2", "w2"),
            resolved(0.4, "h2", "w2", 0.3, "never_started"),
            ordered(3.1, "h2", "w2"),
            resolved(4.0, "h2", "w2", 0.9),
        ],
        # The next leader adopts the same run.
        [
            line(
                "RunFound", 2.5, "h2", task=TASK, run=1, worker="w1", action="adopted"
            ),
            resolved(2.9, "h2", "w1", 0.4),
        ],
    ],
)
# Guards against false alarms, which would hide a real one.
def test_runs_one_after_the_other_do_not_overlap(second) -> None:
    assert not find_overlaps(FIRST + second)


@pytest.mark.parametrize(
    ("evidence", "end", "possible_s"),
    [
        ([], "no end in the logs", 1.5),
        ([line("WorkerConfirmed", 2.8, "h2", worker="w1")], "not listed when h2", 0.3),
        ([line("Started", 2.2, "h1")], "h1 had ended and the lease expired", 0.0),
        (
            [
                line(
                    "RunPresumedEnded",
                    2.6,
                    "h1",
                    task=TASK,
                    run=1,
                    worker="w1",
                    reason="lease expired",
                    lease_left_s=-0.2,
                )
            ],
            "presumed at h1: lease expired",
            0.1,
        ),
    ],
)
# Guards against a run without a logged end that counts as ended too early.
def test_a_run_without_an_end_lasts_until_it_is_known_to_have_ended(
    evidence, end, possible_s
) -> None:
    second = [ordered(2.5, "h2", "w2", 2), resolved(4.0, "h2", "w2", 1.5, run=2)]
    overlaps = find_overlaps([ordered(1.0, "h1", "w1"), *evidence, *second])
    assert [overlap.certain_s for overlap in overlaps] == [0.0] * bool(possible_s)
    for overlap in overlaps:
        assert overlap.possible_s == pytest.approx(possible_s, abs=1e-3)
        assert overlap.first.end.startswith(end)


# Guards against an order without a reply that counts as a certain run.
def test_a_run_whose_order_has_no_reply_is_not_certain() -> None:
    reply = {"task": TASK, "run": 1, "worker": "w2", "outcome": "unknown"}
    second = [ordered(2.0, "h2", "w2"), line("OrderReplied", 2.3, "h2", **reply)]
    [overlap] = find_overlaps([*FIRST, *second])
    assert (overlap.certain_s, overlap.second.known_from) == (0.0, float("inf"))


def test_the_command_shows_runs_and_submissions_of_a_certain_overlap(
    run_command,
) -> None:
    second = [ordered(2.5, "h2", "w2"), resolved(4.0, "h2", "w2", 1.5)]
    result = run_command(FIRST + second + SUBMITTED_TWICE, "overlaps")
    assert result.exit_code == 1
    assert f"{TASK} 0.350 s for certain, 0.500 s at most" in result.output
    assert "run 1 on w2 by h2: 2026-12-04T00:00:02.500000Z" in result.output
    assert "submitted: h4 number 7" in result.output
    assert "submitted: h5 number 3" in result.output


def test_the_command_succeeds_without_a_certain_overlap(run_command) -> None:
    result = run_command(FIRST, "overlaps")
    assert (result.exit_code, result.output) == (
        0,
        "0 certain and 0 possible overlaps\n",
    )


def test_the_history_of_a_job_shows_its_attempts_apart(run_command) -> None:
    result = run_command(FIRST + SUBMITTED_TWICE, "job", "a1")
    first, second = result.output.splitlines()[:2]
    assert first.startswith("attempt 1: h4 number 7 at 2026-12-04T00:00:00.9")
    assert first.endswith("leaders h1: stopped at 2026-12-04T00:00:01.100000Z")
    assert second.endswith("leaders h2: no answer in the logs")
