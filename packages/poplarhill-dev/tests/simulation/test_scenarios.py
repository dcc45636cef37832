"""Simulated fleets under random faults."""

import math

import pytest

from poplarhill_dev.simulation.load import CallerKind, Load
from poplarhill_dev.simulation.scenario import DEFAULTS, ScenarioOptions, run_scenario
from poplarhilld.submissions.messages import JobAnswered, LeaderChosen

SEEDS = (1, 2, 3, 4, 1185)
EQUAL_LISTS = ScenarioOptions(store=False, callers=CallerKind.SHORT)
LONG_JOBS = ScenarioOptions(callers=CallerKind.LONG)


# Guards against two runs of one task, and against runs after their caller was told that
# nothing has run, whatever faults coincide. `simulate --seeds` runs more.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_under_random_faults(seed: int) -> None:
    assert run_scenario(seed, EQUAL_LISTS).violated == []


# Guards against the same when the lists of hosts differ and jobs last for seconds.
@pytest.mark.parametrize(
    ("seed", "options"),
    [
        (11, DEFAULTS),
        (12, DEFAULTS),
        (9414, DEFAULTS),  # a leader that wakes reads an offer of a host new to it
        (8101, LONG_JOBS),
        (8102, LONG_JOBS),
    ],
)
def test_no_task_runs_twice_with_faults_of_the_store(
    seed: int, options: ScenarioOptions
) -> None:
    assert run_scenario(seed, options).violated == []


# A failed seed has to come back with the same trace.
def test_a_seed_gives_the_same_run_each_time() -> None:
    assert run_scenario(7).lines == run_scenario(7).lines


# Shows that the scenarios reach what they are to test.
def test_jobs_are_handed_over_and_sent_again() -> None:
    world = run_scenario(31, EQUAL_LISTS)
    chosen = [what for _, _, what in world.lines if isinstance(what, LeaderChosen)]
    assert any(line.handovers for line in chosen)
    assert any(len(caller.attempts) > 1 for caller in world.callers.by_job.values())


# Guards against a simulation in which no job lasts longer than the timeouts of routes.
def test_jobs_last_as_long_as_their_callers_wait() -> None:
    world = run_scenario(5, LONG_JOBS)
    callers = world.callers.by_job.values()
    answered = [what for _, _, what in world.lines if isinstance(what, JobAnswered)]
    late = [one for one in answered if one.outcome == "complete" and one.took_s > 2.5]
    assert len(late) > 5
    assert max(caller.timeout_s for caller in callers) > 10.0
    assert any(math.isinf(caller.stated_timeout_s) for caller in callers)


def test_callers_resend_in_some_scenarios_only() -> None:
    loads = [Load(seed, CallerKind.LONG) for seed in range(20)]
    assert {load.resends for load in loads} == {True, False}
