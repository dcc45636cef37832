"""Simulated fleets under random faults."""

import pytest

from poplarhill_dev.simulation.scenario import run_scenario

SEEDS = 4


# Guards against two runs of one task, and against runs after their caller was told that
# nothing has run, whatever faults coincide. `simulate --seeds` runs more.
@pytest.mark.parametrize("seed", range(1, SEEDS + 1))
def test_no_task_runs_twice_under_random_faults(seed: int) -> None:
    assert run_scenario(seed).violated == []


# A failed seed has to come back with the same trace.
def test_a_seed_gives_the_same_run_each_time() -> None:
    assert run_scenario(7).lines == run_scenario(7).lines
