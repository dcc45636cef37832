"""Tasks that crash the workers that start them, and the tasks beside them."""

from dataclasses import replace

import pytest

from poplarhill import ErrorKind
from poplarhill_dev.leased import (
    LEASE_S,
    RESTART_S,
    SimulatedJob,
    SimulatedWorker,
    World,
    simulated_job,
    worker_entry,
)

CALLER_TIMEOUT_S = 30.0
STARTS_AFTER_CRASHES = 2  # the users allow fewer than three more


@pytest.fixture
def fleet() -> World:
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(24))
    world.add_leader("h1", 1)
    world.run(0.2)
    return world


def deadly_job(job_id: str, tasks: int = 8, deadly: int = 1) -> SimulatedJob:
    """Return a job of which the first tasks crash each worker that starts them."""
    job = simulated_job(job_id, tasks=tasks, run_s=0.06, left_s=CALLER_TIMEOUT_S)
    names = frozenset(f"{job_id}.0.0.{number}" for number in range(deadly))
    return replace(job, deadly=names)


def crashes_of(world: World, task: str) -> list[float]:
    return [at for at, _, cause, _ in world.crashes if cause == task]


# Guards against a task that crashes worker after worker while its caller waits.
def test_a_deadly_task_is_given_up_after_its_second_crash(fleet: World) -> None:
    fleet.submit("h1", deadly_job("bad"))
    fleet.run(20.0)
    assert fleet.job_outcome("bad").error == ErrorKind.TASK_FAILED.value
    assert len(fleet.crashes) == 2
    assert not fleet.violations


@pytest.mark.parametrize("deadly", [1, 4, 8])
@pytest.mark.parametrize("deaths", [[2.0], [1.0, 3.0], [2.2, 4.4]])
def test_deadly_tasks_stay_within_their_starts_when_leaders_die(
    fleet: World, deadly: int, deaths: list[float]
) -> None:
    job = deadly_job("bad", deadly=deadly)
    fleet.submit("h1", job)
    begin = fleet.now
    for number, death in enumerate(deaths, start=2):
        fleet.add_leader(f"h{number}", number, {})
        fleet.run(begin + death - fleet.now)
        fleet.paused.add(f"h{number - 1}")  # for good
        leader = fleet.leaders[f"h{number}"]
        fleet.perform(
            f"h{number}", leader.set_workers(fleet.now, fleet.now, fleet.entries)
        )
        offer = job.offer._replace(handovers=number - 1)
        fleet.submit(f"h{number}", replace(job, offer=offer))
    fleet.run(CALLER_TIMEOUT_S)
    for task in job.deadly:
        crashes = crashes_of(fleet, task)
        if len(crashes) > 3:
            starts = fleet.starts_by_task[task]
            later = [at for at in starts if at > crashes[2]]
            assert len(later) <= STARTS_AFTER_CRASHES
    assert not fleet.violations


def test_a_deadly_job_that_is_sent_again_is_refused_at_once(fleet: World) -> None:
    fleet.add_leader("h2", 2, {})
    fleet.submit("h1", deadly_job("bad"))
    fleet.run(12.0)
    crashes = len(fleet.crashes)
    fleet.perform(
        "h2",
        fleet.leaders["h2"].set_workers(fleet.now, fleet.now, fleet.entries),
    )
    fleet.run(0.5)
    fleet.reports.clear()
    fleet.submit("h2", deadly_job("bad"))
    assert fleet.job_outcome("bad").error == ErrorKind.TASK_FAILED.value
    fleet.run(5.0)
    assert len(fleet.crashes) == crashes


# A task beside a deadly one runs alone afterwards, so that it isn't convicted with it.
def test_jobs_beside_deadly_ones_are_completed(fleet: World) -> None:
    innocent = [f"ok{number}" for number in range(24)]
    for number, name in enumerate(innocent):
        fleet.submit("h1", simulated_job(name, run_s=1.0, left_s=CALLER_TIMEOUT_S))
        if number % 4 == 0:
            fleet.submit("h1", deadly_job(f"bad{number}", tasks=2))
        fleet.run(0.1)
    fleet.run(CALLER_TIMEOUT_S)
    assert [fleet.job_outcome(name).error for name in innocent] == [""] * len(innocent)
    assert all(len(crashes_of(fleet, f"bad{n}.0.0.0")) <= 2 for n in range(0, 24, 4))
    assert not fleet.violations


def test_a_rack_that_is_lost_once_convicts_no_task(fleet: World) -> None:
    for number in range(8):
        fleet.submit(
            "h1", simulated_job(f"j{number}", run_s=1.0, left_s=CALLER_TIMEOUT_S)
        )
    fleet.run(0.1)
    for number in range(8):
        fleet.crash(f"w{number}")
    fleet.run(CALLER_TIMEOUT_S)
    assert [fleet.job_outcome(f"j{n}").error for n in range(8)] == [""] * 8
    assert not fleet.violations


# A report a task would cost a leader a frame for each host and task of a lost rack.
def test_the_losses_of_a_rack_are_shared_in_few_reports(fleet: World) -> None:
    for number in range(24):
        fleet.submit(
            "h1", simulated_job(f"j{number}", run_s=1.0, left_s=CALLER_TIMEOUT_S)
        )
    fleet.run(0.1)
    for number in range(24):
        fleet.crash(f"w{number}")
    fleet.run(CALLER_TIMEOUT_S)
    reports = [report for _, report in fleet.shared_losses]
    assert len(reports) <= 3
    assert sum(len(report.losses) for report in reports) == 48


# A partition that refuses connections looks like a crash until the workers are back.
def test_tasks_of_workers_that_were_only_cut_off_are_not_given_up(
    fleet: World,
) -> None:
    fleet.submit("h1", simulated_job("a", tasks=2, run_s=1.0, left_s=CALLER_TIMEOUT_S))
    for _ in range(3):
        fleet.run(0.5)
        cut = [worker for worker in fleet.workers.values() if worker.running]
        for worker in cut:
            worker.refusing = True
        fleet.run(RESTART_S)
        for worker in cut:
            worker.refusing = False
    fleet.run(CALLER_TIMEOUT_S / 2)
    assert fleet.job_outcome("a").error == ""
    assert not fleet.violations


def test_suspects_hold_only_an_eighth_of_the_workers(fleet: World) -> None:
    for number in range(12):
        fleet.submit("h1", deadly_job(f"bad{number}", tasks=2, deadly=2))
    fleet.run(1.0)
    first = len(fleet.crashes)
    fleet.run(CALLER_TIMEOUT_S)
    later = [at for at, *_ in fleet.crashes[first:]]
    assert later
    for begin in later:
        # A leader can't know that a run has ended before its lease has.
        assert sum(begin <= at < begin + LEASE_S for at in later) <= 24 // 8


def test_workers_set_aside_are_used_again(fleet: World) -> None:
    fleet.submit("h1", deadly_job("bad"))
    fleet.run(12.0)
    for number in range(24):
        job = simulated_job(f"j{number}", tasks=2, run_s=0.5, left_s=1.5)
        fleet.submit("h1", job)
    fleet.run(2.0)
    assert all(fleet.job_outcome(f"j{n}").error == "" for n in range(24))


# Counted over all workers, the suspects of a small service could hold all of its own.
def test_suspects_leave_workers_to_the_other_jobs_of_a_small_service() -> None:
    workers = [SimulatedWorker(worker_entry(f"w{n}")) for n in range(24)]
    for worker in workers[:3]:
        worker.entry = worker.entry._replace(service="small")
    world = World(workers)
    world.add_leader("h1", 1)
    world.run(0.2)
    for number in range(6):
        job = simulated_job(f"s{number}", tasks=1, run_s=4.0, left_s=CALLER_TIMEOUT_S)
        offer = job.offer._replace(service="small")
        world.submit("h1", replace(job, offer=offer))
    world.run(0.1)
    world.crash("w0")
    world.crash("w1")
    world.run(4.5)
    job = simulated_job("new", tasks=1)
    offer = job.offer._replace(service="small")
    world.submit("h1", replace(job, offer=offer))
    world.run(1.5)
    assert world.job_outcome("new").error == ""
