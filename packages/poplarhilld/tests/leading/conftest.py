"""A world of four workers and one leader."""

import pytest

from poplarhill_dev.leased import SimulatedWorker, World, worker_entry


@pytest.fixture
def world() -> World:
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(4))
    world.add_leader("h1", 1)
    world.run(0.2)
    return world
