"""What a leader tells of the age of the offers for the runs that it may leave."""

import math

import pytest

from poplarhill_dev.leased import World, simulated_job
from poplarhilld.leading import Leader
from poplarhilld.peers.offer_limits import DEFAULT_LIMITS

LIFETIME_S = DEFAULT_LIMITS.lifetime_s


def submit_and_lose_host(world: World) -> float:
    """Submit a job whose host falls silent; return when it was offered last."""
    world.submit("h1", simulated_job("a", tasks=4, run_s=5.0, left_s=9.0))
    world.silent_hosts.add("e1")
    return world.now


def lose_host_and_leader(world: World) -> tuple[float, Leader]:
    """Lose the host of a job, then its leader.

    Returns:
        When the job was offered last, and the next leader.
    """
    offered_at = submit_and_lose_host(world)
    world.run(0.5)
    world.paused.add("h1")
    return offered_at, world.add_leader("h2", 2, former_heard_at=(world.now,))


# Guards against a successor that takes the runs of a lost host for newer than they are.
def test_a_leader_tells_the_time_of_its_oldest_offer(world: World) -> None:
    offered_at = submit_and_lose_host(world)
    world.run(0.5)
    world.submit("h1", simulated_job("b", run_s=5.0, left_s=9.0), "e2")
    told_at = world.leaders["h1"].report_oldest_offer(world.now)
    assert told_at == pytest.approx(offered_at)


# Guards against a leader that is lost before it has learnt which runs it has taken
# over: the next one may not have heard the leader before it.
def test_a_leader_passes_on_what_the_former_one_told_until_workers_reply(
    world: World,
) -> None:
    offered_at, h2 = lose_host_and_leader(world)
    assert h2.report_oldest_offer(world.now) == pytest.approx(offered_at)


# Guards against forgetting the runs that a leader has found once all workers reply.
def test_a_leader_passes_on_what_the_former_one_told_of_unclaimed_runs(
    world: World,
) -> None:
    offered_at, h2 = lose_host_and_leader(world)
    world.run(0.1)
    assert all(worker.confirmed for worker in h2.workers.values())
    assert h2.report_oldest_offer(world.now) == pytest.approx(offered_at)
    world.run(1.0)
    assert not any(worker.running for worker in world.workers.values())
    assert h2.report_oldest_offer(world.now) > world.now - 0.5


# Guards against a guess in place of what a leader that was never heard would tell.
def test_a_leader_that_knows_nothing_of_the_former_one_tells_no_time(
    world: World,
) -> None:
    submit_and_lose_host(world)
    world.run(0.5)
    world.paused.add("h1")
    h2 = world.add_leader("h2", 2)
    world.run(0.1)
    assert h2.report_oldest_offer(world.now) == -math.inf


# Guards against runs on an unreachable worker that were given up with their job.
def test_a_leader_tells_of_runs_on_a_lost_worker(world: World) -> None:
    h1 = world.leaders["h1"]
    world.submit("h1", simulated_job("a", tasks=1, run_s=5.0, left_s=9.0))
    world.run(0.1)
    [name] = [name for name, worker in world.workers.items() if worker.running]
    world.workers[name].unreachable = True
    world.silent_hosts.add("e1")
    offered_at = h1.jobs["a"].offer_lapses_at - LIFETIME_S
    world.run(4.0)
    assert not h1.jobs
    assert h1.report_oldest_offer(world.now) <= offered_at


# Guards against a run that rests on an older offer than the next leader allows for.
def test_a_job_offered_before_the_time_that_was_told_starts_with_its_next_offer(
    world: World,
) -> None:
    h1 = world.leaders["h1"]
    world.run(0.1)
    age_s = world.now - h1.report_oldest_offer(world.now) + 0.1
    job = simulated_job("a", tasks=1, run_s=0.1, left_s=3.0)
    world.jobs["a"] = job
    world.perform("h1", h1.handle_offer(world.now, "e1", 1, job.offer, age_s))
    world.run(0.2)
    assert "a" in h1.jobs
    assert world.starts == 0
    world.perform("h1", h1.handle_offer(world.now, "e1", 1, job.offer))
    world.run(0.1)
    assert world.starts == 1
