"""The sheets' mix at the load of heavy days, replayed through a leader."""

from poplarhill_dev.heavy import replay

# Issue 10 asks for 85 % of the upper bound on heavy days; the bound is 1 here.
LEAST_CREDIT = 0.85


def test_bursts_beyond_the_usual_load_are_served() -> None:
    # Pattern: all kinds at 1.25 times the sheets' rate, as in a burst.
    scores = replay(load=1.25, seconds=8.0, seed=1)
    mean = sum(score.credit for score in scores.values()) / len(scores)
    assert mean >= LEAST_CREDIT


def test_wide_short_jobs_are_in_time_on_a_usual_day() -> None:
    # Pattern: eight short tasks at once while long tasks hold the room.
    scores = replay(load=1.0, seconds=8.0, seed=2)
    assert scores["short wide"].credit >= LEAST_CREDIT
    assert scores["long"].credit >= LEAST_CREDIT
