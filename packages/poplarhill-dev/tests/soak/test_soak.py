"""Short soaks of real processes; results do not depend on the machine's speed."""

from pathlib import Path

import pytest

from poplarhill_dev.soak.regressions import REGRESSIONS
from poplarhill_dev.soak.run import Soak, run_soak

# 42 draws faults of links, workers, store and processes; 37 of store and processes,
# and planned changes.
OVERLAPPING = [Soak(seed, hosts=3, workers=4, seconds=8.0) for seed in (42, 37)]

# Planned changes and faults of workers, beside an evacuation that outlasts the bound.
EVACUATED = Soak(4, hosts=3, workers=6, seconds=12.0, evacuations=True)

# CI has two minutes for soaks; `soak --regressions` also runs the longer ones.
MAX_CI_SECONDS = 10.0
REGRESSION_SOAKS = [r.soak for r in REGRESSIONS if r.soak.seconds <= MAX_CI_SECONDS]


def _seed(soak: Soak) -> str:
    return f"seed{soak.seed}"


# Guarantees that hold under single faults have been violated by overlapping ones.
@pytest.mark.parametrize("soak", OVERLAPPING, ids=_seed)
def test_guarantees_hold_under_overlapping_faults(soak: Soak, tmp_path: Path) -> None:
    verdict = run_soak(soak, tmp_path)
    assert not verdict.violations, verdict


@pytest.mark.parametrize("soak", REGRESSION_SOAKS, ids=_seed)
def test_regression_seeds_violate_no_guarantee(soak: Soak, tmp_path: Path) -> None:
    verdict = run_soak(soak, tmp_path)
    assert not verdict.violations, verdict


# Guards the whole path: store, heartbeats, leaders that come and go, and orders that
# workers carry out late.
def test_no_task_starts_in_an_evacuated_data_centre(tmp_path: Path) -> None:
    verdict = run_soak(EVACUATED, tmp_path)
    assert not verdict.violations, verdict
