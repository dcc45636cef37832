"""Placement that looks ahead, by pattern of load, with one leader of 24 workers."""

from statistics import fmean

import pytest

from poplarhill_dev.patterns import PATTERNS, VARIANTS, PatternResult, replay_pattern

_SECONDS = 5.0
_SEEDS = (200, 201, 202)
# A place may stay free for a job that waits; more idle cores than this would mean that
# reservations take capacity from jobs that could use it.
_MAX_IDLE = 0.03
LEAST_LARGE_PART = 0.5  # required least share served of the large jobs of a route


def _replay(name: str, variant: str) -> list[PatternResult]:
    (pattern,) = (pattern for pattern in PATTERNS if pattern.name == name)
    options = VARIANTS[variant]
    return [replay_pattern(pattern, _SECONDS, seed, options) for seed in _SEEDS]


@pytest.mark.parametrize("name", [pattern.name for pattern in PATTERNS])
def test_looking_ahead_gains_credit_and_leaves_no_cores_idle(name: str) -> None:
    # Loads: 1.3 with mixed sizes; bursts of wide jobs; jobs of 26 large tasks among
    # small ones; tasks of 4 and 10.5 cores; run times seven times the declared ones.
    before, after = _replay(name, "off"), _replay(name, "on")
    assert fmean(r.credit for r in after) >= fmean(r.credit for r in before)
    in_use = fmean(r.in_use for r in before)
    assert fmean(r.in_use for r in after) >= in_use - _MAX_IDLE
    assert not any(r.violations for r in after)
    # Callers wait 1.5 s.
    assert max(r.longest_wait_s for r in after) < 1.5


def test_a_huge_job_is_served_among_small_ones() -> None:
    # Load: 0.95 of the cores, 0.85 of it in small tasks that fill each gap.
    before, after = _replay("huge job", "off"), _replay("huge job", "on")
    gained = [
        now.routes["huge"].credit - was.routes["huge"].credit
        for was, now in zip(before, after, strict=True)
    ]
    assert fmean(gained) > 0
    for part in ("tenth", "fifth"):
        share = fmean(getattr(r.routes["huge"], part) for r in after)
        assert share >= LEAST_LARGE_PART
