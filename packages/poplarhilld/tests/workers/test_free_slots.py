"""The free slots that a worker reports in the header of a response."""

import pytest


@pytest.mark.parametrize(
    ("header", "free_slots"),
    [
        ("slots-free: 3\r\n", 3),
        ("slots-free: -2\r\n", -2),
        ("", None),
        ("slots-free: many\r\n", None),
        ("slots-free: 1e9\r\n", None),
    ],
)
def test_only_a_whole_number_is_accepted(run_with, bench, header, free_slots) -> None:
    async def answer(client, worker) -> None:
        task = await worker.read(client)
        head = f"HTTP/1.1 200 OK\r\ntask-id: {task}\r\n{header}content-length: 1"
        await client.sendall(f"{head}\r\n\r\nx".encode())
        await worker.read(client)

    async def body(worker):
        return await bench.send(worker.port)

    assert run_with(answer, body).free_slots == free_slots
