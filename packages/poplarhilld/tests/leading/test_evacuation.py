"""Leaders while a data centre is evacuated: eight workers, four in each of two."""

import pytest

from poplarhill import ErrorKind
from poplarhill_dev.leased import SimulatedWorker, World, simulated_job, worker_entry
from poplarhilld.leading import Leader

DC1 = frozenset({"dc1"})
BOTH = frozenset({"dc1", "dc2"})
NONE: frozenset[str] = frozenset()


@pytest.fixture
def world() -> World:
    entries = [worker_entry(f"w{n}") for n in range(8)]
    entries[4:] = [entry._replace(data_centre="dc2") for entry in entries[4:]]
    world = World(map(SimulatedWorker, entries))
    world.add_leader("h1", 1)
    world.run(0.2)
    return world


def evacuate(world: World, data_centres: frozenset[str], leader: str = "h1") -> None:
    actions = world.leaders[leader].set_evacuated(world.now, data_centres)
    world.perform(leader, actions)


def running(world: World, data_centre: str) -> int:
    return sum(
        len(worker.running)
        for worker in world.workers.values()
        if worker.entry.data_centre == data_centre
    )


def tokens(leader: Leader) -> dict[str, int]:
    return {name: worker.token for name, worker in leader.workers.items()}


# Under a load of 32 tasks for 16 places. Once, tasks went on starting there.
def test_running_tasks_finish_and_queued_ones_start_elsewhere(world: World) -> None:
    for number in range(8):
        world.submit("h1", simulated_job(f"a{number}", tasks=4, left_s=4.0))
    world.run(0.1)
    assert running(world, "dc1") == 8
    before = tokens(world.leaders["h1"])
    evacuate(world, DC1)
    assert world.leaders["h1"].load(world.now).cores == 4 * 16.0
    world.run(0.15)
    assert (running(world, "dc1"), running(world, "dc2")) == (0, 8)
    world.run(2.0)
    assert {world.job_outcome(f"a{n}").error for n in range(8)} == {""}
    assert world.starts == 32
    # Guards against a claim of each worker once the evacuation is lifted.
    evacuate(world, NONE)
    world.submit("h1", simulated_job("b", tasks=16))
    world.run(0.1)
    assert running(world, "dc1") == 8
    assert tokens(world.leaders["h1"]) == before
    assert not world.violations


def test_the_next_leader_starts_nothing_there_and_adopts_what_runs(world) -> None:
    job = simulated_job("a", tasks=16, run_s=0.5, left_s=3.0)
    world.submit("h1", job)
    world.run(0.1)
    evacuate(world, DC1)
    world.paused.add("h1")
    world.add_leader("h2", 2)
    evacuate(world, DC1, "h2")
    world.run(0.1)
    offer = world.handed_over(job.offer.job_id)
    world.perform("h2", world.leaders["h2"].handle_offer(world.now, "e1", 1, offer))
    world.submit("h2", simulated_job("b", tasks=16, left_s=3.0))
    world.run(0.5)
    assert (running(world, "dc1"), running(world, "dc2")) == (0, 8)
    world.run(1.0)
    assert (world.job_outcome("a").error, world.job_outcome("b").error) == ("", "")
    assert not world.violations


# Guards against a job that is given back before the workers have told of its runs.
def test_a_job_of_a_lost_leader_waits_for_the_replies_of_evacuated_workers(
    world: World,
) -> None:
    job = simulated_job("a", tasks=16, run_s=0.5, left_s=3.0)
    world.submit("h1", job)
    world.run(0.1)
    world.paused.add("h1")
    world.add_leader("h2", 2)
    evacuate(world, BOTH, "h2")
    offer = world.handed_over(job.offer.job_id)
    world.perform("h2", world.leaders["h2"].handle_offer(world.now, "e1", 1, offer))
    assert world.job_outcome("a") is None
    world.run(0.8)
    assert world.job_outcome("a").error == ""
    assert world.starts == 16


# Guards against jobs that wait for their deadline although nothing can run them.
def test_with_both_data_centres_evacuated_jobs_are_refused_at_once(world) -> None:
    world.submit("h1", simulated_job("a", tasks=16, run_s=0.4))
    world.run(0.01)
    world.submit("h1", simulated_job("queued"))
    evacuate(world, BOTH)
    world.submit("h1", simulated_job("new"))
    for job_id in ("queued", "new"):
        refusal = world.job_outcome(job_id)
        assert refusal.error == ErrorKind.NO_WORKERS.value
        assert refusal.not_run and refusal.elsewhere and refusal.retry_after_s > 0
    world.run(0.5)
    assert world.job_outcome("a").error == ""


# A task that is too large for the other data centre is refused for now, not for good.
def test_a_job_for_which_only_evacuated_workers_are_large_enough(world) -> None:
    for name in ("w4", "w5", "w6", "w7"):
        entry = worker_entry(name, cores=8.0)._replace(data_centre="dc2")
        world.workers[name].entry = entry
    leader = world.leaders["h1"]
    world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
    evacuate(world, DC1)
    world.submit("h1", simulated_job("large", cores=12.0))
    assert world.job_outcome("large").error == ErrorKind.NO_WORKERS.value
    world.submit("h1", simulated_job("impossible", cores=24.0))
    assert world.job_outcome("impossible").error == ErrorKind.IMPOSSIBLE.value


# Guards against a second start of what is done, and of what still runs here.
def test_a_job_is_given_back_with_its_done_tasks_once_none_runs(world: World) -> None:
    job = simulated_job("a", tasks=20, run_s=0.3, left_s=3.0)
    job.runs["a.0.0.0"] = 0.6
    world.submit("h1", job)
    world.run(0.05)
    evacuate(world, BOTH)
    world.run(0.4)
    assert world.job_outcome("a") is None
    world.run(0.3)
    ended = world.job_outcome("a")
    assert (ended.elsewhere, ended.not_run, len(ended.done)) == (True, False, 16)
    assert world.starts == 16


def test_evacuated_and_lifted_within_a_second_loses_no_job(world: World) -> None:
    for number in range(6):
        world.submit("h1", simulated_job(f"a{number}", tasks=4, left_s=3.0))
    for data_centres in (DC1, NONE, DC1, NONE):
        evacuate(world, data_centres)
        world.run(0.2)
    world.run(1.0)
    assert {world.job_outcome(f"a{n}").error for n in range(6)} == {""}
    assert world.starts == 24
    assert not world.violations


# The order was sent before the evacuation, and the network delivers it 2 to 12 s later.
def test_an_order_that_arrives_after_its_deadline_starts_nothing(world) -> None:
    world.late_order_share = 1.0
    world.submit("h1", simulated_job("a", tasks=16, left_s=30.0))
    world.run(0.01)
    evacuate(world, BOTH)
    world.run(15.0)
    assert world.starts == 0
