"""Simulated fleets under random faults."""

import pytest

from poplarhill_dev.simulation.scenario import ScenarioOptions, run_scenario
from poplarhilld.submissions.messages import LeaderChosen

SEEDS = (1, 2, 3, 4, 1185)
EQUAL_LISTS = ScenarioOptions(store=False)


# Guards against two runs of one task, and against runs after their caller was told that
# nothing has run, whatever faults coincide. `simulate --seeds` runs more.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_under_random_faults(seed: int) -> None:
    assert run_scenario(seed, EQUAL_LISTS).violated == []


# A failed seed has to come back with the same trace.
def test_a_seed_gives_the_same_run_each_time() -> None:
    assert run_scenario(7).lines == run_scenario(7).lines


# Shows that the scenarios reach what they are to test.
def test_jobs_are_handed_over_and_sent_again() -> None:
    world = run_scenario(31, EQUAL_LISTS)
    chosen = [what for _, _, what in world.lines if isinstance(what, LeaderChosen)]
    assert any(line.handovers for line in chosen)
    assert any(len(caller.attempts) > 1 for caller in world.callers.by_job.values())
