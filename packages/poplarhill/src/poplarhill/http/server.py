"""An HTTP/1.1 server on curio, by h11.

A connection is served one request at a time. While a request is handled, the
connection is watched: when the caller hangs up, the handler is cancelled.
"""

import contextlib
import socket
from collections.abc import Awaitable, Callable

import curio
import h11

from poplarhill.exceptions import ErrorKind, Failure, error_body
from poplarhill.http.messages import Limits, Request, Response, json_response

Handler = Callable[[Request], Awaitable[Response]]

_READ_BYTES = 65536
_BACKLOG = 1024
_MAX_PIPELINED_BYTES = 65536


class _HangUpError(Exception):
    """The other side closed its connection."""


class _RefusedError(Exception):
    """A request that gets an error without reaching the handler."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class HttpServer:
    """Accepts connections and hands whole requests to one handler.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 takes any free one.
        handler: Coroutine function from request to response.
        limits: Bounds on requests.
    """

    def __init__(
        self, host: str, port: int, handler: Handler, limits: Limits | None = None
    ) -> None:
        self._handler = handler
        self._limits = limits or Limits()
        self._sock = curio.tcp_server_socket(host, port, backlog=_BACKLOG)
        self._closing = False
        self._busy = 0
        self._idle = curio.Event()

    @property
    def port(self) -> int:
        """The port in use."""
        return self._sock.getsockname()[1]

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with curio.TaskGroup(wait=all) as group, self._sock:
            reaper = await curio.spawn(self._reap, group, daemon=True)
            try:
                while True:
                    client, _ = await self._sock.accept()
                    await group.spawn(self._serve, client)
            finally:
                await reaper.cancel()
                await group.cancel_remaining()

    async def drain(self) -> None:
        """Answer what is in flight, closing each connection after its answer."""
        self._closing = True
        while self._busy:
            await self._idle.wait()
            self._idle.clear()

    async def _reap(self, group: curio.TaskGroup) -> None:
        async for _ in group:
            pass

    async def _serve(self, client: curio.io.Socket) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with client:
            session = _Session(client, self._limits)
            with contextlib.suppress(_HangUpError, OSError, curio.TaskTimeout):
                while not self._closing:
                    await self._serve_one(session)
                    if not session.reusable:
                        break

    async def _serve_one(self, session: "_Session") -> None:
        try:
            await curio.timeout_after(self._limits.idle_s, session.wait_for_data)
            request = await self._receive(session)
        except _RefusedError as refused:
            failure = refused.failure
            response = json_response(
                failure.answer.status, {"error": error_body(failure)}
            )
            await session.send(response, close=True)
            raise _HangUpError from refused
        self._busy += 1
        try:
            response = await self._handle(session, request)
            await session.send(response, close=self._closing)
        finally:
            self._busy -= 1
            if not self._busy:
                await self._idle.set()

    async def _receive(self, session: "_Session") -> Request:
        try:
            return await curio.timeout_after(self._limits.receive_s, session.receive)
        except curio.TaskTimeout as error:
            detail = f"request not whole within {self._limits.receive_s:g} s"
            raise _RefusedError(Failure(ErrorKind.REQUEST_TIMEOUT, detail)) from error

    async def _handle(self, session: "_Session", request: Request) -> Response:
        async with curio.TaskGroup(wait=any) as group:
            handling = await group.spawn(self._handler, request)
            await group.spawn(session.watch)
        if group.completed is not handling:
            raise _HangUpError
        return handling.result


class _Session:
    """h11 state of one accepted connection."""

    def __init__(self, client: curio.io.Socket, limits: Limits) -> None:
        self._client = client
        self._limits = limits
        self._http = h11.Connection(h11.SERVER, limits.header_bytes)
        self._pipelined = 0

    @property
    def reusable(self) -> bool:
        return self._http.our_state is h11.IDLE

    async def wait_for_data(self) -> None:
        if not self._http.trailing_data[0]:
            await self._read()

    async def receive(self) -> Request:
        request: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        self._pipelined = 0
        while True:
            match event := self._next_event():
                case h11.NEED_DATA:
                    await self._read()
                case h11.Request():
                    request = event
                case h11.Data():
                    size += len(event.data)
                    if size > self._limits.body_bytes:
                        detail = f"body over {self._limits.body_bytes} bytes"
                        raise _RefusedError(Failure(ErrorKind.TOO_LARGE, detail))
                    chunks.append(bytes(event.data))
                case h11.EndOfMessage():
                    return _to_request(request, b"".join(chunks))
                case _:
                    raise _HangUpError

    async def watch(self) -> None:
        """Return when the caller has closed; keep what it pipelines."""
        while self._pipelined <= _MAX_PIPELINED_BYTES:
            data = await self._client.recv(_READ_BYTES)
            if not data:
                return
            self._pipelined += len(data)
            self._http.receive_data(data)

    async def send(self, response: Response, close: bool = False) -> None:
        headers = list(response.headers.items())
        headers.append(("content-length", str(len(response.body))))
        if close:
            headers.append(("connection", "close"))
        parts = (
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )
        await self._client.sendall(b"".join(self._http.send(part) for part in parts))
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

    async def _read(self) -> None:
        data = await self._client.recv(_READ_BYTES)
        if not data and not self._http.trailing_data[0]:
            raise _HangUpError
        self._http.receive_data(data)

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            kind = ErrorKind.BAD_REQUEST
            if error.error_status_hint in (413, 431):
                kind = ErrorKind.TOO_LARGE
            raise _RefusedError(Failure(kind, f"not HTTP/1.1: {error}")) from error


def _to_request(event: h11.Request | None, body: bytes) -> Request:
    assert event is not None
    path, _, query = event.target.decode("ascii").partition("?")
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in event.headers
    }
    return Request(event.method.decode("ascii"), path, query, headers, body)
