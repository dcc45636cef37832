"""Jobs that move to another leader while orders of theirs have no answer."""

import pytest

from poplarhill import ErrorKind
from poplarhill_dev.leased import SimulatedWorker, World, simulated_job, worker_entry
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leading import Order
from poplarhilld.peers.messages import JobWithdrawn


@pytest.fixture
def split() -> World:
    """Two leaders of two workers each; the first one's are in another data centre."""
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(4))
    for worker in list(world.workers.values())[:2]:
        worker.entry = worker.entry._replace(data_centre="dc2")
    names = list(world.entries)
    for number, name in enumerate(("h1", "h2")):
        led = {one: world.entries[one] for one in names[2 * number : 2 * number + 2]}
        others = frozenset(names) - led.keys()
        leader = world.add_leader(name, number + 1, led)
        world.perform(name, leader.set_workers(world.now, world.now, led, others))
    world.run(0.2)
    return world


def withdraw(world: World, leader: str, job_id: str) -> None:
    """Withdraw a job from a leader, as a host does that hands it over."""
    withdrawn = JobWithdrawn(job_id)
    actions = world.leaders[leader].handle_withdrawal(world.now, "e1", withdrawn)
    world.perform(leader, actions)


# Guards against an order without an answer that is carried out after the job has moved.
@pytest.mark.parametrize("seed", range(4))
def test_a_delayed_order_starts_nothing_beside_the_next_leader(
    split: World, seed: int
) -> None:
    split.random.seed(seed)
    split.late_order_share = 0.7
    split.submit("h1", simulated_job("a", tasks=4, run_s=4.0, left_s=20.0))
    split.run(0.3)
    split.late_order_share = 0.0
    withdraw(split, "h1", "a")
    split.hand_over("h2", "a")
    split.run(14.0)
    assert split.job_outcome("a").error == ErrorKind.WORKER_LOST.value
    assert not split.violations


# Guards against giving a job back while an order of it may still be carried out.
@pytest.mark.parametrize("seed", range(4))
def test_an_evacuated_job_moves_only_after_its_orders_are_settled(
    split: World, seed: int
) -> None:
    split.random.seed(seed)
    split.late_order_share = 0.7
    split.submit("h1", simulated_job("a", tasks=2, run_s=2.0, left_s=20.0))
    leader = split.leaders["h1"]
    split.perform("h1", leader.set_evacuated(split.now, frozenset({"dc2"})))
    split.late_order_share = 0.0
    for _ in range(80):
        split.run(0.05)
        outcome = split.job_outcome("a")
        if outcome is not None and outcome.elsewhere:
            split.submit("h2", split.jobs["a"])
            split.reports.clear()
    split.run(12.0)
    assert not split.violations


# Once, an order that was given just before the offer of its job lapsed was valid for
# half a second more. If it was delayed and its leader lost, the run began after callers
# send the job again.
def test_a_delayed_order_starts_nothing_after_the_offer_of_its_job(
    split: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    split.submit("h1", simulated_job("a", tasks=4, run_s=0.95, left_s=9.0))
    split.silent_hosts.add("e2")
    # Its offer keeps the leases short, so that a task may start late.
    short = simulated_job("short", tasks=2, run_s=3.0, cores=2.0, left_s=9.0)
    split.submit("h1", short, "e2")
    split.submit("h1", simulated_job("b", tasks=2, run_s=3.0, left_s=9.0), "e2")
    split.run(0.9)
    starts = split.starts

    def delay(leader: str, worker: WorkerEntry, order: Order) -> None:
        split._schedule(0.4, split._start, leader, worker.name, order)

    monkeypatch.setattr(split, "_send_start", delay)
    split.run(0.08)
    assert split.leaders["h1"].jobs["b"].under_way
    split.paused.add("h1")
    split.run(1.0)
    assert split.starts == starts
