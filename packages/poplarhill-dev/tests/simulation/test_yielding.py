"""What a host has done by the time at which it tells that it leads nothing."""

import pytest

from poplarhill.types import Address
from poplarhill_dev.simulation.fleet import FleetWorld
from poplarhill_dev.simulation.host import SimulatedHost
from poplarhilld.peers.messages import Beat


# Once, a leader told that it had stopped before it dropped its jobs, so that it might
# order runs after another host had handed them over.
def test_a_leader_drops_its_jobs_before_it_tells_that_it_leads_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = FleetWorld(1, {"dc1": 3}, 3)
    leader = world.leader_of("dc1")
    workers_left: list[int] = []
    send = world.send

    def record(host: SimulatedHost, address: Address, messages: list) -> None:
        for message in messages:
            if host.name == leader and isinstance(message, Beat) and not message.claims:
                workers_left.append(len(host.state.leader.workers))
        send(host, address, messages)

    monkeypatch.setattr(world, "send", record)
    world.shut_down(leader, 1.0)
    world.run(2.0)
    assert workers_left
    assert not any(workers_left)
