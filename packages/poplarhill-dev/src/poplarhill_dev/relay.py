"""A TCP relay between data centres that delays, cuts and breaks connections.

The source of a connection is found by its IP address: in the plan's places, or as
127.0.N.x for the Nth data centre; bytes of other sources are forwarded without a
delay. While a cut lasts, bytes are held back, as in a network that drops packets
until TCP retransmits them. They arrive when the cut ends, if both ends have kept
the connection open.
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
_MAX_BUFFERED_CHUNKS = 256
_CUT_POLL_INTERVAL_S = 0.01
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(eq=False)
class _RelayedConnection:
    """One connection through the relay.

    Attributes:
        source: Place of the client; empty if it is not known.
        target: Place of the target.
        client: Socket to the client.
        destination: Socket to the target, once it is connected.
        task: Task that relays the connection.
        silent: Whether bytes are held back for good.
    """

    source: str
    target: str
    client: curio.io.Socket
    destination: curio.io.Socket | None = None
    task: curio.Task | None = None
    silent: bool = False


class Relay:
    """Forwards the connections of its routes.

    Args:
        plan: Its routes, its delay and its control port.
    """

    def __init__(self, plan: RelayPlan) -> None:
        self._plan = plan
        self._cuts: list[Cut] = []
        self._faults: list[LinkFault] = []
        self._connections: set[_RelayedConnection] = set()
        self._control = HttpServer(_HOST, plan.control, self._handle_control)

    async def run(self) -> None:
        """Relay until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._control.run)
            for route in self._plan.routes:
                await group.spawn(self._accept, route)

    async def _handle_control(self, request: Request) -> Response:
        match request.path:
            case "/cuts":
                self._cuts = msgspec.json.decode(request.body, type=list[Cut])
            case "/faults":
                self._faults = msgspec.json.decode(request.body, type=list[LinkFault])
            case "/breaks":
                for connection_break in msgspec.json.decode(
                    request.body, type=list[Break]
                ):
                    await self._break_connections(connection_break)
            case _:
                return json_response(404, {})
        return json_response(200, {})

    async def _break_connections(self, connection_break: Break) -> None:
        for connection in list(self._connections):
            if connection_break.place not in (connection.source, connection.target):
                continue
            if connection_break.silent:
                connection.silent = True
                continue
            for sock in (connection.client, connection.destination):
                if sock is not None:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
            await connection.task.cancel(blocking=False)

    async def _accept(self, route: Route) -> None:
        server = curio.tcp_server_socket(_HOST, route.port, backlog=1024)
        async with server:
            while True:
                client, (ip, _) = await server.accept()
                connection = _RelayedConnection(
                    self._source_place(ip), route.place, client
                )
                connection.task = await curio.spawn(
                    self._relay, connection, route, daemon=True
                )

    def _source_place(self, ip: str) -> str:
        if ip in self._plan.places:
            return self._plan.places[ip]
        number = int(ip.split(".")[2])
        return DATA_CENTRES[number - 1] if number else ""

    async def _relay(self, connection: _RelayedConnection, route: Route) -> None:
        self._connections.add(connection)
        try:
            async with connection.client:
                with contextlib.suppress(OSError):
                    connection.destination = await curio.open_connection(
                        route.host, route.target
                    )
                    async with (
                        connection.destination,
                        curio.TaskGroup(wait=all) as group,
                    ):
                        await group.spawn(self._forward, connection, True)
                        await group.spawn(self._forward, connection, False)
        finally:
            self._connections.discard(connection)

    async def _forward(self, connection: _RelayedConnection, from_client: bool) -> None:
        """Forward bytes one way until the sending end closes the connection."""
        origin, destination = connection.client, connection.destination
        link = (connection.source, connection.target)
        if not from_client:
            origin, destination, link = destination, origin, link[::-1]
        destination.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffered: curio.Queue = curio.Queue(_MAX_BUFFERED_CHUNKS)
        writer = await curio.spawn(
            self._write_delayed, connection, destination, buffered, link
        )
        data = b"-"
        try:
            while data:
                data = await origin.recv(_READ_BYTES)
                await buffered.put((time.monotonic() + self._delay_s(link), data))
            await writer.join()
        finally:
            await writer.cancel()

    async def _write_delayed(
        self,
        connection: _RelayedConnection,
        destination: curio.io.Socket,
        buffered: curio.Queue,
        link: tuple[str, str],
    ) -> None:
        while True:
            due, data = await buffered.get()
            await curio.sleep(max(0.0, due - time.monotonic()))
            while connection.silent or self._is_cut(link):
                await curio.sleep(_CUT_POLL_INTERVAL_S)
            if not data:
                await destination.shutdown(socket.SHUT_WR)
                return
            await destination.sendall(data)

    def _delay_s(self, link: tuple[str, str]) -> float:
        if "" in link or link[0] == link[1]:
            return 0.0
        faults = (fault.delay_s for fault in self._faults if fault.covers(link))
        return self._plan.delay_s + sum(faults)

    def _is_cut(self, link: tuple[str, str]) -> bool:
        source, target = link
        if not source or not target or source == target:
            return False
        if any(fault.held and fault.covers(link) for fault in self._faults):
            return True
        return any(
            (cut.data_centre == source and cut.direction != "in")
            or (cut.data_centre == target and cut.direction != "out")
            for cut in self._cuts
        )


async def run_relay(path: Path) -> None:
    """Run the relay that the plan in a file describes."""
    await Relay(msgspec.json.decode(path.read_bytes(), type=RelayPlan)).run()
