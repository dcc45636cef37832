"""Requests and responses of HTTP/1.1 as bytes, for calls that differ only in bodies.

h11 builds and checks each distinct head once. Heads repeat from call to call, so that
most calls cost no work in h11.
"""

from functools import lru_cache

import h11

from poplarhill.http.client import InvalidResponseError
from poplarhill.http.messages import Limits, Response, header_size

_HEADS_KEPT = 4096  # 80 workers, three paths, and their responses of various lengths
_KEPT_HEAD_BYTES = 512  # bounds the memory for heads; usual ones have about 80 bytes
_HEAD_END = b"\r\n\r\n"
_EMPTY_BODY_FIELD_END = b"0\r\n\r\n"
_BODILESS_STATUSES = (204, 304)
_FRAMING_FIELDS = (b"connection", b"transfer-encoding")


def encode_request(
    method: str, target: str, headers: tuple[tuple[str, str], ...], body: bytes
) -> bytes:
    """Return a whole request.

    Raises:
        h11.LocalProtocolError: The method, the target or a header is malformed.
    """
    prefix = _request_prefix(method, target, headers)
    return b"%b%d\r\n\r\n%b" % (prefix, len(body), body)


class ResponseReader:
    """Assembles the responses on a connection, one after the other.

    A response whose first data holds its whole head, and whose head declares the length
    of the body and says nothing else about framing, is taken apart here. Any other
    response is left to h11.

    Args:
        limits: Limits on responses.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._reusable = True
        self._http: h11.Connection | None = None
        self._status = 0
        self._body = bytearray()
        self._missing_bytes = 0
        self._size_bytes = 0

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent after the last response."""
        return self._reusable

    def feed(self, data: bytes) -> Response | None:
        """Take received data; return the response if it is complete.

        The response carries no headers.

        Raises:
            InvalidResponseError: The response violates the protocol or a limit. The
                connection cannot be used again.
        """
        if self._http is not None:
            return self._feed_h11(data)
        if self._missing_bytes > 0:
            return self._feed_body(data)
        head_bytes = data.find(_HEAD_END) + len(_HEAD_END)
        if not len(_HEAD_END) <= head_bytes <= _KEPT_HEAD_BYTES:
            return self._feed_h11(data)
        framing = _parse_plain_head(data[:head_bytes])
        if framing is None:
            return self._feed_h11(data)
        self._status, body_bytes = framing
        if body_bytes > self._limits.body_bytes:
            raise InvalidResponseError("response body too large")
        self._missing_bytes = body_bytes
        return self._feed_body(data[head_bytes:])

    def _feed_body(self, data: bytes) -> Response | None:
        missing_bytes = self._missing_bytes = self._missing_bytes - len(data)
        if missing_bytes > 0:
            self._body += data
            return None
        if self._body:
            data = bytes(self._body + data)
            self._body.clear()
        if missing_bytes < 0:
            self._reusable = False
            data = data[:missing_bytes]
        return Response(self._status, body=data)

    def _feed_h11(self, data: bytes) -> Response | None:
        try:
            if self._http is None:
                self._http = _connection_after_request(self._limits.header_bytes)
                self._size_bytes = 0
            self._http.receive_data(data)
            return self._next_response(self._http)
        except h11.RemoteProtocolError as error:
            raise InvalidResponseError(str(error)) from error

    def _next_response(self, http: h11.Connection) -> Response | None:
        while True:
            match http.next_event():
                case h11.NEED_DATA:
                    return None
                case h11.Response() as event:
                    self._check(event)
                    self._status = event.status_code
                case h11.Data() as event:
                    self._size_bytes += len(event.data)
                    if self._size_bytes > self._limits.body_bytes:
                        raise InvalidResponseError("response body too large")
                    self._body += event.data
                case h11.EndOfMessage():
                    break
        done = http.their_state is h11.DONE and not http.trailing_data[0]
        self._reusable = self._reusable and done
        self._http = None
        body = bytes(self._body)
        self._body.clear()
        return Response(self._status, body=body)

    def _check(self, event: h11.Response) -> None:
        """Reject large headers, and a body without length: it may be truncated."""
        if header_size(event) > self._limits.header_bytes:
            raise InvalidResponseError("response headers too large")
        names = {name for name, _ in event.headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        if not framed and event.status_code not in _BODILESS_STATUSES:
            raise InvalidResponseError("response body has no declared length")


@lru_cache(maxsize=_HEADS_KEPT)
def _request_prefix(
    method: str, target: str, headers: tuple[tuple[str, str], ...]
) -> bytes:
    """Return the head of a request up to the value of its last field, the length."""
    fields = [("host", "poplarhill"), *headers, ("content-length", "0")]
    request = h11.Request(method=method, target=target, headers=fields)
    head = h11.Connection(h11.CLIENT).send(request)
    return head.removesuffix(_EMPTY_BODY_FIELD_END)


@lru_cache(maxsize=_HEADS_KEPT)
def _parse_plain_head(head: bytes) -> tuple[int, int] | None:
    """Return the status and the length of the body that the head of a response states.

    Returns:
        `None` if the framing depends on more than the length of the body.

    Raises:
        InvalidResponseError: The head violates the protocol.
    """
    http = _connection_after_request(len(head))
    try:
        http.receive_data(head)
        event = http.next_event()
    except h11.RemoteProtocolError as error:
        raise InvalidResponseError(str(error)) from error
    if not isinstance(event, h11.Response) or http.trailing_data[0]:
        return None
    fields = dict(event.headers)
    plain = (
        event.http_version == b"1.1"
        and event.status_code not in _BODILESS_STATUSES
        and not any(name in fields for name in _FRAMING_FIELDS)
        and b"content-length" in fields
    )
    return (event.status_code, int(fields[b"content-length"])) if plain else None


def _connection_after_request(header_bytes: int) -> h11.Connection:
    """Return the state of a client that has sent a request and awaits the response."""
    http = h11.Connection(h11.CLIENT, header_bytes)
    http.send(h11.Request(method="POST", target="/", headers=[("host", "poplarhill")]))
    http.send(h11.EndOfMessage())
    return http
