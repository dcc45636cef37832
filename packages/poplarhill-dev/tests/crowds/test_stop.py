"""A planned stop among clients that go on sending."""

from collections.abc import Iterator
from itertools import repeat

import pytest

from poplarhill.types import Address
from poplarhill_dev.crowds import Crowd
from poplarhill_dev.fleet import wait_until

pytestmark = pytest.mark.serial


def one_request(number: int) -> Iterator[bytes]:
    yield b"GET /healthz HTTP/1.1\r\nHost: poplarhill\r\n\r\n"


def half_a_head(number: int) -> Iterator[bytes]:
    yield b"GET /healthz HTTP/1.1\r\n" + b"x" * (number % 7)


def endless_requests(number: int) -> Iterator[bytes]:
    yield from repeat(next(one_request(number)) * 64, 100_000)


SCRIPTS = [one_request, half_a_head, endless_requests]


# Guards against a drain that waits for a moment without requests, which clients that
# come back at once never leave it.
@pytest.mark.parametrize("script", SCRIPTS)
def test_a_daemon_stops_among_clients_that_are_back_at_once(daemon, script) -> None:
    process = daemon.process("h1")
    address = Address("127.0.0.1", process.port)
    with Crowd(address, 100, script, returns=True):
        daemon.terminate("h1")
        wait_until(lambda: process.handle.poll() is not None, "h1 has stopped")
    assert process.handle.returncode == 0


@pytest.mark.parametrize("script", SCRIPTS)
def test_a_host_stops_among_clients_that_are_back_at_once(start_host, script) -> None:
    host = start_host()
    process = host.process("h1").handle
    with Crowd(host.callers, 100, script, returns=True):
        host.terminate("h1")
        wait_until(lambda: process.poll() is not None, "h1 has stopped")
    assert process.returncode == 0
