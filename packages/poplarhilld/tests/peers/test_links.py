"""Links between entry hosts whose peers fail, stall or send malformed frames."""

import errno
import socket
from collections.abc import Awaitable, Callable

import curio
import pytest

from poplarhill.types import Address
from poplarhilld.peers import Goodbye, PeerLinks, decode, encode, links
from poplarhilld.peers import link as link_module
from poplarhilld.peers.codec import MAX_FRAME_BYTES, Envelope
from poplarhilld.peers.link import LENGTH_BYTES, QUEUE_FRAMES, PeerLink

LIMIT_S = 30.0
GOOD = encode(Envelope("h9", Goodbye(9)))


def framed(data: bytes, length: int | None = None) -> bytes:
    count = len(data) if length is None else length
    return count.to_bytes(LENGTH_BYTES, "big") + data


class Host:
    """Records the messages received and the refused addresses of one host's links."""

    def __init__(self) -> None:
        self.received: list[Envelope] = []
        self.refused: list[Address] = []
        self.links = PeerLinks(
            "h1", Address("127.0.0.1", 0), self._receive, self._note_refused
        )
        self.address = Address(*self.links._sock.getsockname())

    async def _receive(self, envelope: Envelope) -> None:
        self.received.append(envelope)

    async def _note_refused(self, address: Address) -> None:
        self.refused.append(address)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await curio.sleep(0.01)


def run(body: Callable[[Host], Awaitable[None]]) -> Host:
    """Run a coroutine function against a host that listens for peers."""

    async def main() -> Host:
        host = Host()
        server = await curio.spawn(host.links.run, daemon=True)
        await curio.timeout_after(LIMIT_S, body, host)
        await server.cancel()
        return host

    return curio.run(main)


@pytest.mark.parametrize(
    "data",
    [
        framed(b"", MAX_FRAME_BYTES + 1),
        framed(b"\xff" * 64),
        framed(b""),
        framed(GOOD[:-3]),
        framed(GOOD, len(GOOD) + 5),
    ],
    ids=["oversized", "garbage", "empty", "cut", "short"],
)
def test_a_malformed_frame_closes_only_its_own_connection(data) -> None:
    async def body(host: Host) -> None:
        bad = await curio.open_connection(*host.address)
        good = await curio.open_connection(*host.address)
        await bad.sendall(data)
        await bad.shutdown(socket.SHUT_WR)
        assert await bad.recv(1) == b""
        await good.sendall(framed(GOOD))
        await until(lambda: len(host.received) == 1)

    assert run(body).received == [Envelope("h9", Goodbye(9))]


def test_a_full_queue_drops_its_oldest_frames() -> None:
    async def body(host: Host) -> None:
        link = PeerLink(host.address, host._note_refused)
        for number in range(QUEUE_FRAMES + 10):
            await link.put(encode(Envelope("h1", Goodbye(number))))
        assert link.dropped == 10
        runner = await curio.spawn(link.run, daemon=True)
        await until(lambda: len(host.received) == QUEUE_FRAMES)
        await runner.cancel()

    first, *_ = run(body).received
    assert first.message == Goodbye(10)


# After a power loss hosts connected to peers whose machines were still off. They found
# them only 0.6 s later, when the attempt was given up.
def test_a_connection_that_gets_no_answer_is_opened_anew_once_the_peer_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempts: list[Address] = []

    async def connect_from(source: str | None, *address: object) -> curio.io.Socket:
        attempts.append(Address(*address))
        if len(attempts) == 1:
            await curio.sleep(LIMIT_S)
        return await real_connect_from(source, *address)

    real_connect_from = link_module.connect_from
    monkeypatch.setattr(link_module, "connect_from", connect_from)
    monkeypatch.setattr(link_module, "_CONNECT_TIMEOUT_S", LIMIT_S)

    async def body(host: Host) -> None:
        await host.links.send(host.address, Goodbye(1))
        await until(lambda: bool(attempts))
        await host.links.reconnect(host.address)
        await host.links.send(host.address, Goodbye(2))
        await until(lambda: bool(host.received))

    assert run(body).received == [Envelope("h1", Goodbye(2))]


# Guards against messages that are reordered or lost where they are sent together, on a
# connection that is still being opened and on an open one.
def test_messages_sent_together_arrive_in_order() -> None:
    async def body(host: Host) -> None:
        for first in (0, 3):
            messages = [Goodbye(first + number) for number in range(3)]
            await host.links.send(host.address, *messages)
            await until(lambda count=first + 3: len(host.received) == count)

    received = run(body).received
    assert received == [Envelope("h1", Goodbye(number)) for number in range(6)]


def test_an_open_connection_is_kept() -> None:
    async def body(host: Host) -> None:
        await host.links.send(host.address, Goodbye(1))
        await until(lambda: len(host.received) == 1)
        await host.links.reconnect(host.address)
        await host.links.send(host.address, Goodbye(2))
        await until(lambda: len(host.received) == 2)
        assert len(host.links._receiving) == 1

    run(body)


def test_a_refused_connection_is_reported_and_its_frame_dropped() -> None:
    async def body(host: Host) -> None:
        with socket.socket() as held:
            held.bind(("127.0.0.1", 0))
            await host.links.send(Address(*held.getsockname()), Goodbye(1))
            await until(lambda: bool(host.refused))
        assert host.links.dropped == 1
        await host.links.send(host.address, Goodbye(2))
        await until(lambda: bool(host.received))

    run(body)


def test_the_first_frame_after_a_peer_closes_reports_the_refused_connection() -> None:
    async def body(host: Host) -> None:
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        address = Address(*listener.getsockname())
        await host.links.send(address, Goodbye(1))
        client, _ = await listener.accept()
        await client.recv(1)
        await listener.close()
        await client.close()
        await host.links.send(address, Goodbye(2))
        await until(lambda: host.refused == [address])

    run(body)


# Guards against encoding the same heartbeat again for each receiver.
def test_a_message_to_many_hosts_is_encoded_once(monkeypatch) -> None:
    encoded: list[Envelope] = []

    def count(envelope: Envelope) -> bytes:
        encoded.append(envelope)
        return encode(envelope)

    monkeypatch.setattr(links, "encode", count)

    async def body(host: Host) -> None:
        others = [Host() for _ in range(5)]
        for other in others:
            await curio.spawn(other.links.run, daemon=True)
        plain, full = Goodbye(1), Goodbye(1)
        for other in others:
            await host.links.send(other.address, plain)
            await host.links.send(other.address, full)
        for other in others:
            await until(lambda other=other: len(other.received) == 2)

    run(body)
    assert len(encoded) == 2


# Guards against decoding a heartbeat that equals the previous one.
def test_a_repeated_frame_is_delivered_again_but_decoded_once(
    monkeypatch,
) -> None:
    decoded: list[bytes] = []

    def count(data: bytes) -> Envelope:
        decoded.append(data)
        return decode(data)

    monkeypatch.setattr(links, "decode", count)
    other = encode(Envelope("h9", Goodbye(8)))

    async def body(host: Host) -> None:
        client = await curio.open_connection(*host.address)
        await client.sendall(3 * framed(GOOD) + framed(other) + framed(GOOD))
        await until(lambda: len(host.received) == 5)

    assert [e.message.incarnation for e in run(body).received] == [9, 9, 9, 8, 9]
    assert decoded == [GOOD, other, GOOD]


# Guards against the cost of a task, two timers and a wake-up for each heartbeat.
def test_a_frame_on_an_open_link_needs_no_task_switch(monkeypatch) -> None:
    delivered: list[PeerLink] = []
    deliver = PeerLink._deliver_one

    async def count(self) -> None:
        delivered.append(self)
        await deliver(self)

    monkeypatch.setattr(PeerLink, "_deliver_one", count)

    async def body(host: Host) -> None:
        for number in range(5):
            await host.links.send(host.address, Goodbye(number))
            await until(lambda number=number: len(host.received) == number + 1)

    received = run(body).received
    assert [envelope.message for envelope in received] == [Goodbye(n) for n in range(5)]
    assert len(delivered) == 1


def large(number: int) -> bytes:
    """Return a frame of a megabyte that repeats its number."""
    return number.to_bytes(4, "big") * 250_000


async def read_frames(client: curio.io.Socket, count: int) -> list[bytes]:
    stream = client.as_stream()
    found = []
    for _ in range(count):
        length = int.from_bytes(await stream.read_exactly(LENGTH_BYTES), "big")
        found.append(await stream.read_exactly(length))
    return found


async def ignore(address: Address) -> None:
    pass


# Guards against truncated or interleaved frames after a partial send.
def test_frames_to_a_slow_reader_stay_whole_and_in_order() -> None:
    async def body(host: Host) -> None:
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        link = PeerLink(Address(*listener.getsockname()), ignore)
        runner = await curio.spawn(link.run, daemon=True)
        await link.put(large(0))
        client, _ = await listener.accept()
        found = await read_frames(client, 1)
        for number in range(1, 8):
            await link.put(large(number))
        found += await read_frames(client, 7)
        assert found == [large(number) for number in range(8)]
        await runner.cancel()

    run(body)


# Guards against a new connection that starts with the rest of a partly sent frame.
def test_the_rest_of_a_frame_is_dropped_with_its_connection() -> None:
    async def body(host: Host) -> None:
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        link = PeerLink(Address(*listener.getsockname()), ignore)
        runner = await curio.spawn(link.run, daemon=True)
        await link.put(GOOD)
        client, _ = await listener.accept()
        assert await read_frames(client, 1) == [GOOD]
        await link.put(30 * large(1))
        assert link._unsent
        await client.close()
        await until(lambda: not link._unsent)
        await link.put(GOOD)
        client, _ = await listener.accept()
        assert await read_frames(client, 1) == [GOOD]
        assert link.dropped == 1
        await runner.cancel()

    run(body)


# Guards against a host that ends because its clients have taken all descriptors.
def test_a_failed_accept_does_not_end_the_loop(monkeypatch) -> None:
    accept = curio.io.Socket.accept
    failures = [OSError(errno.EMFILE, "Too many open files")]

    async def failing_accept(sock: curio.io.Socket):
        if failures:
            raise failures.pop()
        return await accept(sock)

    async def body(host: Host) -> None:
        sock = await curio.open_connection(*host.address)
        async with sock:
            await sock.sendall(framed(GOOD))
            await until(lambda: bool(host.received))

    monkeypatch.setattr(curio.io.Socket, "accept", failing_accept)
    host = run(body)
    assert not failures
    assert [envelope.sender for envelope in host.received] == ["h9"]
