"""Log lines never wait for whoever reads them."""

import json
import os
from collections.abc import Iterator
from datetime import datetime

import pytest
import structlog

from poplarhilld.entry.logs import (
    _MOST_LINES,
    DecisionLog,
    LogBuffer,
    configure_logs,
)
from poplarhilld.leading.messages import RunOrdered
from poplarhilld.shards.messages import HostGone


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


def test_a_reader_that_stops_costs_lines_and_no_time(pipe: tuple[int, int]) -> None:
    reading, writing = pipe
    buffer = LogBuffer(writing)
    for _ in range(_MOST_LINES + 7):
        buffer.msg(b"x" * 100)
    buffer.flush()
    assert buffer.dropped == 7
    os.set_blocking(reading, False)
    lines = b""
    while chunk := _read(reading):
        lines += chunk
        buffer.flush()
    assert lines.count(b"\n") == _MOST_LINES + 1
    assert b'"lines":7' in lines


def _read(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b""


# Guards against lines of decisions that are lost or no longer look like the others.
def test_a_decision_has_the_line_that_structlog_writes(pipe: tuple[int, int]) -> None:
    reading, writing = pipe
    buffer = LogBuffer(writing)
    configure_logs(buffer, "h1")
    try:
        for decision in (
            HostGone("h2", "silent", 0.7),
            RunOrdered("j", 1, "w", 2, 3, 4),
        ):
            structlog.get_logger().info(type(decision).__name__, **decision._asdict())
            DecisionLog(buffer, "h1").write(decision)
    finally:
        structlog.reset_defaults()
        structlog.contextvars.clear_contextvars()
    buffer.flush()
    lines = [json.loads(line) for line in os.read(reading, 10_000).splitlines()]
    assert len(lines) == 4
    for by_structlog, own in zip(lines[::2], lines[1::2], strict=True):
        for line in (by_structlog, own):
            datetime.fromisoformat(line.pop("timestamp"))
        assert list(own.items()) == list(by_structlog.items())
