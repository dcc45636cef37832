"""Short soaks of real processes; a verdict waits on conditions, not on speed."""

from pathlib import Path

import pytest

from poplarhill_dev.soak.regressions import REGRESSIONS
from poplarhill_dev.soak.run import Soak, run_soak

# Hosts, workers and their links fail together; the store fails beside the hosts.
SHORT = [Soak(seed, hosts=3, workers=4, seconds=8.0) for seed in (42, 37)]

# CI has two minutes for soaks; `soak --regressions` runs the longer cases too.
LONGEST_S = 10.0
FAILED_ONCE = [r.soak for r in REGRESSIONS if r.soak.seconds <= LONGEST_S]


def _seed(soak: Soak) -> str:
    return f"seed{soak.seed}"


# Promises that hold one fault at a time have been broken by two.
@pytest.mark.parametrize("soak", SHORT, ids=_seed)
def test_the_promises_hold_under_overlapping_faults(soak: Soak, tmp_path: Path) -> None:
    verdict = run_soak(soak, tmp_path)
    assert not verdict.violations, verdict


@pytest.mark.parametrize("soak", FAILED_ONCE, ids=_seed)
def test_a_seed_that_once_failed_breaks_no_promise(soak: Soak, tmp_path: Path) -> None:
    verdict = run_soak(soak, tmp_path)
    assert not verdict.violations, verdict
