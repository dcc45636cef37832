"""A TCP relay between data centres that delays, cuts and breaks what passes.

A connection's source is told by its IP address: by the plan's places, or as
127.0.N.x for the Nth data centre; bytes of other sources pass at once. While a
cut lasts, bytes are held back, as they are by a network that drops packets until
TCP sends them again; what is held back arrives when the cut ends, if both ends
still wait.
"""

import contextlib
import socket
import struct
import time
from dataclasses import dataclass
from pathlib import Path

import curio
import msgspec

from poplarhill.http import HttpServer, Request, Response, json_response
from poplarhill_dev.fleet import DATA_CENTRES
from poplarhill_dev.relay_plan import Break, Cut, LinkFault, RelayPlan, Route

_HOST = "127.0.0.1"
_READ_BYTES = 65536
_HELD_CHUNKS = 256
_POLL_S = 0.01
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(eq=False)
class _Passage:
    """One connection through the relay."""

    source: str
    target: str
    client: curio.io.Socket
    far: curio.io.Socket | None = None
    task: curio.Task | None = None
    silent: bool = False


class Relay:
    """Passes bytes on by its routes.

    Args:
        plan: What it does.
    """

    def __init__(self, plan: RelayPlan) -> None:
        self._plan = plan
        self._cuts: list[Cut] = []
        self._faults: list[LinkFault] = []
        self._open: set[_Passage] = set()
        self._control = HttpServer(_HOST, plan.control, self._obey)

    async def run(self) -> None:
        """Relay until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._control.run)
            for route in self._plan.routes:
                await group.spawn(self._accept, route)

    async def _obey(self, request: Request) -> Response:
        match request.path:
            case "/cuts":
                self._cuts = msgspec.json.decode(request.body, type=list[Cut])
            case "/faults":
                self._faults = msgspec.json.decode(request.body, type=list[LinkFault])
            case "/breaks":
                for broken in msgspec.json.decode(request.body, type=list[Break]):
                    await self._break(broken)
            case _:
                return json_response(404, {})
        return json_response(200, {})

    async def _break(self, broken: Break) -> None:
        for passage in list(self._open):
            if broken.place not in (passage.source, passage.target):
                continue
            if broken.silent:
                passage.silent = True
                continue
            for sock in (passage.client, passage.far):
                if sock is not None:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
            await passage.task.cancel(blocking=False)

    async def _accept(self, route: Route) -> None:
        server = curio.tcp_server_socket(_HOST, route.port, backlog=1024)
        async with server:
            while True:
                client, (ip, _) = await server.accept()
                passage = _Passage(self._source(ip), route.place, client)
                passage.task = await curio.spawn(
                    self._relay, passage, route, daemon=True
                )

    def _source(self, ip: str) -> str:
        if ip in self._plan.places:
            return self._plan.places[ip]
        number = int(ip.split(".")[2])
        return DATA_CENTRES[number - 1] if number else ""

    async def _relay(self, passage: _Passage, route: Route) -> None:
        self._open.add(passage)
        try:
            async with passage.client:
                with contextlib.suppress(OSError):
                    passage.far = await curio.open_connection(route.host, route.target)
                    async with passage.far, curio.TaskGroup(wait=all) as group:
                        await group.spawn(self._pass, passage, True)
                        await group.spawn(self._pass, passage, False)
        finally:
            self._open.discard(passage)

    async def _pass(self, passage: _Passage, there: bool) -> None:
        """Pass bytes one way until the near end closes."""
        near, far = passage.client, passage.far
        way = (passage.source, passage.target)
        if not there:
            near, far, way = far, near, way[::-1]
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        held: curio.Queue = curio.Queue(_HELD_CHUNKS)
        writer = await curio.spawn(self._deliver, passage, far, held, way)
        data = b"-"
        try:
            while data:
                data = await near.recv(_READ_BYTES)
                await held.put((time.monotonic() + self._delay_s(way), data))
            await writer.join()
        finally:
            await writer.cancel()

    async def _deliver(
        self,
        passage: _Passage,
        far: curio.io.Socket,
        held: curio.Queue,
        way: tuple[str, str],
    ) -> None:
        while True:
            due, data = await held.get()
            await curio.sleep(max(0.0, due - time.monotonic()))
            while passage.silent or self._is_cut(way):
                await curio.sleep(_POLL_S)
            if not data:
                await far.shutdown(socket.SHUT_WR)
                return
            await far.sendall(data)

    def _delay_s(self, way: tuple[str, str]) -> float:
        if "" in way or way[0] == way[1]:
            return 0.0
        faults = (fault.delay_s for fault in self._faults if fault.covers(way))
        return self._plan.delay_s + sum(faults)

    def _is_cut(self, way: tuple[str, str]) -> bool:
        source, target = way
        if not source or not target or source == target:
            return False
        if any(fault.held and fault.covers(way) for fault in self._faults):
            return True
        return any(
            (cut.data_centre == source and cut.direction != "in")
            or (cut.data_centre == target and cut.direction != "out")
            for cut in self._cuts
        )


async def run_relay(path: Path) -> None:
    """Run the relay that a plan's file describes."""
    await Relay(msgspec.json.decode(path.read_bytes(), type=RelayPlan)).run()
