"""A host opens a new connection if those to the store stop responding."""

import curio
import msgspec
import pytest

from poplarhill.http import Request, fetch
from poplarhill.types import Address
from poplarhill_dev.loopback import free_port
from poplarhill_dev.relay import Relay
from poplarhill_dev.relay_plan import Break, RelayPlan, Route
from poplarhill_platform import StoreDirectory
from poplarhill_platform_dev import StandInStore, configuration
from poplarhilld.entry.ports import UnavailableError

HOST = "127.0.0.1"
H1_SOURCE = "127.9.1.1"
TIMEOUT_S = 20.0


# Guards against one timeout for each connection that was open: on a host that could
# reach the store again, a version came into force 3.6 s after it was accepted.
def test_one_timeout_closes_all_connections_to_the_store() -> None:
    async def main() -> None:
        store = StandInStore()
        store.put("keyed.op", "config", configuration(1, ["/a/"], 1.5))
        store_address = Address(HOST, free_port())
        routes = [Route(free_port(), *store_address, "store")]
        plan = RelayPlan(free_port(), 0.0, routes, {H1_SOURCE: "h1"})
        await curio.spawn(store.server(*store_address).run, daemon=True)
        await curio.spawn(Relay(plan).run, daemon=True)
        await curio.sleep(0)
        directory = StoreDirectory(Address(HOST, routes[0].port), H1_SOURCE)
        async with curio.TaskGroup() as group:
            await group.spawn(directory.next_catalogue)
            await group.spawn(directory.workers)
            await group.spawn(directory.hosts)
        break_body = msgspec.json.encode([Break("h1", silent=True)])
        request = Request("PUT", "/breaks", body=break_body)
        await fetch(HOST, plan.control, request, TIMEOUT_S)
        store.put("keyed.op", "config", configuration(2, ["/b/"], 1.5))
        with pytest.raises(UnavailableError):
            await directory.next_catalogue()
        assert (await directory.next_catalogue()).version == 2

    curio.run(main)
