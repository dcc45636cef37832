"""The mix of the grown sheets, replayed through many hosts and several leaders."""

from poplarhill_dev.grown import Deal, replay

# Issue 10 asks for 85 % of the upper bound on heavy days; the bound is 1 here.
LEAST_IN_TIME = 0.85


def test_bursts_on_a_grown_deployment_are_served() -> None:
    # Pattern: 1.5 times the rates of the grown sheets on 176 workers in four data
    # centres; many small leaders left wide jobs waiting beside room of others.
    outcomes = [replay(Deal(), load=1.5, seconds=4.0, seed=seed) for seed in range(3)]
    for kind in ("short wide", "short narrow"):
        shares = [outcome.kinds[kind].in_time for outcome in outcomes]
        assert sum(shares) / len(shares) >= LEAST_IN_TIME
