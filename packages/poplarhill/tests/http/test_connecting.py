"""Connections to numeric addresses, to names and to addresses that refuse them."""

import socket
import threading

import curio
import pytest

from poplarhill.http.connecting import connect_from

HOST = "127.0.0.1"


@pytest.fixture
def port():
    with socket.create_server((HOST, 0)) as server:
        yield server.getsockname()[1]


@pytest.mark.parametrize(
    ("source", "host"), [(None, HOST), ("127.0.0.2", HOST), (HOST, "localhost")]
)
def test_a_connection_comes_from_the_given_address(source, host, port) -> None:
    async def main() -> tuple[str, int]:
        sock = await curio.timeout_after(5, connect_from, source, host, port)
        async with sock:
            assert sock.getpeername() == (HOST, port)
            return sock.getsockname()[0]

    assert curio.run(main) == (source or HOST)


# Once, a host that started had 16 threads that resolved addresses of its peers.
def test_a_numeric_address_is_resolved_without_a_thread(port) -> None:
    async def main() -> None:
        for _ in range(3):
            await (await connect_from(None, HOST, port)).close()
        assert set(threading.enumerate()) <= before

    before = set(threading.enumerate())
    curio.run(main)


# Guards against descriptors that stay open, and against a refusal that a peer link
# doesn't recognise.
def test_a_refused_connection_is_closed(port, monkeypatch) -> None:
    closed = []
    close = curio.io.Socket.close

    async def note_close(sock) -> None:
        closed.append(sock)
        await close(sock)

    monkeypatch.setattr(curio.io.Socket, "close", note_close)

    async def main() -> None:
        with socket.socket() as unused:
            unused.bind((HOST, 0))
            with pytest.raises(ConnectionRefusedError):
                await connect_from(None, HOST, unused.getsockname()[1])

    curio.run(main)
    assert len(closed) == 1
