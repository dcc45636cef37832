"""Workers that another leader leads for a time, as lists of workers may differ.

Their callers wait for seconds, so that a task which starts again has the time to run.
"""

import pytest

from poplarhill import ErrorKind
from poplarhill_dev.leased import TICK_S, SimulatedWorker, World, simulated_job
from poplarhilld.leading import Leader
from poplarhilld.peers.offer_limits import DEFAULT_LIMITS

RUN_S = 0.6


def set_workers(world: World, leader: str, names: set[str]) -> None:
    """Let a leader lead some workers; its list lacks the others."""
    entries = {name: entry for name, entry in world.entries.items() if name in names}
    actions = world.leaders[leader].set_workers(world.now, world.now, entries)
    world.perform(leader, actions)


@pytest.fixture
def runner(world: World) -> SimulatedWorker:
    """Return the worker that runs the only task of a job, which h1 leads."""
    world.submit("h1", simulated_job("a", tasks=1, run_s=RUN_S, left_s=9.0))
    world.run(0.3)
    [runner] = (worker for worker in world.workers.values() if worker.running)
    return runner


def contend(world: World, runner: SimulatedWorker) -> Leader:
    """Let h2 claim the worker until it has acknowledged the end of the run there."""
    name = runner.entry.name
    h2 = world.add_leader("h2", 2, {name: runner.entry})
    while not runner.done:
        world.run(0.05)
    return h2


def assert_answered_at_once(world: World, within_s: float) -> None:
    world.run(within_s)
    outcome = world.job_outcome("a")
    assert outcome is not None
    assert outcome.error == ErrorKind.WORKER_LOST.value
    assert not outcome.not_run
    world.run(5.0)
    assert world.starts == 1
    assert not world.violations


# Guards against a second start of a task that is done: its leader gave up the worker to
# another one, which had acknowledged the end, and took the run for ended.
def test_a_task_on_a_worker_that_another_leader_has_starts_once(
    world: World, runner: SimulatedWorker
) -> None:
    others = set(world.workers) - {runner.entry.name}
    set_workers(world, "h1", others)
    contend(world, runner)
    assert_answered_at_once(world, 0.1)


# As above, when the list of the first leader names the worker to others.
def test_a_task_on_a_worker_of_a_shard_led_elsewhere_starts_once(
    world: World, runner: SimulatedWorker
) -> None:
    name = runner.entry.name
    entries = {other: entry for other, entry in world.entries.items() if other != name}
    leader = world.leaders["h1"]
    moved = frozenset((name,))
    world.perform("h1", leader.set_workers(world.now, world.now, entries, moved))
    contend(world, runner)
    assert_answered_at_once(world, 0.1)


# Guards against a second start of a task that is done: its leader claimed the worker
# again, where another one had acknowledged the end, and took the run for ended.
def test_a_task_on_a_worker_that_is_claimed_again_starts_once(
    world: World, runner: SimulatedWorker
) -> None:
    h2 = contend(world, runner)
    world.perform("h2", h2.resign())
    for _ in range(10):
        set_workers(world, "h1", set(world.workers))
        world.run(0.05)
    assert_answered_at_once(world, 0.1)


# Guards against jobs that are given up although the worker lists their runs or ends.
@pytest.mark.parametrize("taken_for_s", [0.05, 0.2])
def test_a_run_goes_on_at_a_worker_that_another_leader_had(
    world: World, runner: SimulatedWorker, taken_for_s: float
) -> None:
    h2 = world.add_leader("h2", 2, {runner.entry.name: runner.entry})
    world.run(taken_for_s)
    world.perform("h2", h2.resign())
    for _ in range(16):
        set_workers(world, "h1", set(world.workers))
        world.run(0.05)
    assert world.job_outcome("a").error == ""
    assert world.starts == 1
    assert not world.violations


# Guards against a second start of a task that is done: its leader could not reach the
# worker, took its lease for expired, and another leader had renewed it.
def test_a_task_on_a_worker_that_only_another_leader_reaches_starts_once(
    world: World, runner: SimulatedWorker
) -> None:
    name = runner.entry.name
    world.cut = lambda leader, worker: (leader, worker) == ("h1", name)
    contend(world, runner)
    world.run(5.0)
    assert world.starts == 1
    assert not world.violations


# Guards against a run that the renewals of its former leader keep alive when its stop
# orders are lost.
def test_a_run_whose_stop_orders_are_lost_ends_in_time(world: World) -> None:
    near = {"w0"}
    far = {name: entry for name, entry in world.entries.items() if name not in near}
    set_workers(world, "h1", near)
    world.run(1.0)
    h2 = world.add_leader("h2", 2, far)
    moved = frozenset(near)
    world.perform("h2", h2.set_workers(world.now, world.now, far, moved))
    world.submit("h1", simulated_job("a", tasks=1, run_s=5.0, left_s=12.0))
    world.run(0.5)
    world.loses_stops = lambda leader, worker: worker in near
    world.hand_over("h2", "a")
    world.run(DEFAULT_LIMITS.runs_ended_after_s + TICK_S)
    assert not world.workers["w0"].running
    world.run(2.0)
    assert world.starts == 1  # the next leader can't know that it is not done
    assert not world.violations


# Guards against an order that names the clock of a worker's former process: the new
# one, whose clock begins anew, takes it for valid long after it was sent.
@pytest.mark.parametrize("seed", range(4))
def test_an_order_to_the_former_process_of_a_worker_starts_nothing(
    world: World, seed: int
) -> None:
    world.random.seed(seed)
    world.late_order_share = 1.0
    world.submit("h1", simulated_job("a", tasks=1, run_s=15.0, left_s=20.0))
    world.late_order_share = 0.0
    [ordered] = (
        name for name, led in world.leaders["h1"].workers.items() if led.reservations
    )
    world.run(1.0)  # until the order has expired there
    assert world.starts == 1
    world.crash(ordered, down_s=0.2)
    world.run(14.0)
    assert world.starts == 1
    assert not world.violations
