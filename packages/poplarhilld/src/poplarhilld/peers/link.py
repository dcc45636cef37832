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
        while self._frames:
            await curio.sleep(_FLUSH_POLL_S)

    async def _wait_for_frame(self) -> bool:
        while not self._frames:
            self._queued.clear()
            async with curio.ignore_after(_IDLE_S):
                await self._queued.wait()
            if not self._queued.is_set():
                return False
        return True

    async def _deliver_one(self) -> None:
        data = self._frames.popleft()
        frame = len(data).to_bytes(LENGTH_BYTES, "big") + data
        try:
            if self._sock is not None and _is_closed(self._sock):
                await self._disconnect()
            if self._sock is None:
                self._sock = await self._connect()
            async with curio.timeout_after(_SEND_TIMEOUT_S):
                await self._sock.sendall(frame)
            self._backoff_s = _FIRST_BACKOFF_S
        except (OSError, curio.TaskTimeout) as error:
            self._dropped += 1 + len(self._frames)
            self._frames.clear()
            await self._disconnect()
            if isinstance(error, ConnectionRefusedError):
                await self._refused(self._address)
            await curio.sleep(self._backoff_s)
            self._backoff_s = min(2 * self._backoff_s, _LONGEST_BACKOFF_S)

    async def _connect(self) -> curio.io.Socket:
        sock = await curio.timeout_after(
            _CONNECT_TIMEOUT_S, connect_from, self._source, *self._address
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)
        return sock

    async def _disconnect(self) -> None:
        if self._sock is not None:
            await self._sock.close()
            self._sock = None


def _is_closed(sock: curio.io.Socket) -> bool:
    """Return whether the peer has closed; it never sends on this connection."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
