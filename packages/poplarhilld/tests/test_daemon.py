"""The process of one entry host after an internal error or a malformed frame."""

import socket

import curio
import msgspec
import pytest

from poplarhill.http import Request, fetch
from poplarhilld.daemon import EXIT_FAILED, Daemon
from poplarhilld.dispatch.events import JobSubmitted
from poplarhilld.settings import Settings

HOST = "127.0.0.1"


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


@pytest.fixture
def settings() -> Settings:
    def address() -> dict:
        return {"host": HOST, "port": free_port()}

    return Settings.from_config(
        {
            "name": "h1",
            "data_centre": "dc1",
            "listen": address(),
            "peer_listen": address(),
            "platform": address(),
            "peers": {},
        }
    )


def test_an_exception_in_a_decision_is_answered_and_ends_the_process(
    settings, monkeypatch
) -> None:
    daemon = Daemon.from_config(settings)
    handle = daemon._dispatcher.handle

    def break_on_a_job(now, event):
        if isinstance(event, JobSubmitted):
            raise ZeroDivisionError("a bug")
        return handle(now, event)

    monkeypatch.setattr(daemon._dispatcher, "handle", break_on_a_job)

    async def main():
        running = await curio.spawn(daemon.run)
        request = Request(
            "POST", "/v1/services/booking/jobs", body=b'{"tasks":["x"],"timeout_s":60}'
        )
        response = await fetch(*settings.listen, request, 20.0)
        return response, await curio.timeout_after(20, running.join)

    response, exit_code = curio.run(main)
    assert response.status == 500
    error = msgspec.json.decode(response.body)["error"]
    assert (error["kind"], error["run_state"]) == ("internal", "may_have_run")
    assert exit_code == EXIT_FAILED


def test_a_malformed_frame_from_a_peer_ends_only_its_connection(settings) -> None:
    daemon = Daemon.from_config(settings)

    async def send_frame(data: bytes) -> bytes:
        sock = await curio.open_connection(*settings.peer_listen)
        async with sock:
            await sock.sendall(data)
            return await sock.recv(1)

    async def main():
        running = await curio.spawn(daemon.run)
        for data in (b"\xff\xff\xff\xff", (9).to_bytes(4, "big") + b"gibberish"):
            assert await curio.timeout_after(10, send_frame, data) == b""
        response = await fetch(*settings.listen, Request("GET", "/healthz"), 5.0)
        await running.cancel()
        return response.status

    assert curio.run(main) == 200
