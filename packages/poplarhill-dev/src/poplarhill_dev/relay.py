"""A TCP relay between data centres that delays and cuts what passes.

A connection's source data centre is told by its IP address, 127.0.N.x for the
Nth data centre; bytes of other sources pass at once. While a cut lasts, bytes
are held back, as they are by a network that drops packets until TCP sends them
again; what is held back arrives when the cut ends, if both ends still wait.
"""

import contextlib
import socket
import time
from pathlib import Path

import curio
import msgspec

from poplarhill.http import HttpServer, Request, Response, json_response
from poplarhill_dev.fleet import DATA_CENTRES
from poplarhill_dev.relay_plan import Cut, RelayPlan, Route

_HOST = "127.0.0.1"
_READ_BYTES = 65536
_HELD_CHUNKS = 256
_POLL_S = 0.01


class Relay:
    """Passes bytes on by its routes.

    Args:
        plan: What it does.
    """

    def __init__(self, plan: RelayPlan) -> None:
        self._plan = plan
        self._cuts: list[Cut] = []
        self._control = HttpServer(_HOST, plan.control, self._set_cuts)

    async def run(self) -> None:
        """Relay until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._control.run)
            for route in self._plan.routes:
                await group.spawn(self._accept, route)

    async def _set_cuts(self, request: Request) -> Response:
        self._cuts = msgspec.json.decode(request.body, type=list[Cut])
        return json_response(200, {})

    async def _accept(self, route: Route) -> None:
        server = curio.tcp_server_socket(_HOST, route.port, backlog=1024)
        async with server:
            while True:
                client, (ip, _) = await server.accept()
                await curio.spawn(self._relay, client, _source(ip), route, daemon=True)

    async def _relay(self, client: curio.io.Socket, source: str, route: Route) -> None:
        async with client:
            with contextlib.suppress(OSError):
                far = await curio.open_connection(route.host, route.target)
                async with far, curio.TaskGroup(wait=all) as group:
                    there, back = (
                        (source, route.data_centre),
                        (route.data_centre, source),
                    )
                    await group.spawn(self._pass, client, far, there)
                    await group.spawn(self._pass, far, client, back)

    async def _pass(
        self, near: curio.io.Socket, far: curio.io.Socket, way: tuple[str, str]
    ) -> None:
        """Pass bytes one way until the near end closes."""
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        held: curio.Queue = curio.Queue(_HELD_CHUNKS)
        writer = await curio.spawn(self._deliver, far, held, way)
        delay_s = self._plan.delay_s if "" not in way and way[0] != way[1] else 0.0
        data = b"-"
        try:
            while data:
                data = await near.recv(_READ_BYTES)
                await held.put((time.monotonic() + delay_s, data))
            await writer.join()
        finally:
            await writer.cancel()

    async def _deliver(
        self, far: curio.io.Socket, held: curio.Queue, way: tuple[str, str]
    ) -> None:
        while True:
            due, data = await held.get()
            await curio.sleep(max(0.0, due - time.monotonic()))
            while self._is_cut(way):
                await curio.sleep(_POLL_S)
            if not data:
                await far.shutdown(socket.SHUT_WR)
                return
            await far.sendall(data)

    def _is_cut(self, way: tuple[str, str]) -> bool:
        source, target = way
        if not source or not target or source == target:
            return False
        return any(
            (cut.data_centre == source and cut.direction != "in")
            or (cut.data_centre == target and cut.direction != "out")
            for cut in self._cuts
        )


async def run_relay(path: Path) -> None:
    """Run the relay that a plan's file describes."""
    await Relay(msgspec.json.decode(path.read_bytes(), type=RelayPlan)).run()


def _source(ip: str) -> str:
    number = int(ip.split(".")[2])
    return DATA_CENTRES[number - 1] if number else ""
