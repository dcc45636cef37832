"""The outgoing link to one peer: a bounded queue of frames and one connection."""

import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterable

import curio

from poplarhill.http.connecting import connect_from
from poplarhill.types import Address

LENGTH_BYTES = 4
QUEUE_FRAMES = 256
# TCP resends a lost opening packet only after seconds; a new attempt is faster.
_CONNECT_TIMEOUT_S = 0.5
_SEND_TIMEOUT_S = 0.5  # a peer that reads nothing for so long is treated as lost
# Equals the time without heartbeats after which a host is treated as lost.
_UNACKNOWLEDGED_TIMEOUT_MS = 600
_IDLE_TIMEOUT_S = 60.0
_FLUSH_POLL_INTERVAL_S = 0.01
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5  # a network that recovers is noticed within a second


class PeerLink:
    """Delivers queued frames to one address in order, but may drop any of them.

    Args:
        address: Address on which the peer listens.
        on_refused: Called when the address refuses a connection.
        source: Own IP address to connect from; any if not given.
    """

    def __init__(
        self,
        address: Address,
        on_refused: Callable[[Address], Awaitable[None]],
        source: str | None = None,
    ) -> None:
        self._address = address
        self._source = source
        self._on_refused = on_refused
        self._frames: deque[bytes] = deque(maxlen=QUEUE_FRAMES)
        self._queued = curio.Event()
        self._unsent = b""
        self._delivering = False
        self._sent_since_check = False
        self._sock: curio.io.Socket | None = None
        self._backoff_s = _FIRST_BACKOFF_S
        self._dropped = 0

    @property
    def address(self) -> Address:
        """Address on which the peer listens."""
        return self._address

    @property
    def dropped(self) -> int:
        """Count of frames that were not delivered."""
        return self._dropped

    @property
    def connected(self) -> bool:
        """Whether a connection is open; the peer may have stopped responding."""
        return self._sock is not None

    async def put(self, *frames: bytes) -> None:
        """Send or queue frames; a full queue drops its oldest frame."""
        if self._send_now(frames):
            if self._unsent:
                await self._queued.set()
            return
        for frame in frames:
            if len(self._frames) == QUEUE_FRAMES:
                self._dropped += 1
            self._frames.append(frame)
        await self._queued.set()

    async def run(self) -> None:
        """Deliver frames until none has been sent for the idle timeout."""
        try:
            while await self._wait_for_frame():
                await self._deliver_one()
        finally:
            await self._disconnect()

    async def wait_flushed(self) -> None:
        """Return once no frame is queued; the last one may still be under way."""
        while self._frames or self._unsent:
            await curio.sleep(_FLUSH_POLL_INTERVAL_S)

    def _send_now(self, frames: Iterable[bytes]) -> bool:
        """Send frames, or the start of them, without waiting; return whether it did.

        Sends nothing while other frames are queued or under way, to keep their
        order. Most frames are sent this way, which saves the event loop a task
        switch and two timers.
        """
        sock = self._sock
        if sock is None or self._frames or self._unsent or self._delivering:
            return False
        if _is_closed(sock):
            return False
        data = b"".join(map(_with_length, frames))
        try:
            sent = sock._socket.send(data)  # curio opens it non-blocking
        except OSError:
            return False
        self._sent_since_check = True
        self._unsent = data[sent:]
        return True

    async def _wait_for_frame(self) -> bool:
        while not self._frames and not self._unsent:
            self._queued.clear()
            self._sent_since_check = False
            async with curio.ignore_after(_IDLE_TIMEOUT_S):
                await self._queued.wait()
            if not self._queued.is_set() and not self._sent_since_check:
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
            data, self._unsent = self._unsent, b""
            if not data and not self._frames:
                return  # the rest of a frame was dropped with its connection
            data = data or _with_length(self._frames.popleft())
            async with curio.timeout_after(_SEND_TIMEOUT_S):
                await self._sock.sendall(data)
            self._backoff_s = _FIRST_BACKOFF_S
        except (OSError, curio.TaskTimeout) as error:
            self._dropped += bool(data) + len(self._frames)
            self._frames.clear()
            await self._disconnect()
            if isinstance(error, ConnectionRefusedError):
                await self._on_refused(self._address)
            await curio.sleep(self._backoff_s)
            self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)
        finally:
            self._delivering = False

    async def _connect(self) -> curio.io.Socket:
        sock = await curio.timeout_after(
            _CONNECT_TIMEOUT_S, connect_from, self._source, *self._address
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS
        )
        return sock

    async def _disconnect(self) -> None:
        sock, self._sock = self._sock, None
        self._dropped += bool(self._unsent)
        self._unsent = b""
        if sock is not None:
            await sock.close()


def _with_length(frame: bytes) -> bytes:
    return len(frame).to_bytes(LENGTH_BYTES, "big") + frame


def _is_closed(sock: curio.io.Socket) -> bool:
    """Return whether the connection is closed.

    The peer never sends data on it, so if anything can be read, it is closed.
    """
    try:
        sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
