"""Replies to another task, duplicates and late replies never reach a caller."""

import curio

from poplarhill import ErrorKind
from poplarhilld.dispatch.events import TaskLost, TaskSucceeded


def reply(task: str | None, body: str) -> bytes:
    head = f"HTTP/1.1 200 OK\r\ntask-id: {task}\r\ncontent-length: {len(body)}"
    return f"{head}\r\n\r\n{body}".encode()


def test_a_reply_for_another_task_is_discarded(run_with, bench) -> None:
    async def cross(client, worker) -> None:
        await worker.read(client)
        await client.sendall(reply("j/7", "crossed"))
        await worker.read(client)

    async def body(worker):
        event = await bench.send(worker.port)
        while worker.open:
            await curio.sleep(0.01)
        return event

    event = run_with(cross, body)
    assert isinstance(event, TaskLost)
    assert event.kind is ErrorKind.BAD_RESPONSE
    assert bench.discarded == ["another task"]


def test_a_duplicate_reply_does_not_affect_later_tasks(run_with, bench) -> None:
    async def twice(client, worker) -> None:
        while (task := await worker.read(client)) is not None:
            await client.sendall(reply(task, task) * 2)

    async def body(worker):
        return [await bench.send(worker.port, n) for n in range(3)], worker.accepted

    events, accepted = run_with(twice, body)
    assert [event.body for event in events] == [b"j/0", b"j/1", b"j/2"]
    assert bench.discarded == ["surplus"] * 3
    assert accepted == 3


def test_a_late_duplicate_on_an_idle_connection_is_discarded(run_with, bench) -> None:
    send_again = curio.Event()
    sent_again = curio.Event()

    async def late(client, worker) -> None:
        first = worker.accepted == 1
        while (task := await worker.read(client)) is not None:
            await client.sendall(reply(task, task))
            if first:
                await send_again.wait()
                await client.sendall(reply(task, task))
                await sent_again.set()

    async def body(worker):
        first = await bench.send(worker.port, 0)
        await send_again.set()
        await sent_again.wait()
        return first, await bench.send(worker.port, 1)

    events = run_with(late, body)
    assert all(isinstance(event, TaskSucceeded) for event in events)
    assert events[1].body == b"j/1"
    assert bench.discarded == ["unsolicited"]


def test_a_connection_closed_while_idle_is_replaced(run_with, bench) -> None:
    closed = curio.Event()

    async def once(client, worker) -> None:
        task = await worker.read(client)
        await client.sendall(reply(task, task))
        await client.close()
        await closed.set()

    async def body(worker):
        first = await bench.send(worker.port, 0)
        await closed.wait()
        return first, await bench.send(worker.port, 1)

    events = run_with(once, body)
    assert [event.body for event in events] == [b"j/0", b"j/1"]
    assert bench.discarded == []
