"""Entry hosts and the bounds that a crowd must not push them over."""

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from poplarhill_dev.crowds import CrowdHost, open_descriptors, peak_memory_bytes
from poplarhill_dev.fleet import Fleet

MACHINE_BYTES = 160_000_000  # the smallest machine of the deployments
DESCRIPTORS = 200
# Beside callers: eight connections to each of three workers and to the store, and
# eight files.
RESERVED_DESCRIPTORS = 40

StartHost = Callable[..., CrowdHost]


@pytest.fixture
def start_host() -> Iterator[StartHost]:
    """Return a function that starts an entry host; it must survive the test."""
    started: list[CrowdHost] = []

    def start(
        limits: dict[str, Any] | None = None, descriptors: int | None = None
    ) -> CrowdHost:
        started.append(CrowdHost.start_ready(limits, descriptors))
        return started[-1]

    try:
        yield start
    finally:
        codes = [host.stop()["h1"] for host in started]
        for host in started:
            host.remove_files()
    assert codes == [0] * len(started)


@pytest.fixture
def daemon() -> Iterator[Fleet]:
    """Return a fleet of one daemon and one worker."""
    fleet = Fleet.start(hosts=1, workers=1)
    try:
        yield fleet
    finally:
        code = fleet.stop()["h1"]
        fleet.remove_files()
    assert code == 0


@pytest.fixture
def check_sound() -> Callable[[CrowdHost], None]:
    """Return a check that a host answers an ordinary job and stays in its memory."""

    def check(host: CrowdHost) -> None:
        assert host.alive
        assert host.run_job() == 200
        assert peak_memory_bytes(host.pid) < MACHINE_BYTES

    return check


@pytest.fixture
def check_descriptors() -> Callable[[CrowdHost], None]:
    """Return a check that a crowd leaves a host the descriptors that it needs."""

    def check(host: CrowdHost) -> None:
        assert open_descriptors(host.pid) <= DESCRIPTORS - RESERVED_DESCRIPTORS

    return check
