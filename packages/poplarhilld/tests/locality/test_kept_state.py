"""Placement near the data beside what a leader keeps: queue, capacity, reservations."""

from random import Random

import pytest

from poplarhill_dev.leased import (
    SimulatedJob,
    SimulatedWorker,
    World,
    job_offer,
    simulated_job,
)
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.order import rank
from poplarhilld.leading.queue import JobQueue
from poplarhilld.leading.shared import LeaderState
from poplarhilld.lookahead import LookaheadMode, LookaheadOptions
from poplarhilld.lookahead.messages import PlacesReserved

RACKS = ("", "r1", "r1", "r2", "nowhere")


def data_job(name: str, rack: str, **fields: object) -> SimulatedJob:
    """Return a job whose step names the rack of its data."""
    job = simulated_job(name, **fields)
    step = job.offer.steps[0]._replace(data_rack=rack)
    return SimulatedJob(job.offer._replace(steps=(step,)), job.run_s, job.needs)


def recorded_actions(
    entries: list,
    seed: int,
    mode: LookaheadMode,
    slowdowns: tuple[float, ...],
    racks: tuple[str, ...] = RACKS,
) -> list[str]:
    """Return all actions of a leader under an overload with faults.

    Args:
        entries: The workers.
        seed: Seed of every random choice.
        mode: When placement looks ahead.
        slowdowns: Slowdowns that are in force in turn.
        racks: Racks that jobs name.
    """
    random = Random(seed)
    world = World([SimulatedWorker(e, remote_slowdown=2.0) for e in entries], seed)
    recorded: list[str] = []
    perform = world.perform

    def record(leader: str, actions: list) -> None:
        recorded.extend(map(repr, actions))
        perform(leader, actions)

    world.perform = record
    leader = world.add_leader("h1", 1, lookahead=LookaheadOptions(mode))
    leader.set_remote_slowdown(slowdowns[0])
    world.run(0.2)
    for number in range(120):
        worker = random.choice(list(world.workers.values()))
        match random.randrange(30):
            case 0:
                worker.unreachable = not worker.unreachable
            case 1:
                worker.broken = not worker.broken
            case 2:
                worker.entry = worker.entry._replace(rack=random.choice(("r1", "r2")))
                record("h1", leader.set_workers(world.now, world.now, world.entries))
            case 3:
                leader.set_remote_slowdown(random.choice(slowdowns))
        job = data_job(
            f"j{number}",
            random.choice(racks),
            run_s=random.choice((0.05, 0.2, 0.6)),
            cores=random.choice((4.0, 6.8, 12.0)),
            tasks=random.randint(1, 6),
            left_s=random.choice((1.0, 1.5, 3.0)),
        )
        world.submit("h1", job)
        world.run(random.uniform(0.01, 0.1))
    world.run(2.0)
    assert not world.violations
    return recorded


# Guards against a queue, or free capacity, that outlives a change of where a job is
# expected to run: that changes its cost, its run time and when it is due.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("mode", [LookaheadMode.OFF, LookaheadMode.ON])
def test_the_kept_state_changes_no_decision(
    entries: list, seed: int, mode: LookaheadMode, monkeypatch: pytest.MonkeyPatch
) -> None:
    slowdowns = (2.0, 1.0, 3.0)
    kept = recorded_actions(entries, seed, mode, slowdowns)
    checked = 0

    def by_rank(self: JobQueue, now: float) -> list:
        nonlocal checked
        for job in self.jobs:
            open_tasks = [task for task in job.tasks if not task.done]
            factor = job.run_s / job.home_run_s
            work = sum(t.spec.needs.cores * t.spec.run_time_s for t in open_tasks)
            learned = job.home_run_s / job.offer.steps[0].run_time_s
            assert job.open_core_seconds == pytest.approx(work * learned * factor)
            checked += factor > 1
        return iter(sorted(self.jobs, key=lambda job: rank(now, job)))

    def capacity(self: LeaderState) -> object:
        return self.capacity_of(w for w in self.workers.values() if self.is_usable(w))

    monkeypatch.setattr(JobQueue, "by_rank", by_rank)
    monkeypatch.setattr(LeaderState, "capacity", capacity)
    assert recorded_actions(entries, seed, mode, slowdowns) == kept
    assert checked > 20


# Guards against other decisions where placement near the data has nothing to decide.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("mode", [LookaheadMode.OFF, LookaheadMode.ON])
def test_a_slowdown_changes_nothing_for_jobs_that_name_no_rack(
    entries: list, seed: int, mode: LookaheadMode
) -> None:
    off = recorded_actions(entries, seed, mode, (1.0, 1.0), racks=("",))
    on = recorded_actions(entries, seed, mode, (2.0, 3.0), racks=("",))
    assert on == off


# Guards against a due time that a new expected place sets back to that of the offer,
# after an offer of the same route has shown that callers had waited for longer.
def test_a_due_time_that_was_moved_stays_moved() -> None:
    offer = job_offer("j1", run_s=0.2)._replace(stretch=1.5)
    job = LedJob(offer, "e1", 10.0, [0.2])
    due = job.due
    job.set_usual_timeout(offer.left_s + 0.3)
    job.set_run_factors((2.0,))
    assert job.due == pytest.approx(due - 0.3 + 1.5 * 0.2)
    job.set_run_factors((1.0,))
    assert job.due == pytest.approx(due - 0.3)


# Load: small tasks take every gap of all four workers. Guards against places that are
# reserved far from the data, where the large tasks would take twice as long.
@pytest.mark.parametrize("rack", ["r1", "r2"])
def test_a_large_task_reserves_its_place_in_the_rack_of_its_data(
    entries: list, rack: str
) -> None:
    world = World([SimulatedWorker(e, remote_slowdown=2.0) for e in entries])
    lines: list[PlacesReserved] = []
    perform = world.perform

    def record(leader: str, actions: list) -> None:
        decisions = [a.decision for a in actions if isinstance(a, LogDecision)]
        lines.extend(line for line in decisions if isinstance(line, PlacesReserved))
        perform(leader, actions)

    world.perform = record
    options = LookaheadOptions(LookaheadMode.ON)
    world.add_leader("h1", 1, lookahead=options).set_remote_slowdown(2.0)
    world.run(0.2)
    for number in range(320):
        small = simulated_job(f"s{number}", run_s=0.1, cores=4.0, tasks=1)
        world.submit_at(world.now + 0.005 * number, "h1", small)
    large = data_job("large", rack, run_s=0.1, cores=14.0, tasks=1, route="bulk")
    world.submit_at(world.now + 0.3, "h1", large)
    world.run(1.2)
    [line] = [line for line in lines if line.job == "large"]
    assert world.workers[line.first].entry.rack == rack
    outcome = world.job_outcome("large")
    assert outcome is not None
    assert not outcome.error
    assert world.violations == []


# Load: all workers are full. Guards against jobs that keep the place in the queue that
# they had while their remote runs were expected to take twice as long.
def test_the_queue_is_ordered_anew_when_the_slowdown_is_turned_off(
    entries: list,
) -> None:
    world = World([SimulatedWorker(e, remote_slowdown=2.0) for e in entries])
    leader = world.add_leader("h1", 1)
    leader.set_remote_slowdown(2.0)
    world.run(0.2)
    full = simulated_job("full", run_s=0.9, cores=16.0, tasks=4, left_s=5.0, route="b")
    world.submit("h1", full)
    world.submit("h1", data_job("remote", "nowhere", run_s=0.2, tasks=1, left_s=5.0))
    world.submit("h1", data_job("plain", "", run_s=0.3, tasks=1, left_s=5.0))
    queue = leader._state.queue
    assert [j.job_id for j in queue.by_rank(world.now)] == ["plain", "remote"]
    leader.set_remote_slowdown(1.0)
    assert [j.job_id for j in queue.by_rank(world.now)] == ["remote", "plain"]
