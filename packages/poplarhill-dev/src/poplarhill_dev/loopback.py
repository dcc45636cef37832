"""Helpers for processes on loopback: free ports, waits and HTTP requests."""

import json
import os
import random
import socket
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from typing import Any

_HOST = "127.0.0.1"
START_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.05
# Below the ephemeral ports, which the system assigns to outgoing connections.
_PORTS = range(12000, 32000)
# Test processes of one run, each of which takes its own ports: one could otherwise
# bind a port between the check and the use of another.
_MAX_TEST_PROCESSES = 16


class FleetError(Exception):
    """The fleet did not reach an expected state."""


_returned_ports: set[int] = set()
_random = random.Random()


def ports_of(test_process: str) -> range:
    """Return the ports that a test process may use.

    Args:
        test_process: Id that pytest-xdist gives the process, such as `gw3`; empty
            without pytest-xdist, which leaves all ports.

    Raises:
        ValueError: The id has no number below the largest count of processes.
    """
    if not test_process:
        return _PORTS
    number = int(test_process.removeprefix("gw"))
    if number >= _MAX_TEST_PROCESSES:
        raise ValueError(f"test process {test_process!r} has no ports of its own")
    return _PORTS[number::_MAX_TEST_PROCESSES]


def free_port() -> int:
    """Return a TCP port that is free now and was not returned before."""
    ports = ports_of(os.environ.get("PYTEST_XDIST_WORKER", ""))
    while True:
        port = _random.choice(ports)
        with socket.socket() as sock:
            if port not in _returned_ports and _can_bind(sock, port):
                _returned_ports.add(port)
                return port


def wait_until(
    condition: Callable[[], bool], what: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    Args:
        condition: Returns whether it holds.
        what: What is waited for, for the error message.
        timeout_s: Longest wait, s.

    Raises:
        FleetError: The condition does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"timed out after {timeout_s:g} s: {what}")
        time.sleep(_POLL_INTERVAL_S)


def get_status(port: int, path: str, host: str = _HOST) -> int | None:
    """Return the status of a GET, or None if there is no response."""
    try:
        with urllib.request.urlopen(f"http://{host}:{port}{path}", timeout=5) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return None


def get_page(port: int, path: str) -> bytes:
    """Return the body of a GET.

    Raises:
        OSError: There is no response, or its status is an error.
    """
    with urllib.request.urlopen(f"http://{_HOST}:{port}{path}", timeout=10) as reply:
        return reply.read()


def put_json(port: int, path: str, value: Any) -> None:
    """Send a PUT with a JSON body, such as the faults of a stand-in.

    Raises:
        OSError: There is no response, or its status is an error.
    """
    url = f"http://{_HOST}:{port}{path}"
    data = json.dumps(value).encode()
    request = urllib.request.Request(url, data=data, method="PUT")
    with urllib.request.urlopen(request, timeout=10) as reply:
        reply.read()


def _can_bind(sock: socket.socket, port: int) -> bool:
    try:
        sock.bind((_HOST, port))
    except OSError:
        return False
    return True


def get_version(port: int) -> int:
    """Return the version of the configuration in force on a daemon."""
    return json.loads(get_page(port, "/v1/status"))["configuration_version"]
