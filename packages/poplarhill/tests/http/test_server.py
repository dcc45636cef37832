"""Tests of the HTTP server with misbehaving callers, over real sockets."""

import socket
import time
from random import Random

import curio
import msgspec
import pytest

from poplarhill.http import HttpServer, Limits, Request, Response, fetch

HOST = "127.0.0.1"
LARGE_BYTES = 16 * 1024 * 1024  # more than the socket buffers hold
LIMITS = Limits(header_bytes=4096, body_bytes=10_000, receive_s=0.3, idle_s=5.0)


class ServerFixture:
    """A server whose handler echoes, fails or waits, depending on the path."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        self.server = HttpServer(HOST, 0, self.handle, limits)
        self.port = self.server.port
        self.cancelled = 0
        self.waiting = 0
        self.proceed = curio.Event()

    async def handle(self, request: Request) -> Response:
        """Answer a request depending on its path."""
        if request.path == "/fail":
            raise OSError("a bug")
        if request.path == "/wait":
            self.waiting += 1
            try:
                await self.proceed.wait()
            except curio.CancelledError:
                self.cancelled += 1
                raise
        if request.path == "/late":
            await curio.timeout_after(0.01, curio.sleep, 60)
        body = b"x" * LARGE_BYTES if request.path == "/large" else request.body
        return Response(200, {}, body)

    async def send_bytes(self, data: bytes, half_close: bool = False) -> bytes:
        """Send bytes and return everything received until the server closes."""
        sock = await curio.open_connection(HOST, self.port)
        async with sock:
            await sock.sendall(data)
            if half_close:
                await sock.shutdown(socket.SHUT_WR)
            answer = b""
            while received := await sock.recv(65536):
                answer += received
            return answer


@pytest.fixture
def run_with_server():
    def run(body):
        async def main():
            served = ServerFixture()
            serving = await curio.spawn(served.server.run, daemon=True)
            try:
                result = await curio.timeout_after(20, body, served)
                request = Request("POST", "/", body=b"still here")
                after = await fetch(HOST, served.port, request, 5.0)
                assert after.body == b"still here"
                return result
            finally:
                await serving.cancel()

        return curio.run(main)

    return run


def post(path: str = "/", body: bytes = b"", *headers: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "host: x", f"content-length: {len(body)}"]
    return "\r\n".join([*lines, *headers, "", ""]).encode() + body


def error_of(answer: bytes) -> dict:
    return msgspec.json.decode(answer.partition(b"\r\n\r\n")[2])["error"]


DECLARES_99_GB = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99000000000\r\n\r\n"
MAX_ERROR_BYTES = 1024


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        (b"gibberish\r\n\r\n", b"400", "bad_request"),
        (b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nxx", b"400", "bad_request"),
        (post("/", b"x" * 10_001), b"413", "too_large"),
        (post("/", b"x" * 9_000_000), b"413", "too_large"),
        (DECLARES_99_GB, b"413", "too_large"),
        (post("/", b"", "x: " + "y" * 5000), b"413", "too_large"),
        (b"POST / HTTP/1.1\r\nx: " + b"y" * 90_000, b"413", "too_large"),
        (post("/", b"x")[:-1], b"408", "request_timeout"),
        (b"POST / HT", b"408", "request_timeout"),
        (post("/fail", b"", "connection: close"), b"500", "internal"),
        (post("/late", b"", "connection: close"), b"500", "internal"),
    ],
    ids=lambda value: value[:24] if isinstance(value, bytes) else None,
)
def test_bad_input_gets_one_clear_error(run_with_server, data, status, kind) -> None:
    async def body(served):
        return await served.send_bytes(data)

    answer = run_with_server(body)
    assert answer.split()[1] == status
    assert error_of(answer)["kind"] == kind


def test_garbage_is_not_echoed_at_length(run_with_server) -> None:
    async def body(served):
        return await served.send_bytes(b"\x01\xff" * 500 + b"\r\n\r\n")

    assert len(run_with_server(body)) <= MAX_ERROR_BYTES


def mangled(random: Random) -> bytes:
    """Return a request with bytes overwritten, deleted, repeated or truncated."""
    data = bytearray(post("/a/b?c=d", b"x" * random.randrange(40), "y: z"))
    for _ in range(random.randrange(1, 5)):
        at = random.randrange(len(data))
        to = min(len(data), at + random.randrange(1, 9))
        match random.randrange(4):
            case 0:
                data[at:to] = random.randbytes(to - at)
            case 1:
                del data[at:to]
            case 2:
                data[at:at] = data[at:to]
            case 3:
                del data[max(1, at) :]
        data = data or bytearray(b"x")
    return bytes(data)


@pytest.mark.parametrize("seed", range(4))
def test_mangled_requests_get_bounded_answers_and_do_not_affect_others(
    run_with_server, seed
) -> None:
    random = Random(seed)
    requests = [mangled(random) for _ in range(100)]

    async def body(served):
        async with curio.TaskGroup() as group:
            for request in requests:
                await group.spawn(served.send_bytes, request, True)
        return group.results

    for answer in run_with_server(body):
        assert len(answer) <= MAX_ERROR_BYTES
        assert not answer or answer.startswith(b"HTTP/1.1 ")


def test_a_request_sent_byte_by_byte_times_out(run_with_server) -> None:
    async def body(served):
        sock = await curio.open_connection(HOST, served.port)
        async with sock:
            for byte in post("/", b"x" * 500):
                try:
                    await sock.sendall(bytes([byte]))
                except OSError:
                    break
                await curio.sleep(0.01)
            return await sock.recv(65536)

    assert run_with_server(body).split()[1] == b"408"


# Guards against requests that wait in the sockets of a paused process until their
# callers have closed them and sent them again elsewhere: they were handled as well.
def test_a_request_whose_caller_has_left_is_not_handled(run_with_server) -> None:
    async def body(served):
        answer = await served.send_bytes(post("/wait"), half_close=True)
        return answer, served.waiting

    answer, waiting = run_with_server(body)
    assert error_of(answer)["kind"] == "stopped"
    assert error_of(answer)["run_state"] == "may_have_run"
    assert waiting == 0


def test_a_half_closed_caller_gets_a_stopped_error(run_with_server) -> None:
    async def body(served):
        sock = await curio.open_connection(HOST, served.port)
        async with sock:
            await sock.sendall(post("/wait"))
            while not served.waiting:
                await curio.sleep(0.01)
            await sock.shutdown(socket.SHUT_WR)
            return await sock.recv(65536), served.cancelled

    answer, cancelled = run_with_server(body)
    assert error_of(answer)["kind"] == "stopped"
    assert error_of(answer)["run_state"] == "may_have_run"
    assert cancelled == 1


def test_closing_the_connection_cancels_the_request(run_with_server) -> None:
    async def body(served):
        sock = await curio.open_connection(HOST, served.port)
        await sock.sendall(post("/wait"))
        while not served.waiting:
            await curio.sleep(0.01)
        await sock.close()
        while not served.cancelled:
            await curio.sleep(0.01)

    run_with_server(body)


# Guards against requests that wait in the socket of a paused host until their callers
# have closed them and sent them again to another host, where they run.
def test_a_request_that_is_read_together_with_its_close_is_not_handled(
    run_with_server,
) -> None:
    async def body(served):
        # The event loop does not run meanwhile.
        with socket.create_connection((HOST, served.port)) as sock:
            sock.sendall(post("/wait"))
        await served.send_bytes(post("/", b"later", "connection: close"))
        return served.waiting

    assert run_with_server(body) == 0


def test_a_lot_of_pipelined_data_does_not_cancel_a_request(run_with_server) -> None:
    async def body(served):
        many = post("/wait") + post("/", b"x" * 9_000) * 40
        data = many + post("/", b"last", "connection: close")
        exchange = await curio.spawn(served.send_bytes, data)
        while not served.waiting:
            await curio.sleep(0.01)
        await curio.sleep(0.05)
        assert not served.cancelled
        await served.proceed.set()
        return await exchange.join()

    assert run_with_server(body).count(b"HTTP/1.1 200") == 42


# Guards against a close that is seen only once the pipelined data has been read.
def test_closing_after_pipelined_data_cancels_the_request(run_with_server) -> None:
    async def body(served):
        sock = await curio.open_connection(HOST, served.port)
        await sock.sendall(post("/wait") + post("/", b"next"))
        while not served.waiting:
            await curio.sleep(0.01)
        await sock.close()
        while not served.cancelled:
            await curio.sleep(0.01)
        assert served.server.in_flight == 0

    run_with_server(body)


# Guards against a cancelled handler on a connection that only reuses the descriptor of
# one that was closed, and against a close that is noted while no request is handled.
def test_closed_connections_do_not_cancel_requests_of_later_ones(
    run_with_server,
) -> None:
    async def body(served):
        for _ in range(20):
            sock = await curio.open_connection(HOST, served.port)
            await sock.sendall(post("/", b"x"))
            await sock.recv(65536)
            later = await curio.open_connection(HOST, served.port)
            await sock.close()
            await later.sendall(post("/wait"))
            await curio.sleep(0.005)
            await later.close()
        while served.cancelled < 20:
            await curio.sleep(0.01)
        waiting = await curio.spawn(
            served.send_bytes, post("/wait", b"kept", "connection: close")
        )
        while served.waiting < 21:
            await curio.sleep(0.01)
        await served.proceed.set()
        return await waiting.join()

    assert run_with_server(body).endswith(b"kept")


# Guards against a response that ends where the socket's buffer is full.
def test_a_response_larger_than_the_socket_buffers_arrives_whole(
    run_with_server,
) -> None:
    async def body(served):
        return await served.send_bytes(post("/large", b"", "connection: close"))

    head, _, received = run_with_server(body).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert len(received) == LARGE_BYTES


def test_100_continue_is_sent_to_a_caller_that_expects_it(run_with_server) -> None:
    async def body(served):
        sock = await curio.open_connection(HOST, served.port)
        async with sock:
            await sock.sendall(post("/", b"xx", "expect: 100-continue")[:-2])
            interim = await sock.recv(65536)
            await sock.sendall(b"xx")
            return interim, await sock.recv(65536)

    interim, answer = run_with_server(body)
    assert interim.startswith(b"HTTP/1.1 100")
    assert answer.endswith(b"xx")


def test_head_gets_no_body(run_with_server) -> None:
    async def body(served):
        request = post("/", b"body", "connection: close")
        return await served.send_bytes(request.replace(b"POST", b"HEAD"))

    assert run_with_server(body).endswith(b"\r\n\r\n")


def test_draining_answers_requests_in_flight_without_waiting_for_idle_callers() -> None:
    async def main():
        served = ServerFixture()
        serving = await curio.spawn(served.server.run, daemon=True)
        idle = await curio.open_connection(HOST, served.port)
        await idle.sendall(post("/", b"first"))
        await idle.recv(65536)
        waiting = await curio.spawn(served.send_bytes, post("/wait", b"in flight"))
        while not served.waiting:
            await curio.sleep(0.01)
        draining = await curio.spawn(served.server.drain)
        await curio.sleep(0.05)
        during = await served.send_bytes(post("/", b"during"))
        await served.proceed.set()
        in_flight = await waiting.join()
        begin = time.monotonic()
        await draining.join()
        await serving.cancel()
        return during, in_flight, time.monotonic() - begin

    during, in_flight, seconds = curio.run(main)
    assert during.endswith(b"during")
    assert b"connection: close" in during
    assert in_flight.endswith(b"in flight")
    assert seconds < LIMITS.idle_s


def test_close_idle_closes_idle_connections_but_not_those_in_use() -> None:
    # Guards against callers that keep using an idle connection to a host that is
    # about to stop: a request arrived 4.5 s after SIGTERM, and the connection was
    # closed without a response.
    async def main():
        served = ServerFixture()
        serving = await curio.spawn(served.server.run, daemon=True)
        idle = await curio.open_connection(HOST, served.port)
        await idle.sendall(post("/", b"first"))
        await idle.recv(65536)
        waiting = await curio.spawn(served.send_bytes, post("/wait", b"in flight"))
        while not served.waiting:
            await curio.sleep(0.01)
        served.server.close_idle()
        draining = await curio.spawn(served.server.drain)
        closed = await curio.timeout_after(LIMITS.idle_s / 2, idle.recv, 1)
        in_flight_then = served.waiting - served.cancelled
        await served.proceed.set()
        in_flight = await waiting.join()
        await draining.join()
        await serving.cancel()
        return closed, in_flight_then, in_flight

    closed, in_flight_then, in_flight = curio.run(main)
    assert closed == b""
    assert in_flight_then == 1
    assert in_flight.endswith(b"in flight")


def test_a_request_that_arrives_just_after_close_idle_is_served() -> None:
    # Guards against mistaking the server's own shutdown of an idle connection for
    # the caller closing it: the request was started, cancelled, and answered with
    # a "stopped" error.
    async def main():
        served = ServerFixture()
        serving = await curio.spawn(served.server.run, daemon=True)
        idle = await curio.open_connection(HOST, served.port)
        await idle.sendall(post("/", b"first"))
        await idle.recv(65536)
        served.server.close_idle()
        draining = await curio.spawn(served.server.drain)
        sending = await curio.spawn(idle.sendall, post("/wait", b"second"))
        while not served.waiting:
            await curio.sleep(0.01)
        await curio.sleep(0.05)
        cancelled = served.cancelled
        await served.proceed.set()
        answer = await idle.recv(65536)
        for task in (sending, draining):
            await task.join()
        await serving.cancel()
        return cancelled, answer

    cancelled, answer = curio.run(main)
    assert not cancelled
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"second")


def test_a_request_on_a_persistent_connection_is_served_while_draining() -> None:
    # Guards against closing idle connections at the beginning of a drain while
    # requests are on their way over them: callers got "connection lost" during a
    # planned stop of a daemon.
    async def main():
        served = ServerFixture()
        serving = await curio.spawn(served.server.run, daemon=True)
        persistent = await curio.open_connection(HOST, served.port)
        await persistent.sendall(post("/", b"first"))
        await persistent.recv(65536)
        waiting = await curio.spawn(served.send_bytes, post("/wait", b"in flight"))
        while not served.waiting:
            await curio.sleep(0.01)
        draining = await curio.spawn(served.server.drain)
        await curio.sleep(0.05)
        await persistent.sendall(post("/", b"second"))
        answer = await persistent.recv(65536)
        await served.proceed.set()
        await waiting.join()
        await draining.join()
        await serving.cancel()
        return answer

    answer = curio.run(main)
    assert b"connection: close" in answer
    assert answer.endswith(b"second")


def test_draining_waits_for_the_rest_of_a_partly_received_request() -> None:
    # Guards against closing a connection in the middle of a request without need:
    # the drain waited only for requests that had been received completely.
    async def main():
        served = ServerFixture(LIMITS._replace(receive_s=5.0))
        serving = await curio.spawn(served.server.run, daemon=True)
        caller = await curio.open_connection(HOST, served.port)
        request = post("/", b"in two parts")
        await caller.sendall(request[:-5])
        await curio.sleep(0.05)
        draining = await curio.spawn(served.server.drain)
        await curio.sleep(0.5)
        waited = not draining.terminated
        await caller.sendall(request[-5:])
        answer = await caller.recv(65536)
        await draining.join()
        await serving.cancel()
        return waited, answer

    waited, answer = curio.run(main)
    assert waited
    assert answer.endswith(b"in two parts")


def test_draining_answers_pipelined_requests_before_closing() -> None:
    # Guards against closing a connection after a response although another
    # pipelined request was read already: its caller got no response.
    async def main():
        served = ServerFixture()
        serving = await curio.spawn(served.server.run, daemon=True)
        two = post("/wait", b"one") + post("/", b"two")
        exchange = await curio.spawn(served.send_bytes, two)
        while not served.waiting:
            await curio.sleep(0.01)
        draining = await curio.spawn(served.server.drain)
        await curio.sleep(0.05)
        await served.proceed.set()
        answers = await exchange.join()
        await draining.join()
        await serving.cancel()
        return answers

    first, second = curio.run(main).split(b"HTTP/1.1 200")[1:]
    assert first.endswith(b"one") and second.endswith(b"two")
    assert b"connection: close" not in first
    assert b"connection: close" in second
