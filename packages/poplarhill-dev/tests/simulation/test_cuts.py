"""Simulated fleets whose hosts are cut off from each other again and again."""

import pytest

from poplarhill_dev.simulation.cuts import run_cuts


# Guards against two runs of one task when a job is handed over between two leaders that
# took the workers from each other during a cut. `simulate --cuts` runs more seeds.
@pytest.mark.parametrize("seed", [74, 168, 174])
def test_no_task_runs_twice_after_cuts(seed: int) -> None:
    assert run_cuts(seed).violated == []
