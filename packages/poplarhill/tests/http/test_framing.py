"""Responses that a `ResponseReader` assembles, whole, in parts and malformed."""

import pytest

from poplarhill.http import InvalidResponseError, Limits
from poplarhill.http.framing import ResponseReader

LIMITS = Limits(header_bytes=1024, body_bytes=100)
PLAIN = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" + PLAIN
BARE_LF = b"HTTP/1.1 200 OK\ncontent-length: 5\n\nhello"
BARE_LF_AND_HEAD_END_IN_BODY = b"HTTP/1.1 200 OK\ncontent-length: 5\n\n\r\n\r\n!"


# Guards against a body that is cut off or shifted where the data of one response comes
# in several reads, by either of the two ways in which responses are taken apart.
@pytest.mark.parametrize(
    ("data", "body"),
    [
        (PLAIN, b"hello"),
        (CHUNKED, b"hello"),
        (INTERIM, b"hello"),
        (BARE_LF, b"hello"),
        (BARE_LF_AND_HEAD_END_IN_BODY, b"\r\n\r\n!"),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", b""),
    ],
)
def test_a_response_is_the_same_wherever_it_is_split(data, body):
    for first in range(len(data)):
        for second in range(first, len(data), 7):
            reader = ResponseReader(LIMITS)
            parts = [data[:first], data[first:second], data[second:]]
            results = [reader.feed(part) for part in parts if part]
            assert results[:-1] == [None] * (len(results) - 1)
            assert results[-1].status == 200
            assert results[-1].body == body
            assert reader.reusable
            assert reader.feed(PLAIN).body == b"hello"


# Guards against a second response that is kept and given to the next call.
@pytest.mark.parametrize("data", [PLAIN, CHUNKED])
def test_data_beyond_a_response_makes_the_connection_unusable(data):
    reader = ResponseReader(LIMITS)
    assert reader.feed(data + PLAIN).body == b"hello"
    assert not reader.reusable


# Guards against a request on a connection that the server is about to close.
@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello",
        b"HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    ],
)
def test_a_response_may_announce_that_the_connection_closes(data):
    reader = ResponseReader(LIMITS)
    assert reader.feed(data).body == b"hello"
    assert not reader.reusable


# Guards against a length that is taken for that of a body where there is none.
def test_a_status_without_body_ends_with_its_head():
    reader = ResponseReader(LIMITS)
    assert reader.feed(b"HTTP/1.1 204 No Content\r\n\r\n").status == 204
    assert reader.feed(b"HTTP/1.1 304 Same\r\ncontent-length: 5\r\n\r\n").body == b""
    assert reader.reusable
    assert reader.feed(PLAIN).body == b"hello"


# Guards against malformed, unbounded or ambiguous responses, also if a head was seen.
@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n65\r\n" + b"x" * 101,
        b"HTTP/1.1 200 OK\r\nx: " + b"x" * 1100,
        b"HTTP/1.1 200 OK\r\nx: " + b"x" * 1100 + b"\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\nhello",
        b"HTTP/1.1 OK\r\ncontent-length: 5\r\n\r\nhello",
        b"no HTTP at all\r\n\r\n",
    ],
)
def test_a_malformed_or_large_response_is_invalid(data):
    for _ in range(2):
        with pytest.raises(InvalidResponseError):
            ResponseReader(LIMITS).feed(data)
