"""The relay delays and cuts what passes between data centres."""

import curio
import msgspec
import pytest

from poplarhill.http import (
    Connection,
    HttpServer,
    Limits,
    Request,
    connect_from,
    fetch,
    json_response,
)
from poplarhill_dev.fleet import free_port
from poplarhill_dev.relay import Relay
from poplarhill_dev.relay_plan import Cut, RelayPlan, Route

HOST = "127.0.0.1"
IN_DC1 = "127.0.1.9"
IN_DC2 = "127.0.2.9"
WAIT_S = 20.0


async def set_cuts(plan: RelayPlan, cuts: list[Cut]) -> None:
    body = msgspec.json.encode(cuts)
    await fetch(HOST, plan.control, Request("PUT", "/cuts", body=body), WAIT_S)


@pytest.mark.parametrize("direction", ["in", "out", "both"])
def test_a_cut_holds_bytes_back_until_it_heals(direction) -> None:
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
