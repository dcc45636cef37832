"""Stand-in for the platform: an append-only log and a host list, in memory."""

import time
from random import Random
from urllib.parse import parse_qs

import curio
import msgspec

from poplarhill.http import HttpServer, Request, Response, json_response
from poplarhill.platform import Appended, Batch, HostList, Record, Truncated

_HTTP_OK = 200
_HTTP_BAD_REQUEST = 400
_HTTP_NOT_FOUND = 404
_HTTP_GONE = 410
_HTTP_UNAVAILABLE = 503


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing, limits and injected faults of the stand-in.

    Attributes:
        down: Whether every request is answered with an error.
        delay_s: Time before each answer, s.
        appends_per_s: Appends per second at most; further appends are delayed.
        lose_answers: Whether appends take effect but fail for the caller.
        lose_appends: Whether appends fail and have no effect.
        late_append_s: Delay after which an append that failed for the caller takes
            effect, s; 0 for none.
        fraction: Fraction of the appends that the three faults above affect.
        retention: Most records that a stream keeps.
        retention_s: Longest time that a stream keeps a record, s.
    """

    down: bool = False
    delay_s: float = 0.004
    appends_per_s: float = 400.0
    lose_answers: bool = False
    lose_appends: bool = False
    late_append_s: float = 0.0
    fraction: float = 1.0
    retention: int = 100_000
    retention_s: float = 1e9


class PlatformStandIn:
    """Serves the log and the host list, and takes faults by PUT /faults.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 takes any free one.
        seed: Seed of the random choice of appends that faults affect.
    """

    def __init__(self, host: str, port: int, seed: int = 1) -> None:
        self._streams: dict[str, list[Record]] = {}
        self._ends: dict[str, int] = {}
        self._hosts = HostList(0, frozenset(), frozenset())
        self._random = Random(seed)
        self._next_append = 0.0
        self._server = HttpServer(host, port, self.handle)
        self.faults = Faults()

    @property
    def port(self) -> int:
        """The port in use."""
        return self._server.port

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.run()

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        try:
            return await self._handle(request)
        except (msgspec.MsgspecError, KeyError, ValueError) as error:
            return json_response(_HTTP_BAD_REQUEST, {"detail": str(error)})

    async def _handle(self, request: Request) -> Response:
        path = request.path.strip("/").split("/")
        match (request.method, path):
            case ("PUT", ["faults"]):
                self.faults = msgspec.json.decode(request.body, type=Faults)
                return json_response(_HTTP_OK, self.faults)
            case ("PUT", ["hosts"]):
                self._hosts = msgspec.json.decode(request.body, type=HostList)
                return json_response(_HTTP_OK, {})
            case ("DELETE", ["streams", stream]):
                self._ends.pop(stream, None)
                self._streams.pop(stream, None)
                return json_response(_HTTP_OK, {})
        if self.faults.down:
            return json_response(_HTTP_UNAVAILABLE, {"detail": "down"})
        await curio.sleep(self.faults.delay_s)
        match (request.method, path):
            case ("POST", ["streams", stream, "records"]):
                return await self._append(stream, request.body.decode())
            case ("GET", ["streams", stream, "records"]):
                query = parse_qs(request.query)
                return self._read(stream, int(query["from"][0]), int(query["limit"][0]))
            case ("GET", ["hosts"]):
                return json_response(_HTTP_OK, self._hosts)
        return json_response(_HTTP_NOT_FOUND, {"detail": request.path})

    async def _append(self, stream: str, body: str) -> Response:
        await self._limit_append_rate()
        faults = self.faults
        affected = self._random.random() < faults.fraction
        lost = json_response(_HTTP_UNAVAILABLE, {"detail": "answer lost"})
        if affected and faults.lose_appends:
            return lost
        if affected and faults.late_append_s:
            await curio.spawn(self._add_late, stream, body, daemon=True)
            return lost
        offset = self._add(stream, body)
        if affected and faults.lose_answers:
            return lost
        return json_response(_HTTP_OK, Appended(offset))

    async def _limit_append_rate(self) -> None:
        """Sleep so that appends do not exceed `appends_per_s`."""
        now = time.monotonic()
        turn = max(now, self._next_append)
        self._next_append = turn + 1.0 / self.faults.appends_per_s
        await curio.sleep(turn - now)

    async def _add_late(self, stream: str, body: str) -> None:
        await curio.sleep(self.faults.late_append_s)
        self._add(stream, body)

    def _add(self, stream: str, body: str) -> int:
        offset = self._ends.get(stream, 0)
        self._ends[stream] = offset + 1
        records = self._streams.setdefault(stream, [])
        records.append(Record(offset, time.time(), body))
        return offset

    def _read(self, stream: str, offset: int, limit: int) -> Response:
        records = self._streams.get(stream, [])
        end = self._ends.get(stream, 0)
        self._expire(records)
        earliest = records[0].offset if records else end
        if offset < earliest:
            return json_response(_HTTP_GONE, Truncated(earliest))
        first = offset - earliest
        found = tuple(records[first : first + limit])
        batch = Batch(found, offset + len(found), end, time.time())
        return json_response(_HTTP_OK, batch)

    def _expire(self, records: list[Record]) -> None:
        del records[: -self.faults.retention]
        oldest = time.time() - self.faults.retention_s
        while records and records[0].time < oldest:
            del records[0]
