"""Load of long jobs: run times that are close to what callers wait, or above it."""

from dataclasses import replace
from random import Random

import pytest

from poplarhill import ErrorKind
from poplarhill_dev.leased import World, simulated_job
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.messages import JobClosed
from poplarhilld.leading.spread import RunTimeSpread

CALLER_WAITS_S = 1.35


@pytest.fixture
def closed_jobs(world: World, monkeypatch) -> dict[str, JobClosed]:
    """Log lines of the closed jobs, by id."""
    found: dict[str, JobClosed] = {}
    perform = world.perform

    def note_closed(leader: str, actions: list) -> None:
        for action in actions:
            match action:
                case LogDecision(JobClosed() as closed):
                    found[closed.job] = closed
        perform(leader, actions)

    monkeypatch.setattr(world, "perform", note_closed)
    return found


@pytest.fixture
def spread() -> RunTimeSpread:
    return RunTimeSpread()


# Such jobs ran for all the time of their callers, who learned only then that they had
# waited for nothing, and took the place of jobs that could be done.
def test_a_job_that_hardly_can_be_done_in_time_is_refused_at_once(world: World) -> None:
    world.submit("h1", simulated_job("long", run_s=2.6, left_s=CALLER_WAITS_S))
    refusal = world.job_outcome("long")
    assert refusal is not None
    assert refusal.error == ErrorKind.EXPIRED.value
    assert refusal.not_run
    assert not world.starts


def test_a_job_with_a_fair_chance_is_taken(world: World) -> None:
    job = simulated_job("long", run_s=1.5, left_s=CALLER_WAITS_S)
    world.submit("h1", replace(job, run_s=1.1))
    world.run(1.3)
    outcome = world.job_outcome("long")
    assert outcome is not None
    assert not outcome.error


# The new leader doesn't know yet which tasks of the job are nearly done.
def test_a_job_that_another_leader_had_is_not_refused_for_its_run_time(
    world: World,
) -> None:
    job = simulated_job("long", run_s=0.9, left_s=0.3, handovers=1)
    world.submit("h1", job)
    assert world.job_outcome("long") is None


def test_the_spread_of_run_times_is_learned(spread: RunTimeSpread) -> None:
    random = Random(3)
    for _ in range(300):
        spread.note("exact", 1.0, random.uniform(0.97, 1.03), complete=True)
        spread.note("vague", 1.0, random.lognormvariate(0.0, 0.5), complete=True)
    assert spread.least_run_s("exact", 1.0) > 0.9
    assert spread.least_run_s("vague", 1.0) < 0.55


def test_jobs_that_were_cut_off_count_as_longer(spread: RunTimeSpread) -> None:
    """Without them, a route whose long jobs never end seems to have short jobs."""
    random = Random(4)
    completed_only = RunTimeSpread()
    for _ in range(300):
        ran_s = random.lognormvariate(0.2, 0.3)
        complete = ran_s < CALLER_WAITS_S
        spread.note("r", 1.0, min(ran_s, CALLER_WAITS_S), complete)
        if complete:
            completed_only.note("r", 1.0, ran_s, complete=True)
    true_least_s = 0.75  # 1.645 standard deviations below the mean
    assert spread.least_run_s("r", 1.0) == pytest.approx(true_least_s, abs=0.06)
    assert completed_only.least_run_s("r", 1.0) < spread.least_run_s("r", 1.0)


# Logs could not tell a job that waited from one whose tasks take longer than its limit.
def test_the_line_of_a_closed_job_says_when_it_started_and_how_long_it_ran(
    world: World, closed_jobs: dict[str, JobClosed]
) -> None:
    world.submit("h1", simulated_job("a", tasks=8, run_s=0.5, left_s=9.0))
    world.submit("h1", simulated_job("waits", tasks=2, run_s=0.5, left_s=0.8))
    world.run(2.0)
    done, waits = closed_jobs["a"], closed_jobs["waits"]
    assert (done.tasks, done.cores, done.last_start_s) == (8, 54.4, 0.0)
    assert done.mean_run_s <= done.longest_run_s == pytest.approx(0.5, abs=0.05)
    assert waits.outcome == ErrorKind.TIMEOUT.value
    assert waits.last_start_s == pytest.approx(0.5, abs=0.05)
    assert waits.longest_run_s == pytest.approx(0.3, abs=0.06)
