"""Fake workers on the loopback interface that follow a script."""

import time
from collections.abc import Awaitable, Callable

import curio
import pytest

from poplarhill import TaskId
from poplarhill.types import WorkerSpec
from poplarhilld.dispatch.actions import SendTask
from poplarhilld.workers import WorkerLinks

Script = Callable[[curio.io.Socket, "FakeWorker"], Awaitable[None]]


class FakeWorker:
    """Runs a script for each connection and records the requests that it reads."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._sock = curio.tcp_server_socket("127.0.0.1", 0)
        self.port = self._sock.getsockname()[1]
        self.requests: list[bytes] = []
        self.accepted = 0
        self.open = 0
        self.most_open = 0

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            client, _ = await self._sock.accept()
            await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: curio.io.Socket) -> None:
        self.accepted += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        async with client:
            await self._script(client, self)
        self.open -= 1

    async def read(self, client: curio.io.Socket) -> str | None:
        """Read one request and return the task id it names."""
        data = b""
        while b"\r\n\r\n" not in data:
            received = await client.recv(65536)
            if not received:
                return None
            data += received
        head, _, body = data.partition(b"\r\n\r\n")
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        while len(body) < int(fields[b"content-length"]):
            body += await client.recv(65536)
        self.requests.append(head.split(b"\r\n")[0])
        return fields.get(b"task-id", b"").decode()


class Bench:
    """The links of one host and the reasons of the replies that they discard."""

    def __init__(self, hosts: int = 8) -> None:
        self.discarded: list[str] = []
        self.links = WorkerLinks(time.monotonic, hosts, self.discarded.append)

    async def send(self, port: int, index: int = 0, timeout_s: float = 2.0, **fields):
        """Send a task to the worker at a port."""
        return await self.links.send(self.task(port, index, timeout_s, **fields))

    def spec(self, port: int) -> WorkerSpec:
        """Return the worker at a port."""
        return WorkerSpec("w1", "booking", "127.0.0.1", port)

    def task(self, port: int, index: int, timeout_s: float, **fields) -> SendTask:
        """Return the action that sends a task to the worker at a port."""
        deadline = time.monotonic() + timeout_s
        values = {"body": b"x", "deadline": deadline, "send_by": deadline, **fields}
        return SendTask(TaskId("j", index), self.spec(port), **values)


@pytest.fixture
def bench() -> Bench:
    return Bench()


@pytest.fixture
def run_with():
    """Run a coroutine function against a fake worker with a script."""

    def run(script: Script, body: Callable[[FakeWorker], Awaitable]):
        async def main():
            worker = FakeWorker(script)
            serving = await curio.spawn(worker.run, daemon=True)
            try:
                return await curio.timeout_after(20, body, worker)
            finally:
                await serving.cancel()

        return curio.run(main)

    return run
