"""The relay delays and cuts connections between data centres."""

import curio
import msgspec
import pytest

from poplarhill.http import (
    Connection,
    ConnectionLostError,
    HttpServer,
    Limits,
    Request,
    connect_from,
    fetch,
    json_response,
)
from poplarhill_dev.fleet import free_port
from poplarhill_dev.relay import Relay
from poplarhill_dev.relay_plan import Break, Cut, LinkFault, RelayPlan, Route

HOST = "127.0.0.1"
IN_DC1 = "127.0.1.9"
IN_DC2 = "127.0.2.9"
IN_H1 = "127.9.1.1"
IN_H2 = "127.9.1.2"
WAIT_S = 20.0


async def set_cuts(plan: RelayPlan, cuts: list[Cut]) -> None:
    body = msgspec.json.encode(cuts)
    await fetch(HOST, plan.control, Request("PUT", "/cuts", body=body), WAIT_S)


@pytest.mark.parametrize("direction", ["in", "out", "both"])
def test_a_cut_holds_bytes_back_until_it_ends(direction) -> None:
    async def main() -> None:

        async def handle(request):
            return json_response(200, {})

        server = HttpServer(HOST, 0, handle)
        plan = RelayPlan(
            free_port(), 0.001, [Route(free_port(), HOST, server.port, "dc2")]
        )
        relay = await curio.spawn(Relay(plan).run, daemon=True)
        await curio.spawn(server.run, daemon=True)
        await curio.sleep(0)
        await set_cuts(plan, [Cut("dc1", direction)])
        far = Connection(
            await connect_from(IN_DC1, HOST, plan.routes[0].port), Limits()
        )
        near = Connection(
            await connect_from(IN_DC2, HOST, plan.routes[0].port), Limits()
        )
        waiting = await curio.spawn(far.exchange, Request("GET", "/"))
        assert (await near.exchange(Request("GET", "/"))).status == 200
        await curio.sleep(0.1)
        assert not waiting.terminated
        await set_cuts(plan, [])
        assert (await curio.timeout_after(WAIT_S, waiting.join)).status == 200
        await far.close()
        await near.close()
        await relay.cancel()

    curio.run(main)


async def put_value(plan: RelayPlan, path: str, value: list) -> None:
    body = msgspec.json.encode(value)
    await fetch(HOST, plan.control, Request("PUT", path, body=body), WAIT_S)


async def start_relay(
    places: dict[str, str],
) -> tuple[RelayPlan, list[str], curio.Task]:
    """Return the plan of a running relay, the paths requested of its target, a task."""
    requested: list[str] = []

    async def handle(request):
        requested.append(request.path)
        return json_response(200, {})

    server = HttpServer(HOST, 0, handle)
    routes = [Route(free_port(), HOST, server.port, "store")]
    plan = RelayPlan(free_port(), 0.001, routes, places)
    relay = await curio.spawn(Relay(plan).run, daemon=True)
    await curio.spawn(server.run, daemon=True)
    await curio.sleep(0)
    return plan, requested, relay


async def connect(plan: RelayPlan, source: str) -> Connection:
    return Connection(await connect_from(source, HOST, plan.routes[0].port), Limits())


# A one-way cut is how an answer is lost after its request has taken effect.
@pytest.mark.parametrize(
    ("fault", "arrives"),
    [
        (LinkFault("h1", "store", held=True), False),
        (LinkFault("store", held=True), True),
    ],
)
def test_a_link_fault_holds_bytes_back_one_way(fault: LinkFault, arrives: bool) -> None:
    async def main() -> None:
        plan, requested, relay = await start_relay({IN_H1: "h1", IN_H2: "h2"})
        connection = await connect(plan, IN_H1)
        await connection.exchange(Request("GET", "/first"))
        await put_value(plan, "/faults", [fault])
        waiting = await curio.spawn(connection.exchange, Request("GET", "/held"))
        await curio.sleep(0.2)
        assert not waiting.terminated
        assert ("/held" in requested) is arrives
        await put_value(plan, "/faults", [])
        assert (await curio.timeout_after(WAIT_S, waiting.join)).status == 200
        await connection.close()
        await relay.cancel()

    curio.run(main)


def test_connections_of_a_place_are_reset_or_silenced_and_new_ones_work() -> None:
    async def main() -> None:
        plan, _, relay = await start_relay({IN_H1: "h1", IN_H2: "h2"})
        other = await connect(plan, IN_H2)
        for silent in (False, True):
            connection = await connect(plan, IN_H1)
            await connection.exchange(Request("GET", "/"))
            await other.exchange(Request("GET", "/"))
            await put_value(plan, "/breaks", [Break("h1", silent)])
            if silent:
                with pytest.raises(curio.TaskTimeout):
                    await curio.timeout_after(
                        0.3, connection.exchange, Request("GET", "/")
                    )
            else:
                with pytest.raises(ConnectionLostError):
                    await connection.exchange(Request("GET", "/"))
            assert (await other.exchange(Request("GET", "/"))).status == 200
            again = await connect(plan, IN_H1)
            assert (await again.exchange(Request("GET", "/"))).status == 200
        await relay.cancel()

    curio.run(main)
