"""A host whose connections to the store go silent reads on by a new one."""

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
IN_H1 = "127.9.1.1"
LIMIT_S = 20.0


# Each connection that was open cost a time-out of its own: a version came into force
# 3.6 s after it was accepted, on a host that was in touch again.
def test_one_timeout_at_the_store_is_enough() -> None:
    async def main() -> None:
        store = StandInStore()
        store.put("keyed.op", "config", configuration(1, ["/a/"], 1.5))
        behind = Address(HOST, free_port())
        routes = [Route(free_port(), *behind, "store")]
        plan = RelayPlan(free_port(), 0.0, routes, {IN_H1: "h1"})
        await curio.spawn(store.server(*behind).run, daemon=True)
        await curio.spawn(Relay(plan).run, daemon=True)
        await curio.sleep(0)
        directory = StoreDirectory(Address(HOST, routes[0].port), IN_H1)
        async with curio.TaskGroup() as group:
            await group.spawn(directory.next_catalogue)
            await group.spawn(directory.workers)
            await group.spawn(directory.hosts)
        silence = msgspec.json.encode([Break("h1", silent=True)])
        breaks = Request("PUT", "/breaks", body=silence)
        await fetch(HOST, plan.control, breaks, LIMIT_S)
        store.put("keyed.op", "config", configuration(2, ["/b/"], 1.5))
        with pytest.raises(UnavailableError):
            await directory.next_catalogue()
        assert (await directory.next_catalogue()).version == 2

    curio.run(main)
