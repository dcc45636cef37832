"""Clients that make a process hold or decode much, within or beyond its limits."""

import json
import re
import socket
from collections.abc import Iterator
from itertools import repeat

import msgspec
import pytest

from poplarhill.types import Address
from poplarhill_dev.crowds import Crowd, peak_memory_bytes
from poplarhill_dev.loopback import get_page, get_status, wait_until

pytestmark = pytest.mark.serial

MACHINE_BYTES = 160_000_000
MIB = 1024 * 1024
# A quarter of the memory, for as many connections as the smallest machine may have.
CONNECTION_BYTES = 48 * 1024
LARGE_LIMIT = {"max_body_bytes": 8 * MIB}
USUAL_LIMIT = {"max_body_bytes": 262_144}
ENDLESS_BYTES = 16 * MIB  # far beyond every limit; bounds what a test sends
DAEMON_PATH = "/v1/services/booking/jobs"


def head(body_bytes: int, path: str, *fields: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: poplarhill", *fields]
    return "\r\n".join([*lines, f"Content-Length: {body_bytes}", "", ""]).encode()


def job_path(number: int) -> str:
    return f"/crowd/{0xC0000000 + number:016x}"


def unfinished(body_bytes: int, path: str = "", *fields: str):
    """Return a script that announces a body and never sends its last byte."""

    def script(number: int) -> Iterator[bytes]:
        yield head(body_bytes, path or job_path(number), *fields)
        yield b" " * (body_bytes - 1)

    return script


def endless_chunks(chunk: bytes, total_bytes: int, path: str = ""):
    """Return a script that sends chunks of one size up to a total."""

    def script(number: int) -> Iterator[bytes]:
        target = path or job_path(number)
        yield (
            f"POST {target} HTTP/1.1\r\nHost: poplarhill\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        framed = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        yield from repeat(framed, total_bytes // len(framed))

    return script


def test_one_body_of_many_small_values_stays_in_memory(start_host, check_sound) -> None:
    host = start_host(LARGE_LIMIT)
    steps = b",".join(repeat(b"{}", 2_500_000))
    assert host.post(b'{"spec":"","steps":[' + steps + b"]}") == 400
    check_sound(host)


# Guards against objects that cost far more than their bytes, in lists within a step.
def test_one_step_of_many_dependencies_stays_in_memory(start_host, check_sound) -> None:
    host = start_host(LARGE_LIMIT)
    dependencies = b",".join(repeat(b"40000", 1_300_000))
    step = b'{"depends_on":[' + dependencies + b"]}"
    assert host.post(b'{"spec":"","steps":[' + step + b"]}") == 400
    check_sound(host)


def test_unfinished_bodies_within_the_limit_stay_in_memory(
    start_host, check_sound
) -> None:
    host = start_host(LARGE_LIMIT)
    with Crowd(host.callers, 40, unfinished(8_000_000)) as crowd:
        crowd.wait_sent()
        check_sound(host)
    check_sound(host)


# Guards against a limit for each connection that exceeds the memory in sum.
def test_many_unfinished_bodies_of_the_usual_size_stay_in_memory(
    start_host, check_sound
) -> None:
    host = start_host(USUAL_LIMIT)
    with Crowd(host.callers, 900, unfinished(262_000)) as crowd:
        crowd.wait_sent()
        check_sound(host)
    check_sound(host)


def test_chunks_without_end_stay_in_memory(start_host, check_sound) -> None:
    host = start_host(USUAL_LIMIT)
    script = endless_chunks(b"x" * 65_536, ENDLESS_BYTES)
    with Crowd(host.callers, 40, script) as crowd:
        crowd.wait_sent()
        check_sound(host)
    check_sound(host)


def test_bodies_over_the_limit_stay_in_memory(start_host, check_sound) -> None:
    host = start_host(USUAL_LIMIT)

    def script(number: int) -> Iterator[bytes]:
        yield head(1_000_000_000, job_path(number))
        yield from repeat(b"x" * MIB, ENDLESS_BYTES // MIB)

    with Crowd(host.callers, 40, script) as crowd:
        crowd.wait_sent()
        check_sound(host)
    check_sound(host)


# Guards against header fields that cost far more than their bytes while the rest of
# their requests is awaited.
def test_many_short_header_fields_stay_in_memory(start_host, check_sound) -> None:
    host = start_host(USUAL_LIMIT)
    fields = [f"{number:x}:" for number in range(2_300)]
    with Crowd(host.callers, 400, unfinished(100, "", *fields)) as crowd:
        crowd.wait_sent()
        check_sound(host)
    check_sound(host)


# Guards against jobs that are within every limit, and whose tasks wait together.
def test_many_jobs_of_many_steps_stay_in_memory(start_host, check_sound) -> None:
    host = start_host(USUAL_LIMIT)
    steps = [
        {"cpu": 6800, "estimated_ms": 100, "depends_on": list(range(number))}
        for number in range(160)
    ]
    spec = {"run_s": 0.1, "input": "x" * 3_900}
    job = {"spec": json.dumps(spec), "steps": steps, "best_effort": True}
    body = json.dumps(job).encode()

    def script(number: int) -> Iterator[bytes]:
        yield head(len(body), job_path(number), "Deadline-Ms: 600000") + body

    with Crowd(host.callers, 900, script) as crowd:
        crowd.wait_sent()
        assert get_status(host.readiness.port, "/") == 200
    wait_until(lambda: not jobs_in_flight(host), "the jobs of the crowd are withdrawn")
    check_sound(host)


@pytest.mark.parametrize("listener", ["readiness", "metrics"])
def test_bodies_on_the_other_listeners_stay_in_memory(
    start_host, check_sound, listener
) -> None:
    host = start_host(USUAL_LIMIT)
    address = getattr(host, listener)
    with Crowd(address, 40, unfinished(7_900_000, "/")) as crowd:
        crowd.wait_sent()
        assert get_status(address.port, "/") == 200
        check_sound(host)
    check_sound(host)


def test_half_frames_of_other_hosts_stay_in_memory(start_host, check_sound) -> None:
    host = start_host(USUAL_LIMIT)
    frame_bytes = 4 * MIB

    def script(number: int) -> Iterator[bytes]:
        yield frame_bytes.to_bytes(4, "big")
        yield b"\0" * (frame_bytes - 1)

    with Crowd(host.peers, 60, script) as crowd:
        crowd.wait_sent()
        check_sound(host)
    check_sound(host)


# Guards against unread data, which counts as memory of the machine as well.
@pytest.mark.parametrize("listener", ["callers", "peers"])
def test_little_is_buffered_for_a_host_that_does_not_read(start_host, listener) -> None:
    host = start_host(USUAL_LIMIT)
    with socket.create_connection(getattr(host, listener)) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        host.freeze("h1")
        sock.settimeout(1.0)
        sent_bytes = 0
        try:
            while sent_bytes < ENDLESS_BYTES:
                sent_bytes += sock.send(b"x" * 65_536)
        except TimeoutError:
            pass  # nothing more fits into the buffers
        finally:
            host.resume("h1")
    assert sent_bytes <= CONNECTION_BYTES
    assert host.run_job() == 200


@pytest.mark.parametrize(
    "script",
    [
        unfinished(8_000_000, DAEMON_PATH),
        endless_chunks(b"x" * 65_536, ENDLESS_BYTES, DAEMON_PATH),
    ],
    ids=["unfinished", "endless"],
)
def test_bodies_for_a_daemon_stay_in_memory(daemon, script) -> None:
    process = daemon.process("h1")
    with Crowd(Address("127.0.0.1", process.port), 40, script) as crowd:
        crowd.wait_sent()
        daemon.run_cli("job", "submit", "booking", "{}", "--host", host_of(daemon))
        assert peak_memory_bytes(process.handle.pid) < MACHINE_BYTES


# Guards against strings that cost far more than their bytes.
def test_one_body_of_many_tasks_for_a_daemon_stays_in_memory(daemon) -> None:
    process = daemon.process("h1")
    body = msgspec.json.encode({"tasks": ["ab"] * 1_600_000})

    def script(number: int) -> Iterator[bytes]:
        yield head(len(body), DAEMON_PATH) + body

    with Crowd(Address("127.0.0.1", process.port), 1, script) as crowd:
        crowd.wait_sent()
        daemon.run_cli("job", "submit", "booking", "{}", "--host", host_of(daemon))
        assert peak_memory_bytes(process.handle.pid) < MACHINE_BYTES


def jobs_in_flight(host) -> int:
    page = get_page(host.metrics.port, "/metrics").decode()
    return int(float(re.search(r"^poplarhill_jobs_in_flight (.+)$", page, re.M)[1]))


def host_of(daemon) -> str:
    return f"127.0.0.1:{daemon.process('h1').port}"
