"""Run time estimates: speeds of workers and errors of declared run times."""

from collections.abc import Callable
from random import Random

import pytest

from poplarhilld.leading.estimates import CompletedRun, RunTimes

SPEEDS = {"fast": 0.8, "usual": 1.0, "slow": 1.25}


@pytest.fixture
def times() -> RunTimes:
    return RunTimes()


@pytest.fixture
def run_job(times: RunTimes) -> Callable[..., None]:
    """Return a call that runs a job whose declared time is wrong by a factor."""

    def call(
        error: float, speeds: dict[str, float], random: Random | None = None
    ) -> None:
        runs = []
        for worker, slowdown in speeds.items():
            noise = random.uniform(0.85, 1.15) if random else 1.0
            runs.append(CompletedRun(worker, 1.0, error * slowdown * noise))
        times.learn("r", runs)

    return call


def test_speeds_are_learned_although_all_declared_times_are_wrong(times, run_job):
    # Eight jobs, as after a start under light load, with errors from 0.67 to 1.5.
    random = Random(1)
    for _ in range(8):
        run_job(random.uniform(0.67, 1.5), SPEEDS, random)
    learned = {name: times.slowdown(name) for name in SPEEDS}
    assert learned["fast"] == pytest.approx(0.8, abs=0.1)
    assert learned["usual"] == pytest.approx(1.0, abs=0.1)
    assert learned["slow"] == pytest.approx(1.25, abs=0.1)


def test_a_route_that_always_declares_too_little_is_corrected(times, run_job) -> None:
    for _ in range(40):
        run_job(1.5, {"a": 1.0, "b": 1.0})
    assert times.expected_s("r", 1.0) == pytest.approx(1.5, abs=0.1)


def test_the_mean_slowdown_stays_at_one(times, run_job) -> None:
    random = Random(2)
    for _ in range(500):
        run_job(random.uniform(0.67, 1.5), SPEEDS, random)
    mean = sum(times.slowdown(name) for name in SPEEDS) / len(SPEEDS)
    assert mean == pytest.approx(1.0, abs=0.1)


def test_a_worker_that_becomes_slow_is_noticed_within_four_jobs(times, run_job) -> None:
    for _ in range(20):
        run_job(1.0, SPEEDS)
    for _ in range(4):
        run_job(1.0, SPEEDS | {"fast": 0.8 * 6})
    assert times.slowdown("fast") > 2.5
    for _ in range(8):
        run_job(1.0, SPEEDS)
    assert times.slowdown("fast") < 1.5


def test_one_outlier_job_has_a_limited_effect(times, run_job) -> None:
    for _ in range(20):
        run_job(1.0, SPEEDS)
    run_job(10.0, {"fast": 0.8})
    assert times.slowdown("fast") < 2.0


def test_runs_without_a_declared_or_measured_time_change_no_estimate(times) -> None:
    times.learn("r", [CompletedRun("a", 0.0, 1.0), CompletedRun("b", 1.0, 0.0)])
    times.learn("r", [])
    assert times.slowdown("a") == times.slowdown("b") == 1.0


def test_a_forgotten_worker_has_the_usual_speed(times, run_job) -> None:
    for _ in range(20):
        run_job(1.0, SPEEDS)
    times.forget("slow")
    assert times.slowdown("slow") == 1.0
