"""Tests of the commands that read the logs of entry hosts."""

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from poplarhill.cli.main import main
from poplarhill.story import failure_reason, job_events, read_lines, worker_leaders

LINES = [
    {"event": "JobTaken", "job": "a1", "outcome": "taken", "host": "h1", "at": 2},
    {"event": "LeaderChosen", "job": "a1", "leader": "h1", "host": "h2", "at": 1},
    {"event": "RunOrdered", "task": "a1.0.0.0", "worker": "w1", "host": "h1", "at": 3},
    {"event": "RunOrdered", "task": "a12.0.0.0", "worker": "w1", "host": "h1", "at": 3},
    {
        "event": "JobAnswered",
        "job": "a1",
        "outcome": "timeout",
        "detail": "no outcome in time",
        "host": "h2",
        "at": 4,
    },
    {"event": "WorkerTaken", "worker": "w1", "token": 5, "host": "h1", "at": 0},
    {"event": "WorkerConfirmed", "worker": "w1", "token": 5, "host": "h1", "at": 1},
    {"event": "WorkerTaken", "worker": "w1", "token": 9, "host": "h3", "at": 6},
    {"event": "WorkerConfirmed", "worker": "w1", "token": 9, "host": "h3", "at": 7},
    {"event": "WorkerReleased", "worker": "w1", "token": 5, "host": "h1", "at": 8},
    {"event": "WorkerTaken", "worker": "w2", "token": 6, "host": "h1", "at": 6},
    {
        "event": "WorkerState",
        "worker": "w2",
        "state": "lost",
        "reason": "silent",
        "host": "h1",
        "at": 9,
    },
]


@pytest.fixture
def text() -> list[bytes]:
    lines = []
    for line in LINES:
        stamped = line | {"timestamp": f"2026-12-04T00:00:0{line['at']}Z"}
        lines.append(b"  12.5 h1 " + msgspec.json.encode(stamped) + b"\n")
    return [b"a line of another program\n", b"{cut off\n", *lines]


@pytest.fixture
def log_file(tmp_path: Path, text: list[bytes]) -> str:
    path = tmp_path / "hosts.log"
    path.write_bytes(b"".join(text))
    return str(path)


def test_job_events_are_all_lines_of_the_job_in_order(text) -> None:
    events = job_events(read_lines(text), "a1")
    assert [entry.event for entry in events] == [
        "LeaderChosen",
        "JobTaken",
        "RunOrdered",
        "JobAnswered",
    ]
    assert failure_reason(events) == "timeout: no outcome in time"


# Guards against the loss of a line that follows the rest of one that was cut off.
def test_a_line_after_one_that_was_cut_off_is_read() -> None:
    answered = msgspec.json.encode({"event": "JobAnswered", "job": "b"})
    text = [b'  1.5 h1 {"event":"RunResolved","task":"b.0.   1.6 h2 ' + answered]
    assert [line["event"] for line in read_lines(text)] == ["JobAnswered"]


def test_a_complete_job_has_no_failure_reason(text) -> None:
    done = {"event": "JobAnswered", "job": "b", "outcome": "complete"}
    assert failure_reason(job_events([done], "b")) is None


def test_a_job_whose_host_stopped_first_was_abandoned() -> None:
    abandoned = {"event": "JobAbandoned", "job": "b", "age_s": 0.5, "left_s": 1.0}
    reason = failure_reason(job_events([abandoned], "b"))
    assert reason == "abandoned: its host stopped before the job was answered"


def test_the_host_with_the_highest_token_leads_a_worker(text) -> None:
    first, second = worker_leaders(read_lines(text))
    assert (first.worker, first.host, first.token) == ("w1", "h3", 9)
    assert (first.state, first.since) == ("led", "2026-12-04T00:00:06Z")
    assert (second.worker, second.state, second.reason) == ("w2", "lost", "silent")


def test_the_command_shows_why_a_job_failed(log_file) -> None:
    result = CliRunner().invoke(main, ["log", "job", "a1", log_file])
    assert result.exit_code == 0
    assert result.output.endswith("not completed: timeout: no outcome in time\n")


def test_the_command_shows_who_leads_a_worker(log_file) -> None:
    result = CliRunner().invoke(main, ["log", "workers", log_file])
    assert "w1 led by h3 since 2026-12-04T00:00:06Z token 9" in result.output


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["log", "job", "zz", "{file}"], "no line of job zz"),
        (["log", "job", "a1", "{file}.gone"], "No such file"),
    ],
)
def test_bad_input_gets_one_clear_error(log_file, arguments, message) -> None:
    arguments = [part.replace("{file}", log_file) for part in arguments]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code != 0
    assert message in result.output
    assert "Traceback" not in result.output
