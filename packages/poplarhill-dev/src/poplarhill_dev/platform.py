"""Stand-in of the platform: an append-only log and a host list, in memory."""

import time
from typing import NamedTuple
from urllib.parse import parse_qs

import curio
import msgspec

from poplarhill.http import HttpServer, Request, Response, json_response
from poplarhill.platform import Appended, Batch, HostList, Record, Truncated

_APPEND_DELAY_S = 0.004
_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_NOT_FOUND = 404
_HTTP_UNAVAILABLE = 503


class Faults(NamedTuple):
    """What the stand-in does wrong.

    Attributes:
        down: Whether every request is answered with an error.
        delay_s: Time before each answer, s.
        lose_answers: Whether appends take effect and their answers are lost.
        retention: Most records kept in a stream.
    """

    down: bool = False
    delay_s: float = _APPEND_DELAY_S
    lose_answers: bool = False
    retention: int = 100_000


class PlatformStandIn:
    """Serves the log, the host list, and a page to set faults.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 takes any free one.
    """

    def __init__(self, host: str, port: int) -> None:
        self._streams: dict[str, list[Record]] = {}
        self._ends: dict[str, int] = {}
        self._hosts = HostList(0, frozenset(), frozenset())
        self._faults = Faults()
        self._server = HttpServer(host, port, self.handle)

    @property
    def port(self) -> int:
        """The port in use."""
        return self._server.port

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.run()

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        match (request.method, request.path.strip("/").split("/")):
            case ("PUT", ["faults"]):
                fields = msgspec.json.decode(request.body)
                self._faults = Faults(**fields)
                return json_response(_HTTP_OK, {})
            case ("PUT", ["hosts"]):
                self._hosts = msgspec.json.decode(request.body, type=HostList)
                return json_response(_HTTP_OK, {})
        if self._faults.down:
            return json_response(_HTTP_UNAVAILABLE, {"detail": "down"})
        await curio.sleep(self._faults.delay_s)
        return self._serve(request)

    def _serve(self, request: Request) -> Response:
        match (request.method, request.path.strip("/").split("/")):
            case ("POST", ["streams", stream, "records"]):
                return self._append(stream, request.body.decode())
            case ("GET", ["streams", stream, "records"]):
                query = parse_qs(request.query)
                return self._read(stream, int(query["from"][0]), int(query["limit"][0]))
            case ("GET", ["hosts"]):
                return json_response(_HTTP_OK, self._hosts)
        return json_response(_HTTP_NOT_FOUND, {"detail": request.path})

    def _append(self, stream: str, body: str) -> Response:
        offset = self._ends.get(stream, 0)
        self._ends[stream] = offset + 1
        records = self._streams.setdefault(stream, [])
        records.append(Record(offset, time.time(), body))
        del records[: -self._faults.retention]
        if self._faults.lose_answers:
            return json_response(_HTTP_UNAVAILABLE, {"detail": "answer lost"})
        return json_response(_HTTP_OK, Appended(offset))

    def _read(self, stream: str, offset: int, limit: int) -> Response:
        records = self._streams.get(stream, [])
        end = self._ends.get(stream, 0)
        earliest = records[0].offset if records else end
        if offset < earliest:
            return json_response(_HTTP_GONE, Truncated(earliest))
        first = offset - earliest
        found = tuple(records[first : first + limit])
        batch = Batch(found, offset + len(found), end, time.time())
        return json_response(_HTTP_OK, batch)
