"""Leaders that are lost together with entry hosts, and the runs that they leave."""

import pytest

from poplarhill_dev.leased import (
    SimulatedWorker,
    World,
    simulated_job,
    worker_entry,
)
from poplarhilld.shards.intervals import HOST_TIMEOUT_S

RESEND_DELAY_S = 1.3


@pytest.fixture
def lost(world: World) -> float:
    """Lose a leader that runs jobs of its own callers; return when that was."""
    world.submit("h1", simulated_job("a", tasks=4, run_s=5.0, left_s=9.0), "h1")
    world.run(0.62)  # just after a renewal of the leases
    world.silent_hosts.add("h1")
    world.paused.add("h1")
    return world.now


def assert_all_ended(world: World) -> None:
    assert not any(worker.running for worker in world.workers.values())
    assert not world.violations


# Once, a successor that noticed the loss late renewed the leases just before they
# expired, and stopped the runs 0.4 s after it had found them. Callers had sent the jobs
# again by then.
@pytest.mark.parametrize("noticed_after_s", [0.15, HOST_TIMEOUT_S, 0.9, 0.95])
def test_a_successor_stops_unclaimed_runs_in_time(
    world: World, lost: float, noticed_after_s: float
) -> None:
    world.run(noticed_after_s)
    world.add_leader("h2", 2, former_heard_at=(lost,))
    world.run(lost + RESEND_DELAY_S - world.now)
    assert_all_ended(world)


# Once, a successor renewed the leases of runs that no host offered, and was lost before
# it had stopped them. The next one stopped them 1.8 s after the loss of the first.
@pytest.mark.parametrize("second_lost_after_s", [0.03, 0.1, 0.3])
def test_a_second_lost_leader_leaves_no_run_behind(
    world: World, lost: float, second_lost_after_s: float
) -> None:
    world.run(HOST_TIMEOUT_S)
    world.add_leader("h2", 2, former_heard_at=(lost,))
    world.run(second_lost_after_s)
    world.paused.add("h2")
    world.run(lost + RESEND_DELAY_S - world.now)
    assert_all_ended(world)


# Once, a leader whose former one was lost soon after its own takeover counted from the
# loss of that one only. It extended the leases of runs that the first of them had left.
@pytest.mark.parametrize("third_lost_after_s", [0.05, 0.3])
def test_a_third_lost_leader_leaves_no_run_behind(
    world: World, lost: float, third_lost_after_s: float
) -> None:
    world.run(0.2)
    world.add_leader("h2", 2, former_heard_at=(lost,))
    world.run(0.1)
    world.paused.add("h2")
    second_lost = world.now
    world.run(0.2)
    world.add_leader("h3", 3, former_heard_at=(second_lost, lost, lost - 60.0))
    world.run(third_lost_after_s)
    world.paused.add("h3")
    world.run(lost + RESEND_DELAY_S - world.now)
    assert_all_ended(world)


# As above, when the successor has not known the former leader.
def test_a_successor_that_knows_no_former_leader_extends_no_lease_of_its_runs(
    world: World, lost: float
) -> None:
    world.run(HOST_TIMEOUT_S)
    world.add_leader("h2", 2)
    world.run(0.1)
    world.paused.add("h2")
    world.run(lost + RESEND_DELAY_S - world.now)
    assert_all_ended(world)


# Guards against losing runs of live hosts on workers that also have unclaimed runs.
def test_claimed_runs_outlast_unclaimed_ones_on_the_same_workers(world: World) -> None:
    jobs = [
        simulated_job(f"a{number}", tasks=4, run_s=2.0, left_s=5.0)
        for number in range(2)
    ]
    world.submit("h1", jobs[0], "h1")
    world.submit("h1", jobs[1], "e1")
    world.run(0.5)
    world.silent_hosts.add("h1")
    world.paused.add("h1")
    lost = world.now
    world.run(HOST_TIMEOUT_S)
    world.add_leader("h2", 2, former_heard_at=(lost,))
    world.run(0.15)
    world.hand_over("h2", "a1")
    world.run(2.0)
    assert world.job_outcome("a1").error == ""
    assert world.starts == 8
    assert not world.violations


# Guards against counting the time of runs from the loss of their leader, if their host
# was lost shortly before it.
def test_runs_of_a_host_that_was_lost_before_its_leader_end_in_time(
    world: World,
) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=5.0, left_s=9.0))
    world.run(0.32)  # just after a repeated offer
    world.silent_hosts.add("e1")
    host_lost = world.now
    world.run(0.9)
    world.paused.add("h1")
    world.run(host_lost + RESEND_DELAY_S - world.now)
    assert_all_ended(world)


@pytest.fixture
def busy() -> World:
    """A leader with one worker, whose only free capacity is taken for 0.85 s."""
    world = World([SimulatedWorker(worker_entry("w0"))])
    world.add_leader("h1", 1)
    world.run(0.3)
    world.submit(
        "h1", simulated_job("kept", tasks=1, run_s=9.0, cores=1.0, left_s=12.0)
    )
    world.submit("h1", simulated_job("first", tasks=1, run_s=0.85, cores=14.0))
    late = simulated_job("late", tasks=1, run_s=0.2, cores=14.0, left_s=9.0)
    late.runs["late.0.0.0"] = 5.0
    world.submit("h1", late, "e2")
    return world


# Guards against a run that starts shortly before the offer of its job lapses, on a
# worker whose lease was extended just now for the run of another job.
def test_a_run_that_starts_late_does_not_outlast_the_resend_delay(busy: World) -> None:
    busy.silent_hosts.add("e2")
    host_lost = busy.now
    busy.run(0.9)
    busy.paused.add("h1")
    busy.run(host_lost + RESEND_DELAY_S - busy.now)
    running = [run.task for run in busy.workers["w0"].running]
    assert not any(task.startswith("late") for task in running)


# Guards against a limit on late starts that keeps jobs of live hosts from workers which
# are busy with others.
def test_a_job_that_is_offered_again_starts_on_a_worker_with_a_long_lease(
    busy: World,
) -> None:
    busy.run(1.0)
    assert busy.starts == 3
