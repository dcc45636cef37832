"""Workers that stop responding, fail tasks, stall or restart."""

import pytest

from poplarhill_dev.leased import World, simulated_job


def test_tasks_of_an_unresponsive_worker_run_again_after_its_lease(
    world: World,
) -> None:
    world.submit("h1", simulated_job("a", tasks=2, run_s=0.5, left_s=5.0))
    world.run(0.1)
    name = next(n for n, worker in world.workers.items() if worker.running)
    world.workers[name].unreachable = True
    world.run(3.0)
    assert world.job_outcome("a").error == ""
    assert not world.violations


def test_delayed_orders_start_nothing_twice(world: World) -> None:
    world.late_order_share = 0.3
    for number in range(20):
        world.submit("h1", simulated_job(f"j{number}", left_s=6.0))
        world.run(0.3)
    world.run(15.0)
    assert not world.violations
    outcomes = [world.job_outcome(f"j{number}").error for number in range(20)]
    assert outcomes.count("") == 20


def test_a_restarted_worker_has_lost_its_runs(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=2, run_s=0.5, left_s=5.0))
    world.run(0.1)
    for worker in world.workers.values():
        worker.restart(world.now)
    world.run(2.0)
    assert world.job_outcome("a").error == ""
    assert world.starts == 4
    assert not world.violations


def test_a_worker_that_fails_all_tasks_gets_no_more_tasks(world: World) -> None:
    bad = world.workers["w0"]
    bad.broken = True
    for number in range(40):
        world.submit("h1", simulated_job(f"j{number}", run_s=0.05))
        world.run(0.06)
    failed = [n for n in range(40) if world.job_outcome(f"j{n}").error]
    assert not failed
    leader = world.leaders["h1"]
    world.submit("h1", simulated_job("last", tasks=4))
    world.run(0.02)
    assert not bad.running
    assert leader.jobs


def test_stalled_tasks_are_moved(world: World) -> None:
    world.workers["w0"].stuck = True
    world.workers["w1"].stuck = True
    world.submit("h1", simulated_job("a", tasks=8, run_s=0.1, left_s=3.0))
    world.run(2.0)
    assert world.job_outcome("a").error == ""
    assert not world.violations


# A task that takes seven times as long as its route's others was stopped and started
# anew on one worker after the other until its caller left.
def test_a_task_that_takes_far_longer_than_expected_is_done(world: World) -> None:
    job = simulated_job("a", tasks=1, run_s=0.3, left_s=9.0)
    job.runs["a.0.0.0"] = 7 * 0.3
    world.submit("h1", job)
    world.run(8.5)
    assert world.job_outcome("a").error == ""
    assert world.starts == 2


@pytest.mark.parametrize("seed", range(10))
def test_no_guarantee_is_broken_under_mixed_faults(seed: int, world: World) -> None:
    world.random.seed(seed)
    random = world.random
    world.late_order_share = 0.05
    for number in range(60):
        job = simulated_job(
            f"j{number}",
            tasks=random.randint(1, 8),
            run_s=random.choice((0.06, 0.2, 0.9)),
        )
        world.submit("h1", job)
        worker = random.choice(list(world.workers.values()))
        match random.randrange(12):
            case 0:
                worker.unreachable = True
            case 1:
                worker.restart(world.now)
            case 2:
                worker.stuck = not worker.stuck
            case _:
                worker.unreachable = False
        world.run(0.1)
    world.run(3.0)
    assert not world.violations
    assert all(world.job_outcome(f"j{number}") for number in range(60))


def test_an_ejected_worker_gets_one_probe_at_a_time(world: World) -> None:
    bad = world.workers["w0"]
    bad.broken = True
    number = 0
    leader = world.leaders["h1"]
    while not leader.ejected:
        number += 1
        assert number < 100
        world.submit("h1", simulated_job(f"j{number}", run_s=0.05))
        world.run(0.06)
    world.run(1.1)
    world.submit("h1", simulated_job("wide", tasks=8))
    assert sum(h.run is not None for h in leader.workers["w0"].reservations) <= 1
