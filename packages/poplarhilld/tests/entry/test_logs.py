"""The log buffer: lines keep their order, and a stalled reader blocks nothing."""

import json
import os
import select
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta

import pytest
import structlog

from poplarhilld.entry.logs import _MAX_BYTES, _MAX_LINES, LogBuffer, configure_logs


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_lines_come_out_in_order(pipe: tuple[int, int]) -> None:
    reading, writing = pipe
    buffer = LogBuffer(writing)
    for number in range(3):
        buffer.msg(b"%d" % number)
    buffer.flush()
    assert os.read(reading, 100) == b"0\n1\n2\n"


def test_a_stalled_reader_loses_lines_but_does_not_block(pipe: tuple[int, int]) -> None:
    reading, writing = pipe
    buffer = LogBuffer(writing)
    for _ in range(_MAX_LINES + 7):
        buffer.msg(b"x" * 100)
    buffer.flush()
    assert buffer.dropped == 7
    os.set_blocking(reading, False)
    lines = b""
    while chunk := _read(reading):
        lines += chunk
        buffer.flush()
    assert lines.count(b"\n") == _MAX_LINES + 1
    assert b'"lines":7' in lines


# Guards against a line that is torn where a reader takes the log in small parts.
def test_each_write_ends_with_a_whole_line(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    _, writing = pipe
    buffer = LogBuffer(writing)
    blocks: list[bytes] = []
    monkeypatch.setattr(
        os, "write", lambda _, block: blocks.append(block) or len(block)
    )
    for _ in range(100):
        buffer.msg(b"x" * 300)
    buffer.flush()
    assert b"".join(blocks) == (b"x" * 300 + b"\n") * 100
    assert all(block.endswith(b"\n") for block in blocks)
    assert all(len(block) <= select.PIPE_BUF for block in blocks)


def _read(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b""


# Guards against the name of this host in the place of the host that a decision names.
def test_a_line_has_the_name_of_its_host_unless_it_names_another(
    pipe: tuple[int, int],
) -> None:
    reading, writing = pipe
    buffer = LogBuffer(writing)
    configure_logs(buffer, "h1")
    log = structlog.get_logger()
    log.info("Started", cores=2)
    log.info("HostFound", host="h2")
    buffer.flush()
    started, found = map(json.loads, os.read(reading, 1000).splitlines())
    assert (started["event"], started["host"], started["cores"]) == ("Started", "h1", 2)
    assert (found["event"], found["host"]) == ("HostFound", "h2")
    assert ("logged_by" in started, found["logged_by"]) == (False, "h1")
    structlog.reset_defaults()


# Guards against lines without the cause of an exception, or with a level on decisions.
def test_a_problem_has_its_level_its_exception_and_the_time_in_utc(
    pipe: tuple[int, int],
) -> None:
    reading, writing = pipe
    buffer = LogBuffer(writing)
    configure_logs(buffer, "h1")
    log = structlog.get_logger()
    log.info("JobAnswered", job="j1")
    try:
        raise ValueError("no such worker")
    except ValueError:
        log.exception("loop failed")
    buffer.flush()
    decision, problem = map(json.loads, os.read(reading, 10000).splitlines())
    assert list(decision) == ["job", "event", "host", "timestamp"]
    assert problem["level"] == "error"
    assert "ValueError: no such worker" in problem["exception"]
    assert "exc_info" not in problem
    assert problem["timestamp"].endswith("Z")
    age = datetime.now(UTC) - datetime.fromisoformat(problem["timestamp"])
    assert timedelta(0) <= age < timedelta(minutes=1)
    structlog.reset_defaults()


# Guards against a buffer whose memory depends on what clients send: lines may hold
# parts of their requests.
def test_long_lines_are_dropped_before_they_fill_the_memory(
    pipe: tuple[int, int],
) -> None:
    _, writing = pipe
    buffer = LogBuffer(writing)
    line_bytes = 16_000
    for _ in range(_MAX_LINES):
        buffer.msg(b"x" * line_bytes)
    kept = _MAX_LINES - buffer.dropped
    assert kept * line_bytes <= _MAX_BYTES
    buffer.flush()
    assert buffer.dropped == _MAX_LINES - kept
