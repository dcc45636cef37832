"""TCP links between entry hosts: length-prefixed frames, best effort."""

import contextlib
from collections.abc import Awaitable, Callable

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
        """Queue a frame for a peer."""
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, self._refused, self._source)
            self._links[address] = link
            await curio.spawn(self._run_link, link, daemon=True)
        await link.put(encode(Envelope(self._name, message)))

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
        stream = client.as_stream()
        try:
            async with client:
                with contextlib.suppress(OSError, EOFError):
                    while True:
                        await self._receive_one(stream)
        finally:
            self._receiving.discard(await curio.current_task())

    async def _receive_one(self, stream: curio.io.SocketStream) -> None:
        length = int.from_bytes(await stream.read_exactly(LENGTH_BYTES), "big")
        if length > MAX_FRAME_BYTES:
            _log.warning("frame refused", reason="too large", bytes=length)
            raise EOFError
        data = await stream.read_exactly(length)
        try:
            envelope = decode(data)
        except FrameError as error:
            _log.warning("frame refused", reason=str(error), bytes=length)
            raise EOFError from error
        await self._receiver(envelope)
