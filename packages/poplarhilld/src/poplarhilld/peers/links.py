"""TCP links between entry hosts: length-prefixed frames, best effort."""

import contextlib
import socket
from collections.abc import Awaitable, Callable

import curio
import structlog

from poplarhilld.peers.codec import (
    MAX_FRAME_BYTES,
    Envelope,
    FrameError,
    decode,
    encode,
)
from poplarhilld.peers.messages import Message
from poplarhilld.settings import Address

_LENGTH_BYTES = 4
_CONNECT_TIMEOUT_S = 1.0
_QUEUE_FRAMES = 256
_log = structlog.get_logger()

Receiver = Callable[[Envelope], Awaitable[None]]


class PeerLinks:
    """Sends frames to peers and receives theirs.

    Frames to a peer that cannot be reached, or that does not keep up, are
    dropped: no promise rests on them.

    Args:
        name: Name of this host.
        listen: Where peers reach this host.
        receiver: Called with each frame received.
    """

    def __init__(self, name: str, listen: Address, receiver: Receiver) -> None:
        self._name = name
        self._receiver = receiver
        self._sock = curio.tcp_server_socket(*listen)
        self._queues: dict[Address, curio.Queue] = {}

    async def run(self) -> None:
        """Accept peers' connections until cancelled."""
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                await curio.spawn(self._receive, client, daemon=True)

    async def send(self, address: Address, message: Message) -> None:
        """Queue a frame for a peer."""
        queue = self._queues.get(address)
        if queue is None:
            queue = curio.Queue(_QUEUE_FRAMES)
            self._queues[address] = queue
            await curio.spawn(self._deliver, address, queue, daemon=True)
        if not queue.full():
            await queue.put(encode(Envelope(self._name, message)))

    async def _deliver(self, address: Address, queue: curio.Queue) -> None:
        sock: curio.io.Socket | None = None
        while True:
            data = await queue.get()
            frame = len(data).to_bytes(_LENGTH_BYTES, "big") + data
            try:
                sock = sock or await _connect(address)
                await sock.sendall(frame)
            except (OSError, curio.TaskTimeout):
                if sock is not None:
                    await sock.close()
                sock = None

    async def _receive(self, client: curio.io.Socket) -> None:
        stream = client.as_stream()
        async with client:
            with contextlib.suppress(OSError, EOFError):
                while True:
                    await self._receive_one(stream)

    async def _receive_one(self, stream: curio.io.SocketStream) -> None:
        length = int.from_bytes(await stream.read_exactly(_LENGTH_BYTES), "big")
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


async def _connect(address: Address) -> curio.io.Socket:
    sock = await curio.timeout_after(
        _CONNECT_TIMEOUT_S, curio.open_connection, address.host, address.port
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
