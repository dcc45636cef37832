"""Simulated fleets that lose entry hosts and the leaders of their jobs in a row."""

import pytest

from poplarhill_dev.simulation.chains import run_chain


# Guards against two runs of one task when each lost leader lengthens the life of
# runs whose entry host was lost before it. `simulate --chains` runs more seeds.
@pytest.mark.parametrize("seed", [1, 2, 3, 10])
def test_no_task_runs_twice_after_a_chain_of_losses(seed: int) -> None:
    assert run_chain(seed).violated == []
