"""A scripted server, and a pool of connections to it."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from poplarhill.types import Address
from poplarhilld.connections import Call, CallPool, DeadlineQueue, Outcome

TIMEOUT_S = 20.0


class Server:
    """Runs a script for each connection.

    Requests are lines without meaning; the scripts read them with `read`.

    Attributes:
        requests: Requests that were read.
        clients: Sockets of all connections that were accepted.
        open: Number of connections that are open.
    """

    def __init__(
        self, script: Callable[["Server", curio.io.Socket], Awaitable[None]]
    ) -> None:
        self._script = script
        self._sock = curio.tcp_server_socket("127.0.0.1", 0)
        self.address = Address(*self._sock.getsockname())
        self.requests: list[bytes] = []
        self.clients: list[curio.io.Socket] = []
        self.open = 0

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            client, _ = await self._sock.accept()
            self.clients.append(client)
            self.open += 1
            await curio.spawn(self._serve, client, daemon=True)

    async def close(self) -> None:
        """Refuse connections from now on."""
        await self._sock.close()

    async def read(self, client: curio.io.Socket) -> bytes:
        """Return one request; empty once the client has closed the connection."""
        data = b""
        while not data.endswith(b"\n"):
            received = await client.recv(1 << 20)
            if not received:
                return b""
            data += received
        self.requests.append(data.strip())
        return data.strip()

    async def _serve(self, client: curio.io.Socket) -> None:
        async with client:
            await self._script(self, client)
        self.open -= 1


class Caller:
    """Makes calls to a server and keeps their outcomes by request."""

    def __init__(self, address: Address, size: int) -> None:
        self.pool = CallPool(address, None, size, DeadlineQueue())
        self.outcomes: dict[bytes, list[Outcome]] = {}

    async def send(self, request: bytes, timeout_s: float = 5.0) -> None:
        """Make a call, without waiting for its outcome."""
        outcomes = self.outcomes.setdefault(request, [])

        async def handle(outcome: Outcome) -> None:
            outcomes.append(outcome)

        await self.pool.call(Call(request + b"\n", timeout_s, handle))

    async def outcome(self, request: bytes) -> Outcome:
        """Wait for the outcome of a call; it must be the only one."""
        while not self.outcomes[request]:
            await curio.sleep(0.005)
        (outcome,) = self.outcomes[request]
        return outcome

    async def call(self, request: bytes, timeout_s: float = 5.0) -> Outcome:
        """Make a call and return its outcome."""
        await self.send(request, timeout_s)
        return await self.outcome(request)


@pytest.fixture
def run_with() -> Callable:
    """Return a function that runs a coroutine function with a server and a caller."""

    def run(script: Callable, body: Callable, size: int = 8) -> object:
        async def main() -> object:
            server = Server(script)
            serving = await curio.spawn(server.run, daemon=True)
            try:
                caller = Caller(server.address, size)
                return await curio.timeout_after(TIMEOUT_S, body, server, caller)
            finally:
                await serving.cancel()

        return curio.run(main)

    return run
