"""One accepted HTTP/1.1 connection, based on h11."""

import contextlib
import socket

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
_MAX_PIPELINED_BYTES = 65536
_MAX_DISCARDED_BYTES = 64 * 1024 * 1024
_DISCARD_TIMEOUT_S = 2.0
_MAX_DETAIL_CHARS = 120  # h11's own message and the beginning of the line
_TOO_LARGE_HINTS = (413, 431)


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
    """

    def __init__(self, client: curio.io.Socket, limits: Limits) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._client = client
        self._limits = limits
        self._http = h11.Connection(h11.SERVER, limits.header_bytes)
        self._pipelined_bytes = 0
        self._omit_body = False
        self._closed_idle = False

    @property
    def reusable(self) -> bool:
        """Whether another request may be received on this connection."""
        return self._http.our_state is h11.IDLE

    @property
    def has_pipelined_data(self) -> bool:
        """Whether part of the next request has already been read."""
        return bool(self._http.trailing_data[0])

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
        limit_s = self._limits.receive_s
        try:
            async with curio.timeout_after(limit_s):
                return await self._receive()
        except curio.TaskTimeout as error:
            detail = f"request was not received completely within {limit_s:g} s"
            raise RefusedError(Failure(ErrorKind.REQUEST_TIMEOUT, detail)) from error

    async def _receive(self) -> Request:
        request: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        self._pipelined_bytes = 0
        while True:
            match event := self._next_event():
                case h11.NEED_DATA:
                    await self._send_continue()
                    await self._read()
                case h11.Request():
                    request = event
                    self._check_headers(event)
                case h11.Data():
                    size += len(event.data)
                    if size > self._limits.body_bytes:
                        detail = f"body is larger than {self._limits.body_bytes} bytes"
                        raise RefusedError(Failure(ErrorKind.TOO_LARGE, detail))
                    chunks.append(bytes(event.data))
                case h11.EndOfMessage():
                    return _to_request(request, b"".join(chunks))
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

    async def wait_for_close(self) -> None:
        """Wait until the caller closes the connection.

        Pipelined data that arrives in the meantime is kept for the next request.
        After `_MAX_PIPELINED_BYTES` this stops reading and never returns.
        """
        while self._pipelined_bytes <= _MAX_PIPELINED_BYTES:
            data = await self._client.recv(_READ_BYTES)
            if not data:
                # `close_idle` has shut down reading, so the empty read does not mean
                # that the caller has closed the connection.
                if self._closed_idle:
                    break
                return
            self._pipelined_bytes += len(data)
            self._http.receive_data(data)
        await curio.Event().wait()

    async def send(self, response: Response, close: bool = False) -> None:
        """Send a response.

        Args:
            response: The response.
            close: Whether to accept no further request on this connection.

        Raises:
            TaskTimeout: The caller did not read the response in time.
        """
        data = self._encode(response, close)
        async with curio.timeout_after(self._limits.receive_s):
            await self._client.sendall(data)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

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
        headers = list(response.headers.items())
        headers.append(("content-length", str(len(response.body))))
        if close:
            headers.append(("connection", "close"))
        body = b"" if self._omit_body else response.body
        parts = (
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        return b"".join(self._http.send(part) for part in parts)

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


def _to_request(event: h11.Request | None, body: bytes) -> Request:
    assert event is not None
    path, _, query = event.target.decode("ascii").partition("?")
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in event.headers
    }
    return Request(event.method.decode("ascii"), path, query, headers, body)
