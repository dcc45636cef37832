"""Clients that send faster than a process reads: others are served in between."""

from collections.abc import Iterator
from itertools import repeat

import pytest

from poplarhill_dev.crowds import Crowd
from poplarhill_dev.loopback import get_status

pytestmark = pytest.mark.serial

SENT_BYTES = 64 * 1024 * 1024  # by each client, unless the test ends before


def job_path(number: int) -> str:
    return f"/crowd/{0xC0000000 + number:016x}"


def test_short_chunks_without_end_do_not_hold_the_loop(start_host, check_sound) -> None:
    host = start_host({"max_body_bytes": 8 * 1024 * 1024})

    def script(number: int) -> Iterator[bytes]:
        path = job_path(number)
        yield f"POST {path} HTTP/1.1\r\nHost: poplarhill\r\n".encode()
        yield b"Transfer-Encoding: chunked\r\n\r\n"
        yield from repeat(b"2\r\nab\r\n" * 8192, SENT_BYTES // 57_344)

    with Crowd(host.callers, 3, script):
        for _ in range(10):
            check_sound(host)


def test_requests_without_pause_do_not_hold_the_loop(start_host, check_sound) -> None:
    host = start_host()

    def script(number: int) -> Iterator[bytes]:
        request = f"GET {job_path(number)} HTTP/1.1\r\nHost: poplarhill\r\n\r\n"
        block = request.encode() * 512
        yield from repeat(block, SENT_BYTES // len(block))

    with Crowd(host.callers, 10, script, reads=False):
        for _ in range(10):
            assert get_status(host.readiness.port, "/") == 200
            check_sound(host)


# Guards against an accept loop that never waits while clients connect.
def test_clients_that_are_back_at_once_do_not_hold_the_loop(
    start_host, check_sound
) -> None:
    host = start_host({"max_body_bytes": 1000})

    def script(number: int) -> Iterator[bytes]:
        yield f"POST {job_path(number)} HTTP/1.1\r\nHost: poplarhill\r\n".encode()
        yield b"Content-Length: 1001\r\n\r\n" + b"x" * 1001

    for _ in range(10):
        with Crowd(host.callers, 100, script) as crowd:
            crowd.wait_sent()
            check_sound(host)
