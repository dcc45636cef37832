"""The sheets' mix at the load of heavy days, replayed through a leader."""

from poplarhill_dev.heavy import replay

# Issue 10 asks for 85 % of the upper bound on heavy days; the bound is 1 here.
LEAST_CREDIT = 0.85
# On usual days it asks for 90 %; of the sheet's long jobs 0.97 can be in time.
LEAST_USUAL_CREDIT = 0.9 * 0.97
# The users' gate: how often the largest tenth of a kind is served, at least.
LEAST_LARGE_PART = 0.5


def test_bursts_beyond_the_usual_load_are_served() -> None:
    # Pattern: all kinds at 1.25 times the sheets' rate, as in a burst.
    scores = replay(load=1.25, seconds=8.0, seed=1)
    mean = sum(score.credit for score in scores.values()) / len(scores)
    assert mean >= LEAST_CREDIT


def test_every_kind_is_in_time_on_a_usual_day() -> None:
    # Pattern: eight short tasks at once while long tasks hold the room. A seed has
    # some 30 long jobs, of which the odd one has more than 1.5 s of work.
    scores = [replay(load=1.0, seconds=8.0, seed=seed) for seed in range(4)]
    for kind in ("short wide", "long", "short narrow"):
        mean = sum(score[kind].credit for score in scores) / len(scores)
        assert mean >= LEAST_USUAL_CREDIT


def test_long_jobs_find_fast_workers_while_room_is_short() -> None:
    # Pattern: tasks of 0.9 s, 1.5 s for the caller, at 1.5 times the usual rate.
    scores = [replay(load=1.5, seconds=8.0, seed=seed) for seed in range(6)]
    large = sum(score["long"].large[0] for score in scores) / len(scores)
    served = sum(score["long"].served for score in scores) / len(scores)
    assert served >= 0.9
    assert large >= LEAST_LARGE_PART * served


def test_new_jobs_are_in_time_though_all_callers_of_an_outage_come_back() -> None:
    # Pattern: 1.2 s without any host, then all who still wait at once, and usual
    # traffic; half of it in time within four seconds would be a day's worst window.
    scores = [
        replay(load=1.1, seconds=4.0, seed=seed, outage_s=1.2) for seed in range(4)
    ]
    for kind in ("short wide", "short narrow"):
        mean = sum(score[kind].credit for score in scores) / len(scores)
        assert mean >= LEAST_CREDIT


def test_large_jobs_are_served_as_far_as_any_worker_could() -> None:
    # Pattern: a third of the workers takes 1.3 times as long, callers of tasks of
    # 0.9 s wait 1.35 s, at 1.3 times the usual rate; the fifth below the largest.
    scores = [
        replay(1.3, 10.0, seed, deadline_s=1.35, slowdowns=(1.0, 1.0, 1.3))["long"]
        for seed in range(10)
    ]
    kept = sum(score.kept[1] for score in scores)
    possible = sum(score.possible[1] for score in scores)
    assert kept >= LEAST_CREDIT * possible
