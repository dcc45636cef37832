"""Leaders of two workers in each of two racks; remote runs take twice as long."""

from collections.abc import Callable
from random import Random

import pytest

from poplarhill.types import Resources
from poplarhill_dev.leased import SimulatedJob, SimulatedWorker, World, simulated_job
from poplarhilld.decisions import LogDecision
from poplarhilld.leading import assignment
from poplarhilld.leading.messages import RunOrdered
from poplarhilld.locality import DataPlace, state
from poplarhilld.locality.timeline import RackTimeline, Release, expected_end

SLOWDOWN = 2.0


@pytest.fixture
def world(entries: list) -> World:
    workers = [SimulatedWorker(e, remote_slowdown=SLOWDOWN) for e in entries]
    world = World(workers)
    world.add_leader("h1", 1).set_remote_slowdown(SLOWDOWN)
    world.run(0.2)
    return world


def data_job(name: str, rack: str = "r1", **fields: object) -> SimulatedJob:
    """Return a job whose tasks fill half a worker each, with data in a rack."""
    job = simulated_job(name, **{"cores": 8.0, "tasks": 1, **fields})
    step = job.offer.steps[0]._replace(data_rack=rack)
    return SimulatedJob(job.offer._replace(steps=(step,)), job.run_s, job.needs)


def places(world: World, job: str) -> list[str]:
    """Return the racks in which tasks of a job run now."""
    return sorted(
        worker.entry.rack
        for worker in world.workers.values()
        for run in worker.running
        if run.task.startswith(f"{job}.")
    )


def served(world: World, *jobs: str) -> bool:
    outcomes = [world.job_outcome(job) for job in jobs]
    return all(one is not None and not one.error for one in outcomes)


# Guards against memory that grows with the names that callers send.
def test_racks_whose_tasks_need_no_cores_are_forgotten(world: World) -> None:
    for number in range(20):
        rack = f"unknown{number}"
        world.submit("h1", data_job(f"j{number}", rack, cores=0.0, run_s=0.05))
    world.run(0.5)
    assert not world.leaders["h1"].locality.active


# Guards against memory that grows with the names that callers send.
def test_the_number_of_racks_that_callers_name_is_bounded(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(state, "_MAX_RACKS", 4)
    for number in range(20):
        world.submit("h1", data_job(f"j{number}", f"unknown{number}", run_s=0.05))
    world.run(0.01)
    assert len(world.leaders["h1"].locality._demand) == 4


# Load: four tasks fill the rack. A fifth one gains 0.2 s there, and loses the wait.
def test_a_task_waits_for_its_rack_only_while_that_is_sooner(world: World) -> None:
    world.submit("h1", data_job("a", tasks=4, run_s=0.25))
    world.run(0.01)
    assert places(world, "a") == ["r1"] * 4
    world.submit("h1", data_job("b", left_s=3.0))  # it would wait for 0.24 s
    world.run(0.01)
    assert places(world, "b") == ["r2"]
    world.run(0.1)
    world.submit("h1", data_job("c"))  # the places are free in 0.13 s
    world.run(0.01)
    assert places(world, "c") == []
    world.run(0.15)
    assert places(world, "c") == ["r1"]


# Load: the rack is full for 0.08 s; the short task came first. Behind it, the longer
# one would wait for 0.17 s. It would be sooner elsewhere, and loses most by that.
def test_the_task_that_gains_least_gives_its_place(world: World) -> None:
    world.submit("h1", data_job("a", tasks=3, run_s=0.9, left_s=4.0, route="slow"))
    world.submit("h1", data_job("b", run_s=0.25))
    world.run(0.17)
    world.submit("h1", data_job("short", run_s=0.1))
    world.run(0.01)
    assert places(world, "short") == []
    world.submit("h1", data_job("longer", run_s=0.15))
    world.run(0.02)
    assert (places(world, "short"), places(world, "longer")) == (["r2"], [])
    world.run(0.08)
    assert places(world, "longer") == ["r1"]


# Guards against an end of the leader on a job that declares neither time nor cores, for
# which the platform's format has a default of 0.
def test_jobs_without_declared_time_or_cores_are_served(world: World) -> None:
    world.submit("h1", data_job("a", tasks=3, run_s=0.9, left_s=4.0, route="slow"))
    world.submit("h1", data_job("b", run_s=0.25))
    world.run(0.2)
    world.submit("h1", data_job("none", run_s=0.0, route="none"))
    world.submit("h1", data_job("c", run_s=0.02, tasks=3))
    world.submit("h1", data_job("no cores", cores=0.0))
    for worker in ("w0", "w1"):
        entry = world.workers[worker].entry._replace(room=Resources(0.0, 32768, 0))
        world.workers[worker].entry = entry
    leader = world.leaders["h1"]
    world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
    assert leader.load(world.now).racks
    world.run(1.5)
    assert served(world, "none", "c", "no cores")


# Load: jobs for the rack fill it. One without data would take a place there by its
# tighter fit.
def test_other_work_leaves_a_rack_in_demand(world: World) -> None:
    world.submit("h1", data_job("a", tasks=3, run_s=1.3, left_s=4.0))
    world.run(0.01)
    world.submit("h1", data_job("b", rack=""))
    world.run(0.01)
    assert places(world, "b") == ["r2"]


def lose(world: World) -> None:
    for worker in ("w0", "w1"):
        world.workers[worker].unreachable = True
    world.run(1.5)


def eject(world: World) -> None:
    health = world.leaders["h1"]._state.health
    for worker in ("w0", "w1"):
        assert health.note_unhealthy(world.now, worker)


def drain(world: World) -> None:
    for worker in ("w0", "w1"):
        entry = world.workers[worker].entry
        world.workers[worker].entry = entry._replace(draining=True)
    leader = world.leaders["h1"]
    world.perform("h1", leader.set_workers(world.now, world.now, world.entries))


def evacuate(world: World) -> None:
    for worker in ("w0", "w1"):
        entry = world.workers[worker].entry
        world.workers[worker].entry = entry._replace(data_centre="dc2")
    leader = world.leaders["h1"]
    world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
    world.perform("h1", leader.set_evacuated(world.now, frozenset({"dc2"})))


# Guards against jobs that wait for a rack in which nothing may start.
@pytest.mark.parametrize("fail", [lose, eject, drain, evacuate])
def test_a_rack_without_workers_is_not_waited_for(
    world: World, fail: Callable[[World], None]
) -> None:
    world.submit("h1", data_job("before"))
    fail(world)
    world.submit("h1", data_job("a", tasks=2))
    world.run(0.02)
    assert places(world, "a") == ["r2", "r2"]
    assert [load.rack for load in world.leaders["h1"].load(world.now).racks] == ["r1"]
    world.run(0.5)
    assert served(world, "a")
    assert not world.violations


# Guards against jobs that no place suits, and against workers that look slow because
# of the rack: 40 remote runs beside 40 jobs without data.
def test_an_unknown_rack_slows_the_job_and_not_its_worker(world: World) -> None:
    for number in range(40):
        world.submit("h1", data_job(f"u{number}", rack="nowhere"))
        world.submit("h1", data_job(f"n{number}", rack=""))
        world.run(0.25)
    assert served(world, *(f"u{n}" for n in range(35)))
    leader = world.leaders["h1"]
    times = leader._state.times
    assert times.expected_s("deposit", 0.2) == pytest.approx(0.2, rel=0.1)
    for name in world.workers:
        assert times.slowdown(name) == pytest.approx(1.0, abs=0.1)
    # Remote, it runs for 0.4 s, for which its caller does not wait.
    world.submit("h1", data_job("late", rack="nowhere", left_s=0.22))
    assert world.job_outcome("late").error == "expired"
    world.submit("h1", data_job("near", left_s=0.22))
    assert world.job_outcome("near") is None


# Guards against a run that is judged by the rack to which its worker moves meanwhile.
def test_a_worker_that_moves_keeps_its_speed(world: World) -> None:
    leader = world.leaders["h1"]
    for number in range(20):
        world.submit("h1", data_job(f"a{number}", tasks=8))
        world.run(0.02)
        rack = "r2" if number % 2 else "r1"
        entry = world.workers["w0"].entry._replace(rack=rack)
        world.workers["w0"].entry = entry
        world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
        world.run(0.5)
    assert leader._state.times.slowdown("w0") == pytest.approx(1.0, abs=0.15)
    assert not world.violations


# Guards against jobs that keep waiting, and against runs learned by a slowdown that
# was not in force at their start.
def test_a_slowdown_that_is_turned_off_ends_the_waits(world: World) -> None:
    leader = world.leaders["h1"]
    world.submit("h1", data_job("a", tasks=4, run_s=0.3))
    world.run(0.2)
    world.submit("h1", data_job("b", run_s=0.3))
    world.run(0.01)
    assert places(world, "b") == []
    leader.set_remote_slowdown(1.0)
    world.run(0.06)
    assert places(world, "b") == ["r2"]
    assert leader.load(world.now).racks == ()
    leader.set_remote_slowdown(3.0)
    world.run(1.0)
    assert served(world, "a", "b")


# Guards against work for deployments that have no use for it.
def test_nothing_is_done_where_it_is_off(
    entries: list, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*args: object) -> None:
        raise AssertionError("placement near the data is off")

    monkeypatch.setattr(assignment, "PlacementPass", fail)
    for slowdown, rack in ((1.0, "r1"), (2.0, "")):
        world = World(map(SimulatedWorker, entries))
        world.add_leader("h1", 1).set_remote_slowdown(slowdown)
        world.run(0.2)
        world.submit("h1", data_job("a", rack, tasks=12))
        world.run(1.0)
        assert served(world, "a")
        assert world.leaders["h1"].load(world.now).racks == ()


def test_the_log_says_where_a_task_runs(world: World) -> None:
    actions = [
        action
        for name, rack in (("a", "r1"), ("b", "nowhere"), ("c", ""))
        for action in world.leaders["h1"].handle_offer(
            world.now, "e1", 1, data_job(name, rack).offer
        )
    ]
    lines = [action.decision for action in actions if isinstance(action, LogDecision)]
    said = [line.data for line in lines if isinstance(line, RunOrdered)]
    assert said == [DataPlace.NEAR, DataPlace.REMOTE, DataPlace.NONE]


def test_reserved_cores_are_not_promised_twice(world: World) -> None:
    worker = world.leaders["h1"].workers["w0"]
    worker.reserve(world.now, "run", Resources(16.0, 64, 0))
    ends = [Release(5.0, 8.0), Release(6.0, 8.0)]
    timeline = RackTimeline(1.0, [worker], lambda w: list(ends), lambda name: 1.0)
    first = timeline.earliest(8.0, 2.0)
    assert (first.start, first.end) == (5.0, 7.0)
    timeline.reserve(first, 8.0)
    assert timeline.earliest(8.0, 2.0).start == 6.0
    assert timeline.earliest(16.0, 2.0).start == 7.0
    assert timeline.earliest(17.0, 2.0) is None


# Guards against a wait for a run of seven times its estimate that is always about to
# end.
def test_an_overdue_run_is_expected_to_end_later_and_later() -> None:
    assert expected_end(0.1, 0.0, 0.2) == 0.2
    remaining = [expected_end(now, 0.0, 0.2) - now for now in (0.2, 0.4, 0.8)]
    assert remaining == pytest.approx([0.04, 0.24, 0.64])


# Guards against exceptions, lost capacity and double runs while racks, workers and the
# slowdown change under a load that at times exceeds the workers.
@pytest.mark.parametrize("seed", range(6))
def test_no_invariant_is_violated_under_random_changes(
    entries: list, seed: int
) -> None:
    random = Random(seed)
    world = World([SimulatedWorker(e, remote_slowdown=SLOWDOWN) for e in entries], seed)
    leader = world.add_leader("h1", 1)
    for number in range(150):
        worker = random.choice(list(world.workers.values()))
        match random.randrange(20):
            case 0:
                worker.unreachable = not worker.unreachable
            case 1:
                worker.broken = not worker.broken
            case 2:
                draining = not worker.entry.draining
                worker.entry = worker.entry._replace(draining=draining)
            case 3:
                worker.entry = worker.entry._replace(rack=random.choice(("r1", "r2")))
            case 4:
                leader.set_remote_slowdown(random.choice((1.0, 1.5, 3.0)))
            case 5:
                evacuated = random.choice((frozenset(), frozenset({"dc1"})))
                world.perform("h1", leader.set_evacuated(world.now, evacuated))
            case 6:
                world.crash(worker.entry.name, down_s=0.5)
        world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
        rack = random.choice(("", "r1", "r1", "r2", "nowhere"))
        run_s = random.choice((0.0, 0.05, 0.2, 0.9))
        cores = random.choice((0.0, 4.0, 8.0, 12.0))
        tasks = random.randint(1, 8)
        handovers = random.choice((0, 0, 0, 1))
        fields = {"run_s": run_s, "cores": cores, "tasks": tasks}
        job = data_job(f"j{number}", rack, handovers=handovers, **fields)
        world.submit("h1", job)
        world.run(random.choice((0.01, 0.06, 0.2)))
        assert len(leader.load(world.now).racks) <= 2
    for worker in world.workers.values():
        worker.unreachable = worker.broken = False
    world.run(4.0)
    assert not world.violations
    assert not leader.jobs
