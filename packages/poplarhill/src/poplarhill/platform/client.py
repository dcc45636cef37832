"""Client of the platform's log and host list.

`Platform` is the interface; `HttpPlatform` implements it over HTTP and JSON.
"""

from typing import Protocol, TypeVar

from poplarhill.decoding import InvalidDataError, decode_json
from poplarhill.http import (
    ConnectionLostError,
    InvalidResponseError,
    Request,
    Response,
    fetch,
)
from poplarhill.platform.types import (
    Appended,
    AppendRefused,
    AppendResult,
    AppendUnknown,
    Batch,
    HostList,
    ReadResult,
    Truncated,
    Unavailable,
)

_Value = TypeVar("_Value")

_HTTP_OK = 200
_HTTP_GONE = 410
_FIRST_SERVER_ERROR = 500


class Platform(Protocol):
    """The operations of the platform that poplarhill uses."""

    async def append(self, stream: str, body: str) -> AppendResult:
        """Append a record to a stream."""

    async def read(self, stream: str, offset: int, limit: int) -> ReadResult:
        """Read up to `limit` records starting at `offset`."""

    async def hosts(self) -> HostList | Unavailable:
        """Return the list of live and leaving hosts."""


class HttpPlatform:
    """Accesses the platform over HTTP and JSON.

    Args:
        host: IP address.
        port: TCP port.
        timeout_s: Longest wait for one response, s.
        source: Local IP address to connect from; any if not given.
    """

    def __init__(
        self, host: str, port: int, timeout_s: float, source: str | None = None
    ) -> None:
        self._host = host
        self._port = port
        self._timeout_s = timeout_s
        self._source = source

    async def append(self, stream: str, body: str) -> AppendResult:
        """Append a record to a stream."""
        request = Request("POST", f"/streams/{stream}/records", body=body.encode())
        try:
            response = await self._fetch(request)
        except ConnectionLostError as error:
            if error.sent:
                return AppendUnknown(str(error))
            return AppendRefused(str(error))
        except InvalidResponseError as error:
            return AppendUnknown(str(error))
        if response.status == _HTTP_OK:
            return _decode(response.body, Appended) or AppendUnknown(
                "the response is not valid JSON of the expected form"
            )
        detail = response.body.decode("utf-8", "replace")
        if response.status >= _FIRST_SERVER_ERROR:
            return AppendUnknown(detail)
        return AppendRefused(detail)

    async def read(self, stream: str, offset: int, limit: int) -> ReadResult:
        """Read up to `limit` records starting at `offset`."""
        path = f"/streams/{stream}/records"
        request = Request("GET", path, f"from={offset}&limit={limit}")
        try:
            response = await self._fetch(request)
        except (ConnectionLostError, InvalidResponseError) as error:
            return Unavailable(str(error))
        match response.status:
            case 200:
                result = _decode(response.body, Batch)
            case 410:
                result = _decode(response.body, Truncated)
            case _:
                result = None
        return result or Unavailable(
            f"unexpected response with status {response.status}"
        )

    async def hosts(self) -> HostList | Unavailable:
        """Return the list of live and leaving hosts."""
        try:
            response = await self._fetch(Request("GET", "/hosts"))
        except (ConnectionLostError, InvalidResponseError) as error:
            return Unavailable(str(error))
        if response.status != _HTTP_OK:
            return Unavailable(f"unexpected response with status {response.status}")
        return _decode(response.body, HostList) or Unavailable(
            "the response is not valid JSON of the expected form"
        )

    async def _fetch(self, request: Request) -> Response:
        return await fetch(
            self._host, self._port, request, self._timeout_s, source=self._source
        )


def _decode(body: bytes, kind: type[_Value]) -> _Value | None:
    """Decode a JSON array into a named tuple; return None if it is invalid."""
    try:
        return decode_json(body, kind)
    except InvalidDataError:
        return None
