"""Plain exchanges: requests and responses that need no protocol state.

The head of a request is written by h11 once and kept. A plain response is whole
in what was read, has one content-length and says nothing on its connection.
Whatever is not plain is h11's to judge.
"""

import re
from enum import Enum
from functools import lru_cache
from typing import NamedTuple

import h11

from poplarhill.http.messages import Limits, Request, Response

_KEPT_HEADS = 512  # three calls to each worker of a leader, and the store's
_KEPT_ANSWERS = 128  # workers answer with few heads that differ
_LENGTH = b"\r\ncontent-length: "
_BLANK_LINE = re.compile(rb"\n\r?\n")  # what h11 takes for the end of a head
_HEAD_END = b"\r\n\r\n"
# A part of what h11 takes: printable ASCII, no folded lines, no bare line feeds.
_HEAD = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9][0-9])(?: [\t\x20-\x7e]*)?"
    rb"(?:\r\n[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t\x20-\x7e]*)*"
)
_FIELD = re.compile(r"\r\n([^:]+):[\t ]*([^\r]*)")
_BODILESS = frozenset((204, 304))
_MOST_DIGITS = 15  # far beyond every limit, and quick to read


class Unread(Enum):
    """Why no response was read."""

    INCOMPLETE = "incomplete"
    NOT_PLAIN = "not plain"


class PlainResponse(NamedTuple):
    """A response and where it ends in what was read."""

    response: Response
    end: int


class _Head(NamedTuple):
    status: int
    headers: dict[str, str]
    body_bytes: int


def head_of(request: Request) -> h11.Request:
    """Return the head of a request as h11 takes it."""
    target = request.path
    if request.query:
        target += "?" + request.query
    headers = [("host", "poplarhill"), ("content-length", str(len(request.body)))]
    headers += request.headers.items()
    return h11.Request(method=request.method, target=target, headers=headers)


def encode_plain(request: Request) -> bytes:
    """Return the bytes of a request.

    Raises:
        LocalProtocolError: It is not well-formed.
    """
    method, path, query, headers, body = request
    before, after = _encoded_head(method, path, query, tuple(headers.items()))
    return b"%b%d%b%b" % (before, len(body), after, body)


@lru_cache(_KEPT_HEADS)
def _encoded_head(
    method: str, path: str, query: str, headers: tuple[tuple[str, str], ...]
) -> tuple[bytes, bytes]:
    """Return what stands before and after the length of a request's body."""
    head = head_of(Request(method, path, query, dict(headers)))
    data = h11.Connection(h11.CLIENT).send(head)
    before, mark, after = data.partition(_LENGTH + b"0")
    return before + _LENGTH, after


def parse_plain(data: bytes, limits: Limits) -> PlainResponse | Unread:
    """Return the response to a request that is no `HEAD`, if it is plain."""
    blank = _BLANK_LINE.search(data)
    if blank is None and len(data) <= limits.header_bytes:
        return Unread.INCOMPLETE
    if blank is None or blank.end() > limits.header_bytes:
        return Unread.NOT_PLAIN
    begin = blank.end()
    head = _parsed_head(data[:begin])
    if head is None or head.body_bytes > limits.body_bytes:
        return Unread.NOT_PLAIN
    end = begin + head.body_bytes
    if len(data) < end:
        return Unread.INCOMPLETE
    response = Response(head.status, dict(head.headers), data[begin:end])
    return PlainResponse(response, end)


@lru_cache(_KEPT_ANSWERS)
def _parsed_head(data: bytes) -> _Head | None:
    """Return what the head of a response says, if it is plain."""
    head = _HEAD.fullmatch(data.removesuffix(_HEAD_END))
    if head is None or not data.endswith(_HEAD_END):
        return None
    status = int(head[1])
    fields = _FIELD.findall(head[0].decode("ascii"))
    headers = {name.lower(): value.rstrip("\t ") for name, value in fields}
    length = headers.get("content-length", "")
    if (
        len(headers) < len(fields)
        or not length.isdecimal()
        or len(length) > _MOST_DIGITS
        or headers.get("connection", "keep-alive").lower() != "keep-alive"
        or "transfer-encoding" in headers
        or status in _BODILESS
    ):
        return None
    return _Head(status, headers, int(length))
