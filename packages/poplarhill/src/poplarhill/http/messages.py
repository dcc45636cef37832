"""Requests and responses, whole, as the rest of the system handles them."""

from typing import NamedTuple

import h11
import msgspec

KIB = 1024
MIB = 1024 * KIB


class Limits(NamedTuple):
    """Bounds on what one peer may send.

    Attributes:
        header_bytes: Largest request or status line with its headers.
        body_bytes: Largest body.
        receive_s: Longest time for one whole message to arrive, s.
        idle_s: Longest time that a connection may stay open unused, s.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 8 * MIB
    receive_s: float = 10.0
    idle_s: float = 120.0


class Request(NamedTuple):
    """One whole request.

    Attributes:
        method: Method, upper case.
        path: Path without the query.
        query: Query string, without the question mark.
        headers: Names in lower case to values.
        body: Whole body.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = {}
    body: bytes = b""


class Response(NamedTuple):
    """One whole response.

    Attributes:
        status: Status code.
        headers: Names in lower case to values.
        body: Whole body.
    """

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""


def json_response(
    status: int, value: object, headers: dict[str, str] | None = None
) -> Response:
    """Return a response whose body is `value` as JSON."""
    fields = {"content-type": "application/json", **(headers or {})}
    return Response(status, fields, msgspec.json.encode(value))


def header_size(event: h11.Request | h11.Response) -> int:
    """Return the bytes of all header fields; h11 bounds only incomplete ones."""
    return sum(len(name) + len(value) for name, value in event.headers)
