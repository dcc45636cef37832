"""Exchanges of one connection, read without protocol state or by h11."""

from random import Random

import curio
import h11
import pytest

from poplarhill.http import Connection, ConnectionLostError, Limits, Request
from poplarhill.http import client as client_module
from poplarhill.http.client import InvalidResponseError
from poplarhill.http.plain import (
    PlainResponse,
    Unread,
    encode_plain,
    head_of,
    parse_plain,
)

LIMITS = Limits(header_bytes=400, body_bytes=100)
REQUEST = Request("POST", "/v1/x", "a=b", {"expect-instance": "w1"}, b"body")

RESPONSES = [
    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 \r\nContent-Length:3\r\nX: a  b \t\r\n\r\nabc",
    b"HTTP/1.1 409 Conflict\r\nConnection: keep-alive\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 2\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx",
    b"HTTP/1.1 204 None\r\n\r\n",
    b"HTTP/1.1 304 Same\r\ncontent-length: 3\r\n\r\n",
    b"HTTP/1.0 200 OK\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\ncontent-length: 3\n\nabc",
    b"HTTP/1.1 200 OK\r\nx: a\n\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nx: folded\r\n line\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nx: \xe9\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nbad name: 1\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\ncontent-length: -3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n" + b"x" * 101,
    b"HTTP/1.1 200 OK\r\nx: " + b"y" * 500 + b"\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\n\r\nabc",
    b"HTTP/1.1 20 OK\r\ncontent-length: 3\r\n\r\nabc",
    b"SSH-2.0-x\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\ncontent-le",
    b"",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n",
]


def exchange(parts: list[bytes], request: Request = REQUEST) -> tuple:
    """Return what becomes of a request whose response comes in parts."""

    async def serve(sock: curio.io.Socket) -> None:
        client, _ = await sock.accept()
        async with client:
            await client.recv(65536)
            for part in parts:
                await client.sendall(part)
                await curio.sleep(0.002)

    async def main() -> tuple:
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        port = sock.getsockname()[1]
        serving = await curio.spawn(serve, sock)
        connection = await Connection.open("127.0.0.1", port, LIMITS, 1.0)
        try:
            response = await curio.timeout_after(2.0, connection.exchange, request)
            return response, connection.reusable, connection.has_surplus
        except (ConnectionLostError, InvalidResponseError) as error:
            return type(error), connection.reusable
        finally:
            await connection.close()
            await serving.join()
            await sock.close()

    return curio.run(main)


# Guards against answers that are taken differently when they are read without h11.
@pytest.mark.parametrize("data", RESPONSES)
def test_a_response_is_taken_as_h11_takes_it(data, monkeypatch):
    cut = Random(len(data)).randrange(len(data) + 1)
    found = [exchange([data]), exchange([data[:cut], data[cut:]])]
    monkeypatch.setattr(client_module, "parse_plain", lambda *_: Unread.NOT_PLAIN)
    assert found == [exchange([data]), exchange([data[:cut], data[cut:]])]


# Guards against plain answers that go through h11 after all: half of a task's cost.
def test_a_plain_response_needs_no_h11(monkeypatch):
    encode_plain(REQUEST)

    def fail(*_):
        raise AssertionError("h11 was asked")

    monkeypatch.setattr(h11, "Connection", fail)
    response, reusable, _ = exchange([RESPONSES[0]])
    assert response.body == b"abc"
    assert reusable


# Guards against requests that differ from what h11 writes.
@pytest.mark.parametrize("body", [b"", b"x", b"y" * 1234])
def test_a_request_is_written_as_h11_writes_it(body):
    request = REQUEST._replace(body=body)
    http = h11.Connection(h11.CLIENT)
    expected = http.send(head_of(request))
    if body:
        expected += http.send(h11.Data(data=body))
    assert encode_plain(request) == expected


# Guards against a header that smuggles a second request in.
def test_a_header_with_a_line_break_is_not_written():
    with pytest.raises(h11.LocalProtocolError):
        encode_plain(REQUEST._replace(headers={"x": "a\r\ny: b"}))


# Guards against a connection that answers the next request with this surplus.
def test_surplus_behind_a_plain_response_is_seen():
    match parse_plain(RESPONSES[0] + b"HTTP", LIMITS):
        case PlainResponse(response, end):
            assert response.body == b"abc"
            assert end == len(RESPONSES[0])
    _, reusable, surplus = exchange([RESPONSES[0] + b"HTTP"])
    assert surplus
    assert not reusable


# Guards against a response to HEAD whose missing body is waited for.
def test_a_response_to_head_has_no_body():
    response, _, _ = exchange([RESPONSES[0][:-3]], Request("HEAD", "/"))
    assert response.body == b""
