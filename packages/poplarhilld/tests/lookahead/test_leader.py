"""A leader that looks ahead, in the simulated world."""

import pytest

from poplarhill.types import Resources
from poplarhill_dev.leased import (
    SimulatedJob,
    SimulatedWorker,
    World,
    job_offer,
    simulated_job,
    worker_entry,
)
from poplarhilld.decisions import LogDecision
from poplarhilld.lookahead import LookaheadMode, LookaheadOptions
from poplarhilld.lookahead.messages import LookaheadSwitched

ON = LookaheadOptions(LookaheadMode.ON)


def make_world(mode: LookaheadMode, workers: int = 2) -> World:
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(workers))
    world.add_leader("h1", 1, lookahead=LookaheadOptions(mode))
    world.run(0.2)
    return world


def submit_mix(world: World, seconds: float) -> None:
    """Keep small tasks waiting, and add one job of two large ones."""
    for number in range(round(seconds / 0.01)):
        at = world.now + 0.01 * number
        small = simulated_job(f"s{number}", run_s=0.1, cores=4.0, tasks=1)
        world.submit_at(at, "h1", small)
    large = simulated_job("large", run_s=0.1, cores=14.0, tasks=2, route="bulk")
    world.submit_at(world.now + 0.3, "h1", large)


@pytest.mark.parametrize(
    ("mode", "served"), [(LookaheadMode.ON, True), (LookaheadMode.OFF, False)]
)
def test_large_tasks_get_a_place_among_small_ones(
    mode: LookaheadMode, served: bool
) -> None:
    # Load: 1.25, one small task each 10 ms. Without reservations each gap is taken by a
    # small task before 14 cores are free on a worker.
    world = make_world(mode)
    submit_mix(world, 1.6)
    world.run(1.2)
    outcome = world.job_outcome("large")
    assert (outcome is not None and not outcome.error) is served
    assert world.violations == []
    assert (world.leaders["h1"].reservations > 0) is served


def test_a_worker_lost_under_a_reservation_holds_up_nothing() -> None:
    # A reservation on a lost worker must not keep tasks from the others.
    world = make_world(LookaheadMode.ON, workers=3)
    submit_mix(world, 1.6)
    world.run(0.35)
    world.workers["w0"].unreachable = True
    world.run(2.5)
    outcome = world.job_outcome("large")
    assert outcome is not None
    assert not outcome.error
    assert world.violations == []


def test_a_worker_that_shrinks_under_a_reservation_is_not_overfilled() -> None:
    world = make_world(LookaheadMode.ON, workers=3)
    submit_mix(world, 1.6)
    world.run(0.35)
    entries = dict(world.entries)
    entries["w0"] = entries["w0"]._replace(room=Resources(8.0, 32768, 0))
    leader = world.leaders["h1"]
    world.perform("h1", leader.set_workers(world.now, world.now, entries))
    world.run(2.5)
    outcome = world.job_outcome("large")
    assert outcome is not None
    assert not outcome.error
    assert world.violations == []


def test_wrong_estimates_leave_no_cores_idle_for_good() -> None:
    # Load: runs take seven times the declared time, so that no reserved place becomes
    # free when it is expected. All work must still be done.
    world = make_world(LookaheadMode.ON)
    for number in range(12):
        offer = job_offer(f"j{number}", run_s=0.03, cores=4.0 + number % 3 * 4, tasks=1)
        job = SimulatedJob(offer, 0.21, offer.steps[0].needs)
        world.submit_at(world.now + 0.02 * number, "h1", job)
    world.run(1.9)
    outcomes = [world.job_outcome(f"j{number}") for number in range(12)]
    assert all(outcome is not None and not outcome.error for outcome in outcomes)


def test_a_new_leader_rebuilds_the_timeline_from_adopted_runs() -> None:
    world = make_world(LookaheadMode.ON)
    long = simulated_job("long", run_s=0.6, cores=10.0, tasks=2)
    world.submit("h1", long)
    world.run(0.1)
    world.paused.add("h1")
    second = world.add_leader("h2", 2, lookahead=ON)
    world.submit(
        "h2", simulated_job("long", run_s=0.6, cores=10.0, tasks=2, handovers=1)
    )
    world.run(0.1)
    world.submit("h2", simulated_job("next", run_s=0.1, cores=14.0, tasks=1))
    world.run(1.3)
    outcome = world.job_outcome("next")
    assert outcome is not None
    assert not outcome.error
    assert second.looks_ahead
    assert world.violations == []


@pytest.mark.parametrize(("cores", "expected"), [(6.8, True), (2.0, False)])
def test_the_default_looks_ahead_where_tasks_are_sizeable(
    cores: float, expected: bool
) -> None:
    # Deployments with small tasks must behave as before.
    world = make_world(LookaheadMode.AUTO)
    for number in range(30):
        job = simulated_job(f"j{number}", run_s=0.01, cores=cores, tasks=1)
        world.submit_at(world.now + 0.03 * number, "h1", job)
    world.run(1.0)
    assert world.leaders["h1"].looks_ahead is expected


def test_a_switch_is_logged_once() -> None:
    world = make_world(LookaheadMode.AUTO)
    leader = world.leaders["h1"]
    lines = []
    for number in range(30):
        offer = job_offer(f"j{number}")
        actions = leader.handle_offer(world.now, "e1", 1, offer)
        lines += [a.decision for a in actions if isinstance(a, LogDecision)]
    assert sum(isinstance(line, LookaheadSwitched) for line in lines) == 1
