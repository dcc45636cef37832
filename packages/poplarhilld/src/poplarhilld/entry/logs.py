"""A bounded buffer of log lines that is written without blocking."""

import fcntl
import os
import select
from collections import deque
from datetime import UTC, datetime
from functools import partial

import msgspec
import structlog

from poplarhilld.logs import capture_library_logs

_MAX_LINES = 20_000  # about 5 MB of usual lines
_MAX_BYTES = 10_000_000  # lines on input may be long

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class LogBuffer:
    """Holds log lines until they are written to a file descriptor.

    When the reader of the descriptor does not keep up and the buffer is full, new
    lines are dropped and counted.

    Args:
        descriptor: File descriptor that the lines are written to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._lines_bytes = 0
        self._unwritten = b""
        self._dropped = 0
        self._dropped_logged = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    @property
    def dropped(self) -> int:
        """Count of dropped lines."""
        return self._dropped

    def msg(self, line: bytes) -> None:
        """Add a line, or drop it if the buffer is full."""
        size = self._lines_bytes + len(line)
        if len(self._lines) >= _MAX_LINES or size > _MAX_BYTES:
            self._dropped += 1
            return
        self._lines_bytes = size
        self._lines.append(line)

    debug = info = warning = error = critical = exception = log = msg

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        if self._dropped > self._dropped_logged and not self._lines:
            lines = self._dropped - self._dropped_logged
            self._dropped_logged = self._dropped
            self.msg(msgspec.json.encode({"event": "LinesDropped", "lines": lines}))
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_block()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[written:]

    def _next_block(self) -> bytes:
        """Return lines that a pipe takes as a whole or not at all."""
        parts = [self._next_line()]
        size = len(parts[0]) + 1
        while self._lines and size + len(self._lines[0]) < select.PIPE_BUF:
            parts.append(self._next_line())
            size += len(parts[-1]) + 1
        return b"\n".join(parts) + b"\n"

    def _next_line(self) -> bytes:
        line = self._lines.popleft()
        self._lines_bytes -= len(line)
        return line


def configure_logs(buffer: LogBuffer, host: str) -> None:
    """Send the structured log of this process to a buffer.

    Args:
        buffer: Buffer that receives the lines.
        host: Name of this entry host, added to every line.
    """
    structlog.configure(
        processors=[partial(_render, host)],
        logger_factory=lambda *_: buffer,
        cache_logger_on_first_use=True,
    )
    capture_library_logs()


def _render(
    host: str, logger: object, method: str, event: structlog.typing.EventDict
) -> bytes:
    """Return a line as JSON, with the name of this host and the time.

    Lines that report a problem have a level; decisions have none. One processor takes
    half of the time that a chain of them takes.
    """
    if event.setdefault("host", host) != host:
        event["logged_by"] = host  # the decision names another host
    if method != "info":
        event["level"] = method
    event["timestamp"] = datetime.now(UTC).isoformat().replace("+00:00", "Z")
    if "exc_info" in event:
        event = structlog.processors.format_exc_info(logger, method, event)
    return _ENCODER.encode(event)
