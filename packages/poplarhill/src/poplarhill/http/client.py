"""One HTTP/1.1 connection to a server, by h11."""

import contextlib
import socket
from collections.abc import Callable, Iterable
from enum import Enum

import curio
import h11

from poplarhill.http.messages import Limits, Request, Response, header_size

_READ_BYTES = 65536
_DEFAULT_LIMITS = Limits()
_BODILESS_STATUSES = (204, 304)


class ConnectionLostError(Exception):
    """The connection ended before the whole response had come.

    Args:
        detail: What happened.
        sent: Whether any byte of the request may have left this host.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class InvalidResponseError(Exception):
    """The server's response breaks the protocol or a limit."""


class IdleState(Enum):
    """What has become of a connection while it was idle."""

    USABLE = "usable"
    CLOSED = "closed"
    UNSOLICITED = "unsolicited"


class Connection:
    """A kept-alive connection that carries one request at a time.

    Args:
        sock: A connected curio socket.
        limits: Bounds on responses.
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
            limits: Bounds on responses.
            connect_timeout_s: Longest time to connect, s.
            source: Own IP address to connect from; any if not given.

        Raises:
            ConnectionLostError: No connection came about; nothing was sent.
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
        """Whether more than the one response has come."""
        return bool(self._http.trailing_data[0])

    def idle_state(self) -> IdleState:
        """Return whether the server closed, or sent what nobody asked for."""
        try:
            data = self._sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return IdleState.USABLE
        except OSError:
            return IdleState.CLOSED
        return IdleState.UNSOLICITED if data else IdleState.CLOSED

    def abort(self) -> None:
        """End the connection under whoever waits for a response on it."""
        with contextlib.suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    async def exchange(
        self, request: Request, may_send: Callable[[], bool] | None = None
    ) -> Response:
        """Send a request and return the whole response.

        Args:
            request: The request.
            may_send: Asked right before the first byte is written.

        Raises:
            ConnectionLostError: The connection ended first, or the request was
                held back by `may_send`, which leaves the connection of no use.
            InvalidResponseError: The response breaks the protocol or a limit.
        """
        data = self._encode(request)
        if may_send is not None and not may_send():
            raise ConnectionLostError("held back", sent=False)
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
        headers = [("host", "poplarhill"), ("content-length", str(len(request.body)))]
        headers += list(request.headers.items())
        parts = [
            self._http.send(
                h11.Request(method=request.method, target=target, headers=headers)
            )
        ]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _receive(self) -> Response:
        status = 0
        headers: dict[str, str] = {}
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._http.next_event()
            match event:
                case h11.NEED_DATA:
                    data = await self._sock.recv(_READ_BYTES)
                    if not data and not status:
                        raise ConnectionLostError("connection closed", sent=True)
                    self._http.receive_data(data)
                case h11.Response():
                    status = event.status_code
                    headers = _header_map(event.headers)
                    _check_framing(status, headers)
                    if header_size(event) > self._limits.header_bytes:
                        raise InvalidResponseError("response headers too large")
                case h11.Data():
                    size += len(event.data)
                    if size > self._limits.body_bytes:
                        raise InvalidResponseError("response body too large")
                    chunks.append(bytes(event.data))
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    raise ConnectionLostError("connection closed", sent=True)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        return Response(status, headers, b"".join(chunks))


def _check_framing(status: int, headers: dict[str, str]) -> None:
    """Refuse a body that ends where the connection does: it may be cut short."""
    framed = "content-length" in headers or "transfer-encoding" in headers
    if not framed and status not in _BODILESS_STATUSES:
        raise InvalidResponseError("response body without a length")


def _header_map(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode("ascii"): value.decode("latin-1") for name, value in headers}


async def connect_from(source: str | None, host: str, port: int) -> curio.io.Socket:
    """Connect over TCP, from an own IP address if one is given.

    Raises:
        OSError: The connection did not come about.
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
    """Send one request on a connection of its own.

    Raises:
        ConnectionLostError: No whole response within `timeout_s`.
        InvalidResponseError: The response breaks the protocol or a limit.
    """
    connection = await Connection.open(host, port, limits, timeout_s, source)
    try:
        return await curio.timeout_after(timeout_s, connection.exchange, request)
    except curio.TaskTimeout as error:
        raise ConnectionLostError(
            f"no answer within {timeout_s:g} s", sent=True
        ) from error
    finally:
        await connection.close()
