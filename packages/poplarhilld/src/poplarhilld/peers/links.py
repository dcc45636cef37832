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

_MAX_INCOMING = 4096
_FLUSH_S = 0.5
_READ_BYTES = 65536
_KEPT_FRAMES = 2  # a heartbeat with and without the addresses that a host knows
_log = structlog.get_logger()

Receiver = Callable[[Envelope], Awaitable[None]]
Refused = Callable[[Address], Awaitable[None]]


async def _ignore(address: Address) -> None:
    """Take no notice of a refused connection."""


class PeerLinks:
    """Sends frames to peers and receives theirs.

    Frames to a peer that cannot be reached, or that does not keep up, are
    dropped, the oldest first: no promise rests on them.

    Args:
        name: Name of this host.
        listen: Where peers reach this host.
        receiver: Called with each frame received.
        refused: Called with each address that refuses a connection.
        source: Own IP address to connect from; any if not given.
    """

    def __init__(
        self,
        name: str,
        listen: Address,
        receiver: Receiver,
        refused: Refused = _ignore,
        source: str | None = None,
    ) -> None:
        self._name = name
        self._receiver = receiver
        self._refused = refused
        self._source = source
        self._sock = curio.tcp_server_socket(*listen)
        self._links: dict[Address, PeerLink] = {}
        self._receiving: set[curio.Task] = set()
        self._encoded: deque[tuple[Message, bytes]] = deque(maxlen=_KEPT_FRAMES)

    @property
    def dropped(self) -> int:
        """Count of frames dropped on the links in use."""
        return sum(link.dropped for link in self._links.values())

    async def run(self) -> None:
        """Receive frames until cancelled."""
        try:
            async with self._sock:
                while True:
                    await self._accept()
        finally:
            for task in list(self._receiving):
                await task.cancel()

    async def send(self, address: Address, message: Message) -> None:
        """Queue a frame for a peer.

        A message that goes to several peers in turn is encoded once.
        """
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, self._refused, self._source)
            self._links[address] = link
            await curio.spawn(self._run_link, link, daemon=True)
        await link.put(self._encode(message))

    def _encode(self, message: Message) -> bytes:
        for encoded, frame in self._encoded:
            if encoded is message:
                return frame
        frame = encode(Envelope(self._name, message))
        self._encoded.append((message, frame))
        return frame

    async def flush(self) -> None:
        """Wait a short while for queued frames to leave."""
        async with curio.ignore_after(_FLUSH_S):
            for link in list(self._links.values()):
                await link.flushed()

    async def _accept(self) -> None:
        client, _ = await self._sock.accept()
        if len(self._receiving) >= _MAX_INCOMING:
            await client.close()
            return
        self._receiving.add(await curio.spawn(self._receive, client, daemon=True))

    async def _run_link(self, link: PeerLink) -> None:
        try:
            await link.run()
        finally:
            self._links.pop(link.address, None)

    async def _receive(self, client: curio.io.Socket) -> None:
        frames = _Frames()
        last, envelope = b"", None
        try:
            async with client:
                with contextlib.suppress(OSError, EOFError):
                    while received := await client.recv(_READ_BYTES):
                        for data in frames.take(received):
                            if envelope is None or data != last:
                                # Most heartbeats say what the one before said.
                                last, envelope = data, _decode(data)
                            await self._receiver(envelope)
        finally:
            self._receiving.discard(await curio.current_task())


class _Frames:
    """Cuts what is received into frames."""

    def __init__(self) -> None:
        self._begun = bytearray()

    def take(self, received: bytes) -> Iterator[bytes]:
        """Yield the frames that are whole now.

        Raises:
            EOFError: A frame is too large; what follows cannot be trusted.
        """
        begun = self._begun
        begun += received
        while len(begun) >= LENGTH_BYTES:
            length = int.from_bytes(begun[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                _log.warning("frame refused", reason="too large", bytes=length)
                raise EOFError
            end = LENGTH_BYTES + length
            if len(begun) < end:
                return
            data = bytes(begun[LENGTH_BYTES:end])
            del begun[:end]
            yield data


def _decode(data: bytes) -> Envelope:
    """Return what a frame carries.

    Raises:
        EOFError: It is not well-formed; what follows cannot be trusted.
    """
    try:
        return decode(data)
    except FrameError as error:
        _log.warning("frame refused", reason=str(error), bytes=len(data))
        raise EOFError from error
