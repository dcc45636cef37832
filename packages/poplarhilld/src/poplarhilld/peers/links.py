"""TCP links between entry hosts: length-prefixed frames, best effort."""

import contextlib
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterator

import curio
import structlog
from curio.traps import _read_wait

from poplarhill.http.budget import BudgetExceededError
from poplarhill.http.limiter import Cause, InputLimiter
from poplarhill.http.listening import listen
from poplarhill.http.places import Places
from poplarhill.machine import MachineLimits
from poplarhill.types import Address
from poplarhilld.peers.codec import (
    MAX_FRAME_BYTES,
    Envelope,
    FrameError,
    decode,
    encode,
)
from poplarhilld.peers.link import LENGTH_BYTES, PeerLink
from poplarhilld.peers.messages import Message

_FLUSH_TIMEOUT_S = 0.5
_READ_BYTES = 65536
_BACKLOG = 100
_FRAMES_PER_TURN = 32
_ACCEPTS_PER_TURN = 16
_ACCEPT_PAUSE_S = 0.1
# Heartbeats differ by what their receivers need, such as for each data centre.
_ENCODED_FRAMES_KEPT = 16
_log = structlog.get_logger()

Receiver = Callable[[Envelope], Awaitable[None]]
RefusalHandler = Callable[[Address], Awaitable[None]]


async def _ignore_refusal(address: Address) -> None:
    """Ignore a refused connection."""


class PeerLinks:
    """Sends messages to peers and receives theirs.

    Callers must not rely on the delivery of frames: a full queue drops its oldest
    frame, and a failed connection drops all queued frames.

    Args:
        name: Name of this host.
        address: Address on which this host listens for peers.
        receiver: Called with each message received.
        on_refused: Called with each address that refuses a connection.
        source: Own IP address to connect from; any if not given.
        limiter: What the listeners of the process share; one of its own if not given.
        max_incoming: Largest number of connections that others have opened; what the
            machine allows for hosts if not given.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        receiver: Receiver,
        on_refused: RefusalHandler = _ignore_refusal,
        source: str | None = None,
        limiter: InputLimiter | None = None,
        max_incoming: int | None = None,
    ) -> None:
        machine = MachineLimits.from_machine()
        self._name = name
        self._receiver = receiver
        self._on_refused = on_refused
        self._source = source
        self._limiter = limiter or InputLimiter.from_machine(machine)
        self._max_incoming = max_incoming or machine.peer_connections
        self._sock = listen(*address, _BACKLOG)
        self._accepted = 0
        self._closing = 0  # connections that were closed in favour of others
        self._places: Places[_Incoming] = Places()
        self._links: dict[Address, PeerLink] = {}
        self._link_tasks: dict[PeerLink, curio.Task] = {}
        self._receiving: set[curio.Task] = set()
        self._encoded: deque[tuple[Message, bytes]] = deque(maxlen=_ENCODED_FRAMES_KEPT)

    @property
    def dropped(self) -> int:
        """Count of frames dropped on the links that are open now."""
        return sum(link.dropped for link in self._links.values())

    async def run(self) -> None:
        """Accept connections from peers and receive frames until cancelled."""
        try:
            async with self._sock:
                while True:
                    await self._accept()
        finally:
            for task in list(self._receiving):
                await task.cancel()

    async def send(self, address: Address, *messages: Message) -> None:
        """Send messages to the peer at an address, in one write if possible.

        An object that is sent to several peers in turn is encoded only once.
        """
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, self._on_refused, self._source)
            self._links[address] = link
            task = await curio.spawn(self._run_link, link, daemon=True)
            self._link_tasks[link] = task
        await link.put(*map(self._encode, messages))

    async def reconnect(self, address: Address) -> None:
        """Give up a connection to an address that is still being opened.

        Its queued frames are dropped; the next message opens another connection.
        """
        link = self._links.get(address)
        if link is None or link.connected:
            return
        del self._links[address]
        await self._link_tasks[link].cancel(blocking=False)

    def _encode(self, message: Message) -> bytes:
        for encoded, frame in self._encoded:
            if encoded is message:
                return frame
        frame = encode(Envelope(self._name, message))
        self._encoded.append((message, frame))
        return frame

    async def flush(self) -> None:
        """Wait a short time for queued frames to be sent."""
        async with curio.ignore_after(_FLUSH_TIMEOUT_S):
            for link in list(self._links.values()):
                await link.wait_flushed()

    async def _accept(self) -> None:
        try:
            client, _ = await self._sock.accept()
        except OSError as error:  # for example, no descriptor is free
            _log.warning("accept failed", reason=str(error))
            await curio.sleep(_ACCEPT_PAUSE_S)
            return
        now = time.monotonic()
        incoming = _Incoming(client, self._limiter)
        if len(self._receiving) - self._closing >= self._max_incoming:
            longest_silent = next(self._places.candidates(now), None)
            if longest_silent is not None:
                self._places.remove(longest_silent)
                self._closing += 1
                self._limiter.refused[Cause.NO_PLACE] += 1
                longest_silent.close()
        self._places.add(incoming, now)
        self._receiving.add(await curio.spawn(self._receive, incoming, daemon=True))
        self._accepted += 1
        if self._accepted % _ACCEPTS_PER_TURN == 0:
            await curio.sleep(0)

    async def _run_link(self, link: PeerLink) -> None:
        try:
            await link.run()
        finally:
            self._link_tasks.pop(link, None)
            if self._links.get(link.address) is link:
                del self._links[link.address]

    async def _receive(self, incoming: "_Incoming") -> None:
        try:
            with contextlib.suppress(OSError, EOFError):
                await self._receive_frames(incoming)
        finally:
            self._closing -= incoming.closed
            self._places.remove(incoming)
            incoming.release()
            await incoming.client.close()
            self._receiving.discard(await curio.current_task())

    async def _receive_frames(self, incoming: "_Incoming") -> None:
        last, envelope = b"", None
        count = 0
        while received := await incoming.read():
            for data in incoming.split(received):
                if envelope is None or data != last:
                    # Most heartbeats equal the previous one.
                    last, envelope = data, _decode(data)
                await self._receiver(envelope)
                count += 1
                if count % _FRAMES_PER_TURN == 0:
                    await curio.sleep(0)
            if not incoming.has_partial_frame and not incoming.closed:
                self._places.remove(incoming)
                self._places.release(incoming, time.monotonic())


class _Incoming:
    """A connection that another host has opened, and the frames on it.

    Args:
        client: The accepted socket.
        limiter: What the listeners of the process share.

    Attributes:
        client: The accepted socket.
        closed: Whether the connection was closed in favour of others.
    """

    def __init__(self, client: curio.io.Socket, limiter: InputLimiter) -> None:
        self.client = client
        self.closed = False
        self._limiter = limiter
        self._partial = bytearray()
        self._holding = limiter.budget.open(self._give_up)

    @property
    def has_partial_frame(self) -> bool:
        """Whether a frame has arrived in part."""
        return bool(self._partial)

    async def read(self) -> bytes:
        """Return the next data; none once the connection is closed.

        Other tasks run before, even if data is there.

        Raises:
            OSError: The connection was lost.
        """
        while True:
            await _read_wait(self.client._fileno)
            try:
                return self.client._socket.recv(_READ_BYTES)
            except BlockingIOError:
                pass  # the data was discarded, for example by a wrong checksum

    def split(self, received: bytes) -> Iterator[bytes]:
        """Add received bytes and yield the frames that are complete.

        Raises:
            EOFError: A frame is too large, or there is no memory for it; the rest of
                the stream is unusable.
        """
        partial = self._partial
        partial += received
        while len(partial) >= LENGTH_BYTES:
            length = int.from_bytes(partial[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                _log.warning("frame refused", reason="too large", bytes=length)
                self._limiter.refused[Cause.TOO_LARGE] += 1
                raise EOFError
            end = LENGTH_BYTES + length
            if len(partial) < end:
                break
            data = bytes(partial[LENGTH_BYTES:end])
            del partial[:end]
            yield data
        try:
            self._holding.resize(len(partial))
        except BudgetExceededError as error:
            self._limiter.refused[Cause.NO_MEMORY] += 1
            raise EOFError from error

    def close(self) -> None:
        """Close the connection in favour of another one."""
        self.closed = True
        with contextlib.suppress(OSError):
            self.client._socket.shutdown(socket.SHUT_RDWR)

    def release(self) -> None:
        """Hold no memory any more."""
        self._holding.release()

    def _give_up(self) -> None:
        """Drop a frame that has arrived in part, and close the connection."""
        self._limiter.refused[Cause.NO_MEMORY] += 1
        self._partial.clear()
        with contextlib.suppress(OSError):
            self.client._socket.shutdown(socket.SHUT_RDWR)


def _decode(data: bytes) -> Envelope:
    """Decode a frame.

    Raises:
        EOFError: The frame is malformed; the rest of the stream is unusable.
    """
    try:
        return decode(data)
    except FrameError as error:
        _log.warning("frame refused", reason=str(error), bytes=len(data))
        raise EOFError from error
