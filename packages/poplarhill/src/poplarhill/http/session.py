"""One accepted HTTP/1.1 connection, based on h11."""

import contextlib
import socket
from collections.abc import AsyncIterator
from functools import lru_cache

import curio
import h11

from poplarhill.exceptions import ErrorKind, Failure, error_body
from poplarhill.http.messages import (
    Limits,
    Request,
    Response,
    header_size,
    json_response,
)

_READ_BYTES = 65536
_MAX_DISCARDED_BYTES = 64 * 1024 * 1024
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
        limits: Limits on requests.
        task: The task that serves the connection.
    """

    def __init__(
        self, client: curio.io.Socket, limits: Limits, task: curio.Task
    ) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._client = client
        self._limits = limits
        self._http = h11.Connection(h11.SERVER, limits.header_bytes)
        self._task = task
        self._request: h11.Request | None = None
        self._chunks: list[bytes] = []
        self._size = 0
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
        if not self.has_pipelined_data:
            await self._read()

    def close_idle(self) -> None:
        """Stop waiting for the next request unless its first bytes have arrived."""
        sock = self._client._socket
        # If the caller has closed the connection already, the wait ends by itself.
        with contextlib.suppress(OSError):
            try:
                sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                self._closed_idle = True
                sock.shutdown(socket.SHUT_RD)

    async def receive(self) -> Request:
        """Receive the next request completely and return it.

        Raises:
            RefusedError: The request violates the protocol or a limit.
            SessionEndedError: The caller closed the connection first.
        """
        self._request, self._chunks, self._size = None, [], 0
        request = self._next_request()
        if request is not None:
            return request  # without a timer: most requests arrive at once
        limit_s = self._limits.receive_s
        try:
            async with curio.timeout_after(limit_s):
                while request is None:
                    await self._send_continue()
                    await self._read()
                    request = self._next_request()
                return request
        except curio.TaskTimeout as error:
            detail = f"request was not received completely within {limit_s:g} s"
            raise RefusedError(Failure(ErrorKind.REQUEST_TIMEOUT, detail)) from error

    def _next_request(self) -> Request | None:
        """Return the next request, or `None` if it has not arrived completely."""
        while True:
            match event := self._next_event():
                case h11.NEED_DATA:
                    return None
                case h11.Request():
                    self._request = event
                    self._check_headers(event)
                case h11.Data():
                    self._size += len(event.data)
                    if self._size > self._limits.body_bytes:
                        detail = f"body is larger than {self._limits.body_bytes} bytes"
                        raise RefusedError(Failure(ErrorKind.TOO_LARGE, detail))
                    self._chunks.append(bytes(event.data))
                case h11.EndOfMessage():
                    return _to_request(self._request, b"".join(self._chunks))
                case _:
                    raise SessionEndedError

    def _check_headers(self, event: h11.Request) -> None:
        self._omit_body = event.method == b"HEAD"
        if header_size(event) > self._limits.header_bytes:
            detail = f"headers are larger than {self._limits.header_bytes} bytes"
            raise RefusedError(Failure(ErrorKind.TOO_LARGE, detail))
        declared = dict(event.headers).get(b"content-length", b"0")
        if int(declared) > self._limits.body_bytes:
            detail = f"body is larger than {self._limits.body_bytes} bytes"
            raise RefusedError(Failure(ErrorKind.TOO_LARGE, detail))

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
        rest = data[self._send_part(data) :]
        if rest:
            async with curio.timeout_after(self._limits.receive_s):
                await self._client.sendall(rest)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

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
        body = {"state": "failed", "error": error_body(failure)}
        await self.send(json_response(failure.answer.status, body), close=True)
        self._client._socket.shutdown(socket.SHUT_WR)
        with contextlib.suppress(curio.TaskTimeout):
            await curio.timeout_after(_DISCARD_TIMEOUT_S, self._discard)
        raise SessionEndedError

    async def _discard(self) -> None:
        left = _MAX_DISCARDED_BYTES
        while left > 0 and (data := await self._client.recv(_READ_BYTES)):
            left -= len(data)

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
        data = await self._client.recv(_READ_BYTES)
        if not data and not self.has_pipelined_data:
            raise SessionEndedError
        self._http.receive_data(data)

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


def _to_request(event: h11.Request | None, body: bytes) -> Request:
    assert event is not None
    path, _, query = event.target.decode("ascii").partition("?")
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in event.headers
    }
    return Request(event.method.decode("ascii"), path, query, headers, body)
