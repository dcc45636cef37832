"""TCP links between entry hosts: length-prefixed frames, best effort."""

import contextlib
from collections import deque
from collections.abc import Awaitable, Callable, Iterator

import curio
import structlog

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

_MAX_INCOMING_CONNECTIONS = 4096
_FLUSH_TIMEOUT_S = 0.5
_READ_BYTES = 65536
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
        listen: Address on which this host listens for peers.
        receiver: Called with each message received.
        on_refused: Called with each address that refuses a connection.
        source: Own IP address to connect from; any if not given.
    """

    def __init__(
        self,
        name: str,
        listen: Address,
        receiver: Receiver,
        on_refused: RefusalHandler = _ignore_refusal,
        source: str | None = None,
    ) -> None:
        self._name = name
        self._receiver = receiver
        self._on_refused = on_refused
        self._source = source
        self._sock = curio.tcp_server_socket(*listen)
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
        client, _ = await self._sock.accept()
        if len(self._receiving) >= _MAX_INCOMING_CONNECTIONS:
            await client.close()
            return
        self._receiving.add(await curio.spawn(self._receive, client, daemon=True))

    async def _run_link(self, link: PeerLink) -> None:
        try:
            await link.run()
        finally:
            self._link_tasks.pop(link, None)
            if self._links.get(link.address) is link:
                del self._links[link.address]

    async def _receive(self, client: curio.io.Socket) -> None:
        splitter = _FrameSplitter()
        last, envelope = b"", None
        try:
            async with client:
                with contextlib.suppress(OSError, EOFError):
                    while received := await client.recv(_READ_BYTES):
                        for data in splitter.split(received):
                            if envelope is None or data != last:
                                # Most heartbeats equal the previous one.
                                last, envelope = data, _decode(data)
                            await self._receiver(envelope)
        finally:
            self._receiving.discard(await curio.current_task())


class _FrameSplitter:
    """Splits the received bytes into frames."""

    def __init__(self) -> None:
        self._partial = bytearray()

    def split(self, received: bytes) -> Iterator[bytes]:
        """Add received bytes and yield the frames that are complete.

        Raises:
            EOFError: A frame is too large; the rest of the stream is unusable.
        """
        partial = self._partial
        partial += received
        while len(partial) >= LENGTH_BYTES:
            length = int.from_bytes(partial[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                _log.warning("frame refused", reason="too large", bytes=length)
                raise EOFError
            end = LENGTH_BYTES + length
            if len(partial) < end:
                return
            data = bytes(partial[LENGTH_BYTES:end])
            del partial[:end]
            yield data


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
