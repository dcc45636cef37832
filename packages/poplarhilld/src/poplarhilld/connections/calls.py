"""Calls to one server over persistent connections, without a curio task per call."""

import contextlib
import math
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio
import structlog
from curio.traps import _read_wait

from poplarhill.http import InvalidResponseError, Response, connect_from
from poplarhill.http.framing import ResponseReader
from poplarhill.types import Address
from poplarhilld.connections.deadlines import DeadlineQueue
from poplarhilld.connections.pool import CONNECT_TIMEOUT_S, LIMITS

_READ_BYTES = 16384
# The reader of a connection notices that the server has closed it, but not while this
# process is paused or busy. So soon after a response, a close is too unlikely to check
# for it before the call.
_RECENT_S = 0.005
_log = structlog.get_logger()


class CallFailure(NamedTuple):
    """Why a call got no usable response.

    Attributes:
        detail: Cause of the failure.
        sent: Whether the request may have been processed.
        refused: Whether the connection was refused.
    """

    detail: str
    sent: bool
    refused: bool = False


Outcome = Response | CallFailure
Handler = Callable[[Outcome], Awaitable[None]]


class Call:
    """One call, from when it is made until its handler is called.

    Args:
        data: The whole request.
        timeout_s: Longest time to wait for a free connection, then to connect, and
            then for the response, s.
        handler: Called once with the outcome, unless the event loop ends before.

    Attributes:
        deadline_s: When it fails; infinite while it connects and once it is done, s.
        connection: The connection that carries it; `None` before it is sent.
    """

    __slots__ = ("connection", "data", "deadline_s", "handler", "timeout_s")

    def __init__(self, data: bytes, timeout_s: float, handler: Handler) -> None:
        self.data = data
        self.timeout_s = timeout_s
        self.handler = handler
        self.deadline_s = math.inf
        self.connection: _Connection | None = None

    async def expire(self) -> None:
        """Fail, because its deadline has passed."""
        self.deadline_s = math.inf
        if self.connection is not None:
            self.connection.fail(f"no response within {self.timeout_s:g} s")
            return
        failure = CallFailure("no free connection", sent=False)
        await curio.spawn(self.deliver, failure, daemon=True)

    async def deliver(self, outcome: Outcome) -> None:
        """Call the handler; an error in it must not end the reader that calls it."""
        try:
            await self.handler(outcome)
        except Exception:
            _log.exception("handler of a call failed")


class CallPool:
    """At most `size` connections to one server that each carry one call at a time.

    Each connection has a reader, a curio task that hands each response to the handler
    of its call. Handlers must therefore not block.

    Args:
        address: Address of the server.
        source: Local IP address to connect from; any if not given.
        size: Maximum number of open connections.
        deadlines: Expires the calls.
    """

    def __init__(
        self, address: Address, source: str | None, size: int, deadlines: DeadlineQueue
    ) -> None:
        self._address = address
        self._source = source
        self._size = size
        self._deadlines = deadlines
        self._open = 0
        self._idle: list[_Connection] = []
        self._waiting: deque[Call] = deque()

    @property
    def open(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open

    async def call(self, call: Call) -> None:
        """Make a call; its handler is called later, never from within this method."""
        connection = self._take_idle()
        if connection is not None:
            await self._send(connection, call)
        elif self._open < self._size:
            await self._open_connection(call)
        else:
            self._waiting.append(call)
            await self._deadlines.add(call, call.timeout_s)

    def close_idle(self, idle_s: float) -> None:
        """Close every connection that has been idle for at least `idle_s`."""
        oldest_s = time.monotonic() - idle_s
        for connection in self._idle:
            if connection.idle_since_s <= oldest_s:
                connection.fail("idle")
        self._idle = [c for c in self._idle if not c.failure]

    def _take_idle(self) -> "_Connection | None":
        """Return a connection that the server has not closed, as far as is known."""
        recent_s = time.monotonic() - _RECENT_S
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since_s >= recent_s or connection.is_quiet():
                return connection
            connection.fail("closed by the server")
        return None

    async def _send(self, connection: "_Connection", call: Call) -> None:
        await connection.send(call)
        await self._deadlines.add(call, call.timeout_s)

    async def _open_connection(self, call: Call) -> None:
        self._open += 1
        await curio.spawn(self._serve_connection, call, daemon=True)

    async def _send_waiting(self, connection: "_Connection | None" = None) -> bool:
        """Send the call that has waited longest, if any, on a connection or a new one.

        Returns:
            Whether a call was waiting.
        """
        while self._waiting:
            call = self._waiting.popleft()
            if call.deadline_s == math.inf:
                continue  # it has expired
            if connection is not None:
                await self._send(connection, call)
            else:
                call.deadline_s = math.inf
                await self._open_connection(call)
            return True
        return False

    async def _serve_connection(self, first: Call) -> None:
        """Open a connection, send the first call, and read until the connection ends.

        What follows the last read is not reached when the event loop ends: nothing may
        be sent then.
        """
        outcome: Outcome
        try:
            connection = await self._connect(first.timeout_s)
        except (OSError, curio.TaskTimeout) as error:
            self._open -= 1
            detail = f"cannot connect to {self._address}: {error or 'timeout'}"
            refused = isinstance(error, ConnectionRefusedError)
            last, outcome = first, CallFailure(detail, sent=False, refused=refused)
        else:
            try:
                await self._send(connection, first)
                last, outcome = await self._read(connection)
            finally:
                self._open -= 1
                if connection in self._idle:
                    self._idle.remove(connection)
                await connection.close()
        await self._send_waiting()
        if last is not None:
            last.deadline_s = math.inf
            await last.deliver(outcome)

    async def _connect(self, timeout_s: float) -> "_Connection":
        sock = await curio.timeout_after(
            min(timeout_s, CONNECT_TIMEOUT_S),
            connect_from,
            self._source,
            *self._address,
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _Connection(sock)

    async def _read(self, connection: "_Connection") -> tuple[Call | None, Outcome]:
        """Hand responses to their calls until the connection can't be used again.

        Returns:
            The call that was in progress then, if any, and its outcome.
        """
        reader = ResponseReader(LIMITS)
        while True:
            try:
                data = await connection.receive()
                call = connection.call
                if call is None or connection.failure or not data:
                    detail = connection.failure or "connection closed"
                    return call, CallFailure(detail, sent=True)
                response = reader.feed(data)
            except OSError as error:
                detail = connection.failure or f"connection lost: {error}"
                return connection.call, CallFailure(detail, sent=True)
            except InvalidResponseError as error:
                return connection.call, CallFailure(str(error), sent=True)
            if response is None:
                continue
            if not reader.reusable:
                return call, response
            call.deadline_s = math.inf
            connection.call = None
            if not await self._send_waiting(connection):
                connection.idle_since_s = time.monotonic()
                self._idle.append(connection)
            await call.deliver(response)


class _Connection:
    """An open connection and the call that it carries, if any.

    Attributes:
        call: The call in progress, whose request was sent at least in part.
        failure: Why the connection can't be used again; empty as long as it can.
        idle_since_s: When the last response arrived, s.
    """

    __slots__ = ("_receive", "_sender", "_sock", "call", "failure", "idle_since_s")

    def __init__(self, sock: curio.io.Socket) -> None:
        self._sock = sock
        self._receive = sock._socket.recv
        self._sender: curio.Task | None = None
        self.call: Call | None = None
        self.failure = ""
        self.idle_since_s = 0.0

    def is_quiet(self) -> bool:
        """Return whether the server has neither closed the connection nor sent data."""
        try:
            self._receive(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def fail(self, reason: str) -> None:
        """Shut down the connection, so that its reader ends and fails the call."""
        self.failure = self.failure or reason
        with contextlib.suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    async def send(self, call: Call) -> None:
        """Send the request of a call, without waiting for the server to read it."""
        self.call = call
        call.connection = self
        try:
            sent_bytes = self._sock._socket.send(call.data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError as error:
            self.fail(f"connection lost: {error}")
            return
        rest = call.data[sent_bytes:]
        call.data = b""  # the queue of deadlines keeps the call for some time
        if rest:
            self._sender = await curio.spawn(self._send_rest, rest, daemon=True)

    async def receive(self) -> bytes:
        """Return the next data, or nothing if the server has closed the connection.

        Raises:
            OSError: The connection was lost.
        """
        # Reading first, as curio does, would raise BlockingIOError nearly every time.
        while True:
            await _read_wait(self._sock._fileno)
            try:
                return self._receive(_READ_BYTES)
            except BlockingIOError:
                pass  # the data was discarded, for example by a wrong checksum

    async def close(self) -> None:
        """Close the connection."""
        if self._sender is not None:
            # curio keeps a task that waits for a socket even after this is closed.
            await self._sender.cancel()
        await self._sock.close()

    async def _send_rest(self, rest: bytes) -> None:
        try:
            await self._sock.sendall(rest)
        except OSError as error:
            self.fail(f"connection lost: {error}")
