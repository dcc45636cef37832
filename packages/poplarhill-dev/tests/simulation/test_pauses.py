"""Simulated fleets whose leaders and entry hosts are paused while others restart."""

import pytest

from poplarhill_dev.simulation.pauses import run_pauses


# Guards against two runs of one task when a leader resumes and reads the first offers
# of a host, which are seconds old. `simulate --pauses` runs more seeds.
@pytest.mark.parametrize("seed", [24, 28, 31])
def test_no_task_runs_twice_after_pauses(seed: int) -> None:
    assert run_pauses(seed).violated == []
