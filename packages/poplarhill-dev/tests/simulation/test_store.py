"""Hosts that read the list of workers from a store with faults."""

import math

import pytest

from poplarhill_dev.leased import simulated_job
from poplarhill_dev.simulation import SMALL_FLEET, FleetWorld
from poplarhill_dev.simulation.host import WorkersRead
from poplarhill_dev.simulation.scenario import run_scenario
from poplarhill_dev.simulation.store import Omission, Refusal, Staleness

HOST, OTHER = "dc1-05", "dc1-06"
KEPT_S = 9.0  # longer than hosts keep workers that are no longer listed


@pytest.fixture
def fleet() -> FleetWorld:
    return FleetWorld(1, SMALL_FLEET)


def known_to(fleet: FleetWorld, host: str) -> set[str]:
    return set(fleet.hosts[host].state.registry.workers)


@pytest.mark.parametrize(
    ("fault", "known"),
    [
        (Refusal(frozenset([HOST])), {"w0", "w1", "w2"}),
        (Omission(frozenset([HOST]), frozenset(["w0"])), {"w1", "w2", "w100"}),
        (Staleness(frozenset([HOST]), KEPT_S), {"w0", "w1", "w2"}),
    ],
)
def test_the_lists_of_hosts_differ(
    fleet: FleetWorld, fault: Refusal | Omission | Staleness, known: set[str]
) -> None:
    fleet.store.inject(fault, KEPT_S)
    fleet.add_workers(1)
    fleet.run(KEPT_S - 0.1)
    compared = {"w0", "w1", "w2", "w100"}
    assert known_to(fleet, HOST) & compared == known
    assert known_to(fleet, OTHER) & compared == compared
    fleet.run(2.5)
    assert known_to(fleet, HOST) & compared == compared


def test_a_host_that_starts_knows_no_workers_while_the_store_is_down(
    fleet: FleetWorld,
) -> None:
    fleet.store.go_down(3.0)
    fleet.kill(HOST, 0.1)
    fleet.run(2.5)
    assert not fleet.hosts[HOST].state.registry_read
    assert len(known_to(fleet, OTHER)) == 100
    fleet.run(1.0)
    assert len(known_to(fleet, HOST)) == 100


def test_workers_that_leave_drain_and_are_no_longer_listed_before_they_stop(
    fleet: FleetWorld,
) -> None:
    fleet.leave_workers(["w0"], 2.0, 1.0)
    fleet.run(1.9)
    assert fleet.store.read(HOST)["w0"].draining
    fleet.run(0.2)
    assert "w0" not in fleet.store.read(HOST)
    assert not fleet.workers["w0"].refusing
    fleet.run(1.0)
    assert fleet.workers["w0"].refusing


# Guards against orders that are carried out late by a worker that has left.
def test_workers_that_have_left_carry_out_no_late_orders(fleet: FleetWorld) -> None:
    fleet.late_order_share = 1.0
    fleet.submit_job(simulated_job("j0"), "dc1", HOST)
    fleet.run(0.01)
    for name in fleet.workers:
        fleet.crash(name, down_s=math.inf)
    fleet.run(13.0)
    assert fleet.starts_by_task == {}


# Shows that the faults of the store reach the hosts in the random scenarios.
def test_the_store_has_faults_in_the_random_scenarios() -> None:
    lines = [line for seed in (18, 37) for line in run_scenario(seed).lines]
    faults = [what for _, who, what in lines if who == "store"]
    for words in ("down", "refuses", "omits", "old", "deletes", "new", "drain"):
        assert any(words in fault for fault in faults), words
    counts = {what.workers for _, _, what in lines if isinstance(what, WorkersRead)}
    assert len(counts) > 2
