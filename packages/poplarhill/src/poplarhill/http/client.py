"""HTTP/1.1 client connections, based on h11."""

import contextlib
import socket
from collections.abc import Callable, Iterable
from enum import Enum
from functools import lru_cache

import curio
import h11

from poplarhill.http.messages import Limits, Request, Response, header_size

_READ_BYTES = 65536
_DEFAULT_LIMITS = Limits()
_BODILESS_STATUSES = (204, 304)
_REQUEST_HEADS_KEPT = 2048  # 80 workers, two calls, a dozen lengths of bodies
_END_OF_MESSAGE = h11.EndOfMessage()


class ConnectionLostError(Exception):
    """The connection was lost before the whole response was received.

    Args:
        detail: How the connection was lost.
        sent: Whether any byte of the request may have left this host.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class InvalidResponseError(Exception):
    """The server's response violates the protocol or a limit."""


class IdleState(Enum):
    """State of a connection that carries no request.

    `UNSOLICITED` means that the server sent data without a request.
    """

    USABLE = "usable"
    CLOSED = "closed"
    UNSOLICITED = "unsolicited"


class Connection:
    """A persistent connection that carries one request at a time.

    Args:
        sock: A connected curio socket.
        limits: Limits on responses.
    """

    def __init__(self, sock: curio.io.Socket, limits: Limits) -> None:
        self._sock = sock
        self._limits = limits
        self._http = h11.Connection(h11.CLIENT, limits.header_bytes)

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        limits: Limits,
        connect_timeout_s: float,
        source: str | None = None,
    ) -> "Connection":
        """Connect to a server.

        Args:
            host: IP address of the server.
            port: TCP port of the server.
            limits: Limits on responses.
            connect_timeout_s: Longest time to connect, s.
            source: Local IP address to connect from; any if not given.

        Raises:
            ConnectionLostError: The connection was not established; nothing was
                sent.
        """
        try:
            sock = await curio.timeout_after(
                connect_timeout_s, connect_from, source, host, port
            )
        except (OSError, curio.TaskTimeout) as error:
            detail = f"cannot connect to {host}:{port}: {error or 'timeout'}"
            raise ConnectionLostError(detail, sent=False) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock, limits)

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return self._http.our_state is h11.IDLE and not self.has_extra_data

    @property
    def has_extra_data(self) -> bool:
        """Whether data was received beyond the end of the response."""
        return bool(self._http.trailing_data[0])

    def idle_state(self) -> IdleState:
        """Return whether the server has closed the connection or sent data on it."""
        try:
            data = self._sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return IdleState.USABLE
        except OSError:
            return IdleState.CLOSED
        return IdleState.UNSOLICITED if data else IdleState.CLOSED

    def abort(self) -> None:
        """Shut down the connection, so that a pending `exchange` fails."""
        with contextlib.suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    async def exchange(
        self, request: Request, may_send: Callable[[], bool] | None = None
    ) -> Response:
        """Send a request and return the whole response.

        Args:
            request: The request.
            may_send: Called right before the first byte is written. If it returns
                False, the request is not sent.

        Raises:
            ConnectionLostError: The connection was lost before the whole response
                was received, or `may_send` returned False. The connection cannot
                be used again in either case.
            InvalidResponseError: The response violates the protocol or a limit.
        """
        data = self._encode(request)
        if may_send is not None and not may_send():
            raise ConnectionLostError(
                "request was not sent: may_send returned False", sent=False
            )
        try:
            await self._sock.sendall(data)
            return await self._receive()
        except OSError as error:
            raise ConnectionLostError(f"connection lost: {error}", sent=True) from error
        except h11.RemoteProtocolError as error:
            raise InvalidResponseError(str(error)) from error

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    def _encode(self, request: Request) -> bytes:
        target = request.path
        if request.query:
            target += "?" + request.query
        head = _request_head(
            request.method, target, len(request.body), tuple(request.headers.items())
        )
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(_END_OF_MESSAGE))
        return b"".join(part for part in parts if part)

    async def _receive(self) -> Response:
        status = 0
        headers: dict[str, str] = {}
        body = bytearray()
        # Asking for an event before any data has come would cost as much as one.
        await self._read(status)
        while True:
            event = self._http.next_event()
            match event:
                case h11.NEED_DATA:
                    await self._read(status)
                case h11.Response():
                    status = event.status_code
                    headers = _header_map(event.headers)
                    _check_framing(status, headers)
                    if header_size(event) > self._limits.header_bytes:
                        raise InvalidResponseError("response headers too large")
                case h11.Data():
                    if len(body) + len(event.data) > self._limits.body_bytes:
                        raise InvalidResponseError("response body too large")
                    body += event.data
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    raise ConnectionLostError("connection closed", sent=True)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        return Response(status, headers, bytes(body))

    async def _read(self, status: int) -> None:
        """Receive data; `status` is 0 before the status line has been received."""
        data = await self._sock.recv(_READ_BYTES)
        if not data and not status:
            raise ConnectionLostError("connection closed", sent=True)
        self._http.receive_data(data)


@lru_cache(maxsize=_REQUEST_HEADS_KEPT)
def _request_head(
    method: str, target: str, body_bytes: int, headers: tuple[tuple[str, str], ...]
) -> h11.Request:
    """Return the checked head of a request.

    Calls to a server differ in little but their bodies, so that few heads are built.
    """
    framing = (("host", "poplarhill"), ("content-length", str(body_bytes)))
    return h11.Request(method=method, target=target, headers=[*framing, *headers])


def _check_framing(status: int, headers: dict[str, str]) -> None:
    """Reject a body without a declared length, since it may be truncated."""
    framed = "content-length" in headers or "transfer-encoding" in headers
    if not framed and status not in _BODILESS_STATUSES:
        raise InvalidResponseError("response body has no declared length")


def _header_map(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode("ascii"): value.decode("latin-1") for name, value in headers}


async def connect_from(source: str | None, host: str, port: int) -> curio.io.Socket:
    """Connect over TCP, from a local IP address if one is given.

    Raises:
        OSError: The connection was not established.
    """
    source_address = (source, 0) if source is not None else None
    return await curio.open_connection(host, port, source_addr=source_address)


async def fetch(
    host: str,
    port: int,
    request: Request,
    timeout_s: float,
    limits: Limits = _DEFAULT_LIMITS,
    source: str | None = None,
) -> Response:
    """Send one request on a new connection and return the response.

    Raises:
        ConnectionLostError: No whole response was received within `timeout_s`.
        InvalidResponseError: The response violates the protocol or a limit.
    """
    connection = await Connection.open(host, port, limits, timeout_s, source)
    try:
        return await curio.timeout_after(timeout_s, connection.exchange, request)
    except curio.TaskTimeout as error:
        raise ConnectionLostError(
            f"no response within {timeout_s:g} s", sent=True
        ) from error
    finally:
        await connection.close()
