"""Clients that hold connections: others still find a place."""

from collections.abc import Iterator

import pytest

from poplarhill_dev.crowds import Crowd
from poplarhill_dev.loopback import get_status

pytestmark = pytest.mark.serial

DESCRIPTORS = 200


def silence(number: int) -> Iterator[bytes]:
    return iter(())


def half_a_head(number: int) -> Iterator[bytes]:
    yield f"POST /crowd/{number:016x} HTTP/1.1\r\nHost: popl".encode()


def one_request(number: int) -> Iterator[bytes]:
    yield f"GET /crowd/{number:016x} HTTP/1.1\r\nHost: poplarhill\r\n\r\n".encode()


@pytest.mark.parametrize("script", [silence, half_a_head, one_request])
@pytest.mark.parametrize("count", [120, 300])
def test_callers_find_a_place_among_clients_that_hold_theirs(
    start_host, check_sound, check_descriptors, script, count
) -> None:
    host = start_host(descriptors=DESCRIPTORS)
    with Crowd(host.callers, count, script) as crowd:
        crowd.wait_sent()
        for _ in range(20):
            check_sound(host)
        check_descriptors(host)


@pytest.mark.parametrize("listener", ["readiness", "metrics", "peers"])
def test_silent_clients_of_other_listeners_leave_descriptors(
    start_host, check_sound, check_descriptors, listener
) -> None:
    host = start_host(descriptors=DESCRIPTORS)
    with Crowd(getattr(host, listener), 300, silence) as crowd:
        crowd.wait_sent()
        for _ in range(20):
            check_sound(host)
        assert get_status(host.readiness.port, "/") == 200
        check_descriptors(host)
