"""The usual workload at the load of heavy days, with one leader."""

from random import Random
from statistics import pstdev

import pytest

from poplarhill_dev.heavy import KINDS, draw_job, replay

# Issue 10 requires 85 % of the upper bound on heavy days; the bound is 1 here.
LEAST_CREDIT = 0.85
# On usual days it requires 90 %; only a share of 0.97 of the long jobs can be in time.
LEAST_USUAL_CREDIT = 0.9 * 0.97
# Required least share of the largest tenth of a kind that is served, as a fraction
# of the share of the whole kind.
LEAST_LARGE_PART = 0.5


def test_bursts_beyond_the_usual_load_are_served() -> None:
    # Load: all kinds at 1.25 times the usual rate, as in a burst.
    scores = replay(load=1.25, seconds=8.0, seed=1)
    mean = sum(score.credit for score in scores.values()) / len(scores)
    assert mean >= LEAST_CREDIT


def test_every_kind_is_in_time_on_a_usual_day() -> None:
    # Load: jobs of eight short tasks arrive while long tasks hold the capacity. Each
    # seed has about 30 long jobs, a few of which have more than 1.5 s of work.
    scores = [replay(load=1.0, seconds=8.0, seed=seed) for seed in range(4)]
    for kind in ("short wide", "long", "short narrow"):
        mean = sum(score[kind].credit for score in scores) / len(scores)
        assert mean >= LEAST_USUAL_CREDIT


def test_long_jobs_are_placed_on_fast_workers_while_capacity_is_short() -> None:
    # Load: tasks of 0.9 s with a deadline of 1.5 s, at 1.5 times the usual rate.
    scores = [replay(load=1.5, seconds=8.0, seed=seed) for seed in range(6)]
    large = sum(score["long"].large[0] for score in scores) / len(scores)
    served = sum(score["long"].served for score in scores) / len(scores)
    assert served >= 0.9
    assert large >= LEAST_LARGE_PART * served


def test_new_jobs_are_in_time_while_all_callers_of_an_outage_resend() -> None:
    # Load: no host for 1.2 s, then all callers who still wait resend at once, beside
    # the usual traffic. If only half of it were in time within four seconds, this
    # would be the worst window of a day.
    scores = [
        replay(load=1.1, seconds=4.0, seed=seed, outage_s=1.2) for seed in range(4)
    ]
    for kind in ("short wide", "short narrow"):
        mean = sum(score[kind].credit for score in scores) / len(scores)
        assert mean >= LEAST_CREDIT


def test_large_jobs_are_served_as_far_as_the_fastest_worker_could() -> None:
    # Load: a third of the workers runs 1.3 times as long, the deadline of tasks of
    # 0.9 s is 1.35 s, at 1.3 times the usual rate. Scored is the fifth of the jobs
    # below the largest tenth.
    scores = [
        replay(1.3, 10.0, seed, deadline_s=1.35, slowdowns=(1.0, 1.0, 1.3))["long"]
        for seed in range(10)
    ]
    before_deadline = sum(score.before_deadline[1] for score in scores)
    possible = sum(score.possible[1] for score in scores)
    assert before_deadline >= LEAST_CREDIT * possible


# With all run times within 15 % of their mean, the longest task of a job was too short:
# more of the large jobs could be done in time than in the users' workload.
def test_run_times_within_a_job_have_the_deviation_that_users_state() -> None:
    random = Random(1)
    ratios = []
    for number in range(1000):
        job, _ = draw_job(random, KINDS[0], f"j{number}")
        ratios += [run_s / job.run_s for run_s in job.runs.values()]
    assert pstdev(ratios) == pytest.approx(0.15, abs=0.01)
