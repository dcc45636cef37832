"""The connections to a worker: their limit, their idle close, and stop requests."""

import curio
import pytest
from curio import TaskGroup

from poplarhill import TaskId
from poplarhilld.dispatch.events import TaskSucceeded, TaskUnsent


def reply(task: str) -> bytes:
    head = f"HTTP/1.1 200 OK\r\ntask-id: {task}\r\ncontent-length: 0"
    return f"{head}\r\n\r\n".encode()


async def answer(client, worker) -> None:
    while (task := await worker.read(client)) is not None:
        await curio.sleep(0.005)
        await client.sendall(reply(task))


async def hang(client, worker) -> None:
    while await worker.read(client) is not None:
        pass


def test_stop_requests_count_towards_the_connection_limit(run_with, bench) -> None:
    async def body(worker):
        async with TaskGroup() as group:
            for index in range(40):
                send = await group.spawn(bench.send, worker.port, index)
                if index % 4 == 0:
                    spec = bench.spec(worker.port)
                    await group.spawn(bench.links.stop, TaskId("j", index), spec)
                del send
        return worker.most_open

    assert run_with(answer, body) <= 64 // 8


def test_a_task_without_a_free_connection_is_unsent(run_with, bench) -> None:
    async def body(worker):
        busy = [await curio.spawn(bench.send, worker.port, n, 9.0) for n in range(8)]
        while len(worker.requests) < 8:
            await curio.sleep(0.01)
        event = await bench.send(worker.port, 8)
        for task in busy:
            await task.cancel()
        return event, await bench.links.send(bench.task(worker.port, 9, 0.1))

    event, after = run_with(hang, body)
    assert isinstance(event, TaskUnsent)
    assert not isinstance(after, TaskUnsent)


def test_idle_connections_are_closed(run_with, bench) -> None:
    async def body(worker):
        await bench.send(worker.port)
        before = worker.open
        await bench.links.close()
        while worker.open:
            await curio.sleep(0.01)
        return before

    assert run_with(answer, body) == 1


def test_a_task_stopped_while_it_waits_for_a_connection_is_not_sent(
    run_with, bench
) -> None:
    async def body(worker):
        busy = [await curio.spawn(bench.send, worker.port, n, 9.0) for n in range(8)]
        while len(worker.requests) < 8:
            await curio.sleep(0.01)
        waiting = await curio.spawn(bench.send, worker.port, 8)
        await curio.sleep(0)
        await bench.links.stop(TaskId("j", 8), bench.spec(worker.port))
        for task in busy:
            await task.cancel()
        return await waiting.join(), worker.requests

    event, requests = run_with(hang, body)
    assert isinstance(event, TaskUnsent)
    assert event.detail == "withdrawn"
    assert len(requests) == 8


@pytest.mark.parametrize("stops_tasks", [True, False])
def test_a_running_task_is_stopped_or_its_connection_aborted(
    run_with, bench, stops_tasks
) -> None:
    stopped = curio.Event()

    async def script(client, worker) -> None:
        while (task := await worker.read(client)) is not None:
            if worker.requests[-1].startswith(b"DELETE"):
                await stopped.set()
                await client.sendall(reply(task))
            elif stops_tasks:
                await stopped.wait()
                await client.sendall(reply(task))

    async def body(worker):
        running = await curio.spawn(bench.send, worker.port, 0, 60.0)
        while not worker.requests:
            await curio.sleep(0.01)
        await bench.links.stop(TaskId("j", 0), bench.spec(worker.port))
        return await running.join(), worker.requests

    event, requests = run_with(script, body)
    assert isinstance(event, TaskSucceeded) is stops_tasks
    assert [line.split()[0] for line in requests] == [b"POST", b"DELETE"]
