"""One accepted HTTP/1.1 connection, based on h11."""

import contextlib
import math
import socket
from collections.abc import AsyncIterator, Callable
from functools import lru_cache

import curio
import h11
from curio.traps import _read_wait

from poplarhill.decoding import MAX_HEADER_BYTES
from poplarhill.exceptions import ErrorKind, Failure, error_body
from poplarhill.http.budget import BudgetExceededError
from poplarhill.http.limiter import NO_MEMORY, Cause, InputLimiter, spread_retry
from poplarhill.http.messages import (
    KIB,
    MIB,
    Limits,
    Request,
    Response,
    header_size,
    json_response,
)

_READ_BYTES = 16 * KIB
# Beside its bytes: the objects of h11 and of the request for one header field.
_HEADER_FIELD_BYTES = 400
_PROGRESS_BYTES = KIB  # a client that sends less at a time counts as silent
_USUAL_REQUEST_BYTES = 4 * KIB
_EVENTS_PER_TURN = 32  # a millisecond's work in h11
# Clients that read nothing until they have sent all still get their answers.
_MAX_DISCARDED_BYTES = 16 * MIB
_DISCARD_TIMEOUT_S = 2.0
_MAX_DETAIL_CHARS = 120  # h11's own message and the beginning of the line
_TOO_LARGE_HINTS = (413, 431)
_END_OF_MESSAGE = h11.EndOfMessage()
_RESPONSE_HEADS_KEPT = 256  # most responses of a server have one of a few heads


class SessionEndedError(Exception):
    """The connection ends: the caller closed it, or a request was refused."""


class RefusedError(Exception):
    """A request is answered with an error without being passed to the handler.

    Args:
        failure: The failure to send as the response.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class Session:
    """Receives requests and sends responses on one accepted connection.

    Args:
        client: The accepted socket.
        limits: Returns the limits on requests that are in force.
        task: The task that serves the connection.
        limiter: What the connections of the process share.
        on_progress: Called when the client has sent a considerable part of a request.
    """

    def __init__(
        self,
        client: curio.io.Socket,
        limits: Callable[[], Limits],
        task: curio.Task,
        limiter: InputLimiter,
        on_progress: Callable[["Session"], None],
    ) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._client = client
        self._limits = limits
        self._http = h11.Connection(h11.SERVER, MAX_HEADER_BYTES)
        self._task = task
        self._limiter = limiter
        self._on_progress = on_progress
        self._holding = limiter.budget.open(lambda: self.give_up(NO_MEMORY))
        self._given_up: Failure | None = None
        self._head: Request | None = None
        self._head_bytes = 0
        self._body = bytearray()
        self._sending = False
        self._refused = False
        self._pipelining = False
        self._omit_body = False
        self._closed_idle = False
        self._closed_by_caller = False
        self._handling = False
        self._handling_cancelled = False

    @property
    def reusable(self) -> bool:
        """Whether another request may be received on this connection."""
        return self._http.our_state is h11.IDLE

    @property
    def has_pipelined_data(self) -> bool:
        """Whether part of the next request has already been read."""
        return bool(self._http.trailing_data[0])

    @property
    def handling_cancelled(self) -> bool:
        """Whether a handler was cancelled because the caller closed the connection."""
        return self._handling_cancelled

    def has_received_more(self) -> bool:
        """Return whether part of the next request has arrived."""
        if not self.has_pipelined_data:
            with contextlib.suppress(OSError):
                data = self._client._socket.recv(_READ_BYTES)
                if data:
                    self._http.receive_data(data)
        return self.has_pipelined_data

    def is_closed_by_caller(self) -> bool:
        """Return whether the caller has closed the connection, or its sending side.

        A process that was paused or busy receives a request together with the close
        that followed it, before `closed_by_caller` is called.
        """
        if not self._closed_by_caller and not self._closed_idle:
            try:
                rest = self._client._socket.recv(1, socket.MSG_PEEK)
                self._closed_by_caller = not rest
            except BlockingIOError:
                pass
            except OSError:
                self._closed_by_caller = True
        return self._closed_by_caller

    @contextlib.asynccontextmanager
    async def cancel_if_closed(self) -> AsyncIterator[None]:
        """Cancel the task in this context once the caller closes the connection.

        If it has done so before, the next blocking operation in the context is
        cancelled.
        """
        self._handling = True
        try:
            if self._closed_by_caller:
                await self._cancel()
            yield
        finally:
            self._handling = False

    async def closed_by_caller(self) -> None:
        """Note that the caller closed the connection, or its sending side."""
        if self._closed_idle:
            return  # `close_idle` has shut down reading
        self._closed_by_caller = True
        if self._handling:
            await self._cancel()

    async def _cancel(self) -> None:
        self._handling_cancelled = True
        await self._task.cancel(blocking=False)

    async def wait_for_data(self) -> None:
        """Wait until the first bytes of a request have been received."""
        self._pipelining = self.has_pipelined_data
        if not self._pipelining:
            await self._read()

    def give_up(self, failure: Failure) -> bool:
        """End the connection, unless a request waits to be read.

        A request that has arrived in part is refused, and its memory is freed at once.

        Args:
            failure: Why the request is refused.

        Returns:
            Whether the connection ends.
        """
        if self._is_idle():
            if not self._close_if_silent():
                return False
            self._limiter.refused[Cause.from_failure(failure)] += 1
            return True
        self._given_up = failure
        self._body = bytearray()
        with contextlib.suppress(OSError):
            how = socket.SHUT_RDWR if self._sending else socket.SHUT_RD
            self._client._socket.shutdown(how)
        return True

    def release(self) -> None:
        """Hold no memory any more."""
        self._holding.release()

    def _is_idle(self) -> bool:
        """Return whether no part of a request has been read, and none is answered."""
        unread = self._head is None and not self.has_pipelined_data
        return unread and not self._sending and not self._refused

    def close_idle(self) -> None:
        """Stop waiting for the next request unless its first bytes have arrived."""
        self._close_if_silent()

    def _close_if_silent(self) -> bool:
        """Stop waiting for a request unless one has arrived; return whether it ends."""
        sock = self._client._socket
        try:
            return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            self._closed_idle = True
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass  # the caller has closed the connection; the wait ends by itself
        return True

    async def receive(self) -> Request:
        """Receive the next request completely and return it.

        Raises:
            RefusedError: The request violates the protocol or a limit.
            SessionEndedError: The caller closed the connection first.
        """
        self._head, self._head_bytes, self._body = None, 0, bytearray()
        await self._wait_for_turn()
        request = await self._next_request()
        if request is not None:
            return request  # without a timer: most requests arrive at once
        limits = self._limits()
        try:
            async with curio.timeout_after(limits.receive_s):
                async with curio.timeout_after(min(limits.header_s, limits.receive_s)):
                    while self._head is None:
                        await self._read_more()
                        request = await self._next_request()
                while request is None:
                    await self._send_continue()
                    await self._read_more()
                    request = await self._next_request()
                return request
        except curio.TaskTimeout as error:
            limit_s = limits.receive_s
            if self._head is None:
                limit_s = min(limits.header_s, limit_s)
            detail = f"request was not received completely within {limit_s:g} s"
            raise RefusedError(Failure(ErrorKind.REQUEST_TIMEOUT, detail)) from error

    async def _next_request(self) -> Request | None:
        """Return the next request, or `None` if it has not arrived completely."""
        events = 0
        while True:
            match event := self._next_event():
                case h11.NEED_DATA:
                    self._check_incomplete()
                    return None
                case h11.Request():
                    self._check_headers(event)
                    self._head = _to_request(event)
                case h11.Data():
                    self._add_body(event.data)
                case h11.EndOfMessage():
                    return self._complete()
                case _:
                    raise SessionEndedError
            events += 1
            if events % _EVENTS_PER_TURN == 0:
                await self._limiter.turns.next()
                self._check_given_up()

    def _check_headers(self, event: h11.Request) -> None:
        limits = self._limits()
        self._omit_body = event.method == b"HEAD"
        fields_bytes = header_size(event)
        if fields_bytes > limits.header_bytes:
            raise _headers_too_large(limits)
        declared = dict(event.headers).get(b"content-length", b"0")
        if int(declared) > limits.body_bytes:
            raise _body_too_large(limits)
        self._head_bytes = (
            fields_bytes + len(event.target) + _HEADER_FIELD_BYTES * len(event.headers)
        )

    def _add_body(self, data: bytes | bytearray) -> None:
        limits = self._limits()
        if len(self._body) + len(data) > limits.body_bytes:
            raise _body_too_large(limits)
        self._body += data

    def _check_incomplete(self) -> None:
        """Check what has arrived of a request that is not complete."""
        unparsed_bytes = len(self._http.trailing_data[0])
        limits = self._limits()
        if self._head is None and unparsed_bytes > limits.header_bytes:
            raise _headers_too_large(limits)
        self._hold(self._head_bytes + len(self._body) + unparsed_bytes)

    def _complete(self) -> Request:
        """Return the request that has arrived, and keep its memory until its answer."""
        assert self._head is not None
        request = self._head._replace(body=bytes(self._body))
        self._head, self._body = None, bytearray()
        self._hold(self._head_bytes + len(request.body), movable=False)
        return request

    def _hold(self, held_bytes: int, movable: bool = True) -> None:
        try:
            self._holding.resize(held_bytes, movable)
        except BudgetExceededError:
            raise RefusedError(NO_MEMORY) from None

    async def _wait_for_turn(self) -> None:
        """Wait until the first part of a request may be parsed."""
        large = len(self._http.trailing_data[0]) > _USUAL_REQUEST_BYTES
        if self._pipelining or large:
            await self._limiter.turns.next()
        else:
            await self._limiter.turns.begin()
        self._check_given_up()

    async def _read_more(self) -> None:
        """Read more of a request that has begun to arrive."""
        await self._limiter.turns.next()
        await self._read()

    async def _send_continue(self) -> None:
        """Send 100 Continue if the caller waits for it before it sends the body."""
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._client.sendall(self._http.send(interim))

    async def send(self, response: Response, close: bool = False) -> None:
        """Send a response.

        Args:
            response: The response.
            close: Whether to accept no further request on this connection.

        Raises:
            TaskTimeout: The caller did not read the response in time.
        """
        data = self._encode(response, close)
        rest = memoryview(data)[self._send_part(data) :]
        if rest:
            await self._send_rest(rest)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

    async def _send_rest(self, rest: memoryview) -> None:
        self._sending = True
        try:
            async with curio.timeout_after(self._limits().receive_s):
                await self._client.sendall(rest)
        finally:
            self._sending = False

    def send_now(self, response: Response) -> None:
        """Send a last response as far as the socket accepts it without waiting."""
        data = self._encode(response, close=True)
        with contextlib.suppress(OSError):
            self._send_part(data)

    def _send_part(self, data: bytes) -> int:
        """Send as much as the socket accepts now; return the count of bytes."""
        try:
            return self._client._socket.send(data)
        except BlockingIOError:
            return 0

    async def refuse(self, failure: Failure) -> None:
        """Send an error response, discard further input and close.

        Closing a connection with unread data resets it, and the reset can reach
        the caller before the response does.

        Raises:
            SessionEndedError: Always, so that the connection is closed.
        """
        self._limiter.refused[Cause.from_failure(failure)] += 1
        failure = spread_retry(failure)
        self._refused = True
        self._body = bytearray()
        self._holding.release()
        body = {"state": "failed", "error": error_body(failure)}
        response = json_response(failure.answer.status, body, _retry_header(failure))
        if self._given_up is not None or not self._limiter.begin_linger():
            self.send_now(response)
            raise SessionEndedError
        try:
            await self.send(response, close=True)
            self._client._socket.shutdown(socket.SHUT_WR)
            with contextlib.suppress(curio.TaskTimeout):
                await curio.timeout_after(_DISCARD_TIMEOUT_S, self._discard)
        finally:
            self._limiter.end_linger()
        raise SessionEndedError

    async def _discard(self) -> None:
        buffer = bytearray(_READ_BYTES)
        left = _MAX_DISCARDED_BYTES
        while left > 0:
            await self._limiter.turns.next()
            await _read_wait(self._client._fileno)
            received = self._client._socket.recv_into(buffer)
            if not received:
                return
            left -= received

    def _encode(self, response: Response, close: bool) -> bytes:
        head = _response_head(
            response.status, tuple(response.headers.items()), len(response.body), close
        )
        parts = [self._http.send(head)]
        if response.body and not self._omit_body:
            parts.append(self._http.send(h11.Data(data=response.body)))
        parts.append(self._http.send(_END_OF_MESSAGE))
        return b"".join(parts)

    async def _read(self) -> None:
        self._check_given_up()
        # Unlike curio's `recv`, this lets other tasks run even if data is there.
        await _read_wait(self._client._fileno)
        self._check_given_up()
        try:
            data = self._client._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return  # the data was discarded, for example by a wrong checksum
        if not data and not self.has_pipelined_data:
            raise SessionEndedError
        if len(data) >= _PROGRESS_BYTES:
            self._on_progress(self)
        self._http.receive_data(data)

    def _check_given_up(self) -> None:
        if self._given_up is not None:
            raise RefusedError(self._given_up)

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            kind = ErrorKind.BAD_REQUEST
            if error.error_status_hint in _TOO_LARGE_HINTS:
                kind = ErrorKind.TOO_LARGE
            # h11's message contains the invalid line, whose length is up to the caller.
            detail = f"invalid HTTP/1.1 request: {str(error)[:_MAX_DETAIL_CHARS]}"
            raise RefusedError(Failure(kind, detail)) from error


@lru_cache(maxsize=_RESPONSE_HEADS_KEPT)
def _response_head(
    status: int, headers: tuple[tuple[str, str], ...], body_bytes: int, close: bool
) -> h11.Response:
    """Return the head of a response, which h11 checks only once."""
    fields = [*headers, ("content-length", str(body_bytes))]
    if close:
        fields.append(("connection", "close"))
    return h11.Response(status_code=status, headers=fields)


def _to_request(event: h11.Request) -> Request:
    """Return a request without its body."""
    path, _, query = event.target.decode("ascii").partition("?")
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in event.headers
    }
    return Request(event.method.decode("ascii"), path, query, headers)


def _headers_too_large(limits: Limits) -> RefusedError:
    detail = f"headers are larger than {limits.header_bytes} bytes"
    return RefusedError(Failure(ErrorKind.TOO_LARGE, detail))


def _body_too_large(limits: Limits) -> RefusedError:
    detail = f"body is larger than {limits.body_bytes} bytes"
    return RefusedError(Failure(ErrorKind.TOO_LARGE, detail))


def _retry_header(failure: Failure) -> dict[str, str]:
    if failure.retry_after_s is None:
        return {}
    return {"retry-after": str(math.ceil(failure.retry_after_s))}
