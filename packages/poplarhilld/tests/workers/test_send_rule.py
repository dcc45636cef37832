"""How failures of a worker or its connection are reported."""

import socket
import struct

import curio
import pytest

from poplarhill import ErrorKind, TaskId, WorkerSpec
from poplarhilld.dispatch.actions import SendTask
from poplarhilld.dispatch.events import TaskLost, TaskSucceeded, TaskUnsent
from poplarhilld.workers import WorkerLinks

OK = "HTTP/1.1 200 OK\r\ntask-id: {task}\r\n"


def raw(text: str):
    """Return a script that answers one request with `text` and closes."""

    async def script(client, worker) -> None:
        task = await worker.read(client)
        await client.sendall(text.format(task=task).encode())

    return script


async def refuse(client, worker) -> None:
    while (task := await worker.read(client)) is not None:
        head = f"HTTP/1.1 503 No\r\ntask-id: {task}\r\ntask-started: no\r\n"
        await client.sendall(f"{head}content-length: 0\r\n\r\n".encode())


async def refuse_another(client, worker) -> None:
    await worker.read(client)
    head = "HTTP/1.1 503 No\r\ntask-id: j/9\r\ntask-started: no\r\n"
    await client.sendall(f"{head}content-length: 0\r\n\r\n".encode())


async def reset(client, worker) -> None:
    await client.recv(1)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@pytest.mark.parametrize(
    ("script", "kind"),
    [
        pytest.param(raw(""), ErrorKind.WORKER_LOST, id="closed"),
        pytest.param(reset, ErrorKind.WORKER_LOST, id="reset mid-request"),
        pytest.param(raw("HTTP/1.1 200"), ErrorKind.WORKER_LOST, id="cut head"),
        pytest.param(
            raw(OK + "content-length: 9\r\n\r\nhalf"),
            ErrorKind.BAD_RESPONSE,
            id="cut body",
        ),
        pytest.param(raw(OK + "\r\nhalf"), ErrorKind.BAD_RESPONSE, id="no length"),
        pytest.param(
            raw(OK + "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
            ErrorKind.BAD_RESPONSE,
            id="cut chunks",
        ),
        pytest.param(
            raw(OK + "content-length: -4\r\n\r\nhalf"),
            ErrorKind.BAD_RESPONSE,
            id="broken length",
        ),
        pytest.param(
            raw(OK + "content-length: 2000000\r\n\r\n" + "x" * 2_000_000),
            ErrorKind.BAD_RESPONSE,
            id="body too large",
        ),
        pytest.param(
            raw(OK + "x: " + "y" * 40_000 + "\r\ncontent-length: 0\r\n\r\n"),
            ErrorKind.BAD_RESPONSE,
            id="headers too large",
        ),
        pytest.param(raw("gibberish\r\n\r\n"), ErrorKind.BAD_RESPONSE, id="not HTTP"),
        pytest.param(
            raw("HTTP/1.1 503 No\r\ntask-id: {task}\r\ncontent-length: 0\r\n\r\n"),
            ErrorKind.TASK_FAILED,
            id="503 without a refusal",
        ),
        pytest.param(
            raw("HTTP/1.1 500 No\r\ntask-id: {task}\r\ncontent-length: 0\r\n\r\n"),
            ErrorKind.TASK_FAILED,
            id="failed",
        ),
        pytest.param(refuse_another, ErrorKind.BAD_RESPONSE, id="refuses another"),
    ],
)
def test_a_sent_task_without_a_success_or_a_refusal_is_lost(
    run_with, bench, script, kind
) -> None:
    async def body(worker):
        return await bench.send(worker.port), worker.accepted

    event, accepted = run_with(script, body)
    assert isinstance(event, TaskLost)
    assert event.kind is kind
    assert accepted == 1


def test_a_task_is_unsent_if_the_connection_is_refused(bench) -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        event = curio.run(bench.send, port)
    assert isinstance(event, TaskUnsent)


def test_a_task_is_unsent_if_the_worker_refuses_it(run_with, bench) -> None:
    async def body(worker):
        return await bench.send(worker.port)

    assert isinstance(run_with(refuse, body), TaskUnsent)


def test_a_task_on_a_reused_connection_that_closes_is_lost(run_with, bench) -> None:
    async def close_on_the_second(client, worker) -> None:
        task = await worker.read(client)
        text = OK.format(task=task) + "content-length: 4\r\n\r\ndone"
        await client.sendall(text.encode())
        await worker.read(client)

    async def body(worker):
        first = await bench.send(worker.port, 0)
        return first, await bench.send(worker.port, 1), worker.accepted

    first, second, accepted = run_with(close_on_the_second, body)
    assert first == TaskSucceeded(first.task, "w1", b"done")
    assert isinstance(second, TaskLost)
    assert second.kind is ErrorKind.WORKER_LOST
    assert accepted == 1


def test_a_task_without_a_response_is_lost_and_its_connection_closed(
    run_with, bench
) -> None:
    async def hang(client, worker) -> None:
        await worker.read(client)
        await client.recv(1)

    async def body(worker):
        event = await bench.send(worker.port, timeout_s=0.1)
        while worker.open:
            await curio.sleep(0.01)
        return event

    event = run_with(hang, body)
    assert isinstance(event, TaskLost)


def test_a_large_task_cut_half_way_is_lost(run_with, bench) -> None:
    async def body(worker):
        return await bench.send(worker.port, body=b"x" * 8_000_000)

    event = run_with(reset, body)
    assert isinstance(event, TaskLost)
    assert event.kind is ErrorKind.WORKER_LOST


def test_a_task_is_not_sent_after_send_by(run_with, bench) -> None:
    async def body(worker):
        event = await bench.send(worker.port, send_by=0.0)
        return event, worker.requests

    event, requests = run_with(refuse, body)
    assert isinstance(event, TaskUnsent)
    assert requests == []


# Guards against a send after `send_by` when the process is paused between two
# readings of the clock.
@pytest.mark.parametrize("readings", [0, 1, 2])
def test_a_task_is_not_sent_after_a_pause_between_clock_readings(
    run_with, readings
) -> None:
    times = iter([0.0] * readings)
    links = WorkerLinks(lambda: next(times, 60.0), 8, lambda reason: None)

    async def body(worker):
        spec = WorkerSpec("w1", "booking", "127.0.0.1", worker.port)
        action = SendTask(TaskId("j", 0), spec, b"x", deadline=99.0, send_by=1.0)
        return await links.send(action), worker.requests

    event, requests = run_with(refuse, body)
    assert isinstance(event, TaskUnsent)
    assert not event.by_worker
    assert requests == []


def test_an_error_in_the_link_is_reported_as_internal(run_with, bench) -> None:
    async def body(worker):
        return await bench.send(worker.port, body="not bytes")

    event = run_with(refuse, body)
    assert isinstance(event, TaskLost)
    assert event.kind is ErrorKind.INTERNAL
