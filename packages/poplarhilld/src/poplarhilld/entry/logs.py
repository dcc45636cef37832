"""A log that never blocks: lines wait in a bounded buffer."""

import fcntl
import os
from collections import deque

import curio
import msgspec
import structlog

_MOST_LINES = 20_000  # about 5 MB of lines, a tenth of the smallest host's memory
_FLUSH_S = 0.1  # how late a line may be
_WRITE_BYTES = 65536  # capacity of a pipe

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class LogBuffer:
    """Lines on their way to a file descriptor.

    When it does not keep up, new lines are dropped and counted.

    Args:
        descriptor: Where the lines go.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._dropped = 0
        self._dropped_told = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    @property
    def dropped(self) -> int:
        """Count of lines that were dropped."""
        return self._dropped

    def msg(self, line: bytes) -> None:
        """Add a line."""
        if len(self._lines) >= _MOST_LINES:
            self._dropped += 1
            return
        self._lines.append(line)

    debug = info = warning = error = critical = exception = log = msg

    def flush(self) -> None:
        """Write what the descriptor takes without waiting."""
        if self._dropped > self._dropped_told and not self._lines:
            lines = self._dropped - self._dropped_told
            self._dropped_told = self._dropped
            self.msg(msgspec.json.encode({"event": "LinesDropped", "lines": lines}))
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            self._rest = self._rest[written:]

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            await curio.sleep(_FLUSH_S)
            self.flush()

    def _take(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < _WRITE_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        return b"\n".join(parts) + b"\n"


def configure_logs(buffer: LogBuffer, host: str) -> None:
    """Send the structured log of this process to a buffer.

    Args:
        buffer: Where lines go.
        host: Name of this entry host, added to every line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _level_of_trouble,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(_encode),
        ],
        logger_factory=lambda *_: buffer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)


def _level_of_trouble(
    _logger: object, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Name the level of lines that tell of trouble; decisions have none."""
    if method != "info":
        event["level"] = method
    return event


def _encode(value: object, **_: object) -> bytes:
    return _ENCODER.encode(value)
