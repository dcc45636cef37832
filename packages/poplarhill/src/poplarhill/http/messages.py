"""Complete HTTP requests and responses, and limits on their size and duration."""

from typing import NamedTuple

import h11
import msgspec

KIB = 1024
MIB = 1024 * KIB


class Limits(NamedTuple):
    """Limits on the messages that one peer sends.

    Attributes:
        header_bytes: Largest size of the request or status line with the headers.
        body_bytes: Largest size of the body.
        header_s: Longest time until the headers have arrived, s.
        receive_s: Longest time to transfer one whole message, s.
        idle_s: Longest time that a connection may stay open without a request, s.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 8 * MIB
    header_s: float = 10.0
    receive_s: float = 10.0
    idle_s: float = 120.0


class Request(NamedTuple):
    """One complete request.

    Attributes:
        method: Method, upper case.
        path: Path without the query.
        query: Query string, without the question mark.
        headers: Header values by lower-case name.
        body: The body.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = {}
    body: bytes = b""


class Response(NamedTuple):
    """One complete response.

    Attributes:
        status: Status code.
        headers: Header values by lower-case name.
        body: The body.
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
    """Return the bytes of all header fields; h11 limits only incomplete ones."""
    return sum(len(name) + len(value) for name, value in event.headers)
