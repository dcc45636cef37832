"""The outgoing link to one peer: a bounded queue and one connection."""

import socket
from collections import deque
from collections.abc import Awaitable, Callable

import curio

from poplarhill.http import connect_from
from poplarhill.types import Address

LENGTH_BYTES = 4
QUEUE_FRAMES = 256
_CONNECT_TIMEOUT_S = 0.5  # a lost opening packet is sent again after seconds
_SEND_TIMEOUT_S = 0.5  # a peer that does not read for so long is taken to be lost
_UNACKNOWLEDGED_MS = 600  # as long as a host is silent until it is taken to be lost
_IDLE_S = 60.0
_FLUSH_POLL_S = 0.01
_FIRST_BACKOFF_S = 0.1
_LONGEST_BACKOFF_S = 0.5  # a cut that heals is seen within a second


class PeerLink:
    """Delivers queued frames to one address, in order, best effort.

    Args:
        address: Where the peer listens.
        refused: Called when the address refuses a connection.
        source: Own IP address to connect from; any if not given.
    """

    def __init__(
        self,
        address: Address,
        refused: Callable[[Address], Awaitable[None]],
        source: str | None = None,
    ) -> None:
        self._address = address
        self._source = source
        self._refused = refused
        self._frames: deque[bytes] = deque(maxlen=QUEUE_FRAMES)
        self._queued = curio.Event()
        self._rest = b""
        self._delivering = False
        self._used = False
        self._sock: curio.io.Socket | None = None
        self._backoff_s = _FIRST_BACKOFF_S
        self._dropped = 0

    @property
    def address(self) -> Address:
        """Where the peer listens."""
        return self._address

    @property
    def dropped(self) -> int:
        """Count of frames that were not delivered."""
        return self._dropped

    async def put(self, frame: bytes) -> None:
        """Queue a frame; the oldest gives way when the queue is full."""
        if self._send_now(frame):
            if self._rest:
                await self._queued.set()
            return
        if len(self._frames) == QUEUE_FRAMES:
            self._dropped += 1
        self._frames.append(frame)
        await self._queued.set()

    async def run(self) -> None:
        """Deliver frames until none comes for a while."""
        try:
            while await self._wait_for_frame():
                await self._deliver_one()
        finally:
            await self._disconnect()

    async def flushed(self) -> None:
        """Return once no frame is queued."""
        while self._frames or self._rest:
            await curio.sleep(_FLUSH_POLL_S)

    def _send_now(self, frame: bytes) -> bool:
        """Send a frame, or its begin, without waiting; not behind others.

        Most frames take this way, which spares the loop a task and two timers.
        """
        sock = self._sock
        if sock is None or self._frames or self._rest or self._delivering:
            return False
        if _is_closed(sock):
            return False
        data = _with_length(frame)
        try:
            sent = sock._socket.send(data)  # curio opens it non-blocking
        except OSError:
            return False
        self._used = True
        self._rest = data[sent:]
        return True

    async def _wait_for_frame(self) -> bool:
        while not self._frames and not self._rest:
            self._queued.clear()
            self._used = False
            async with curio.ignore_after(_IDLE_S):
                await self._queued.wait()
            if not self._queued.is_set() and not self._used:
                return False
        return True

    async def _deliver_one(self) -> None:
        self._delivering = True
        data = b""
        try:
            if self._sock is not None and _is_closed(self._sock):
                await self._disconnect()
            if self._sock is None:
                self._sock = await self._connect()
            data, self._rest = self._rest, b""
            if not data and not self._frames:
                return  # the rest of a frame was lost with its connection
            data = data or _with_length(self._frames.popleft())
            async with curio.timeout_after(_SEND_TIMEOUT_S):
                await self._sock.sendall(data)
            self._backoff_s = _FIRST_BACKOFF_S
        except (OSError, curio.TaskTimeout) as error:
            self._dropped += bool(data) + len(self._frames)
            self._frames.clear()
            await self._disconnect()
            if isinstance(error, ConnectionRefusedError):
                await self._refused(self._address)
            await curio.sleep(self._backoff_s)
            self._backoff_s = min(2 * self._backoff_s, _LONGEST_BACKOFF_S)
        finally:
            self._delivering = False

    async def _connect(self) -> curio.io.Socket:
        sock = await curio.timeout_after(
            _CONNECT_TIMEOUT_S, connect_from, self._source, *self._address
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)
        return sock

    async def _disconnect(self) -> None:
        sock, self._sock = self._sock, None
        self._dropped += bool(self._rest)
        self._rest = b""
        if sock is not None:
            await sock.close()


def _with_length(frame: bytes) -> bytes:
    return len(frame).to_bytes(LENGTH_BYTES, "big") + frame


def _is_closed(sock: curio.io.Socket) -> bool:
    """Return whether the peer has closed; it never sends on this connection."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
