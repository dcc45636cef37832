"""A keyed job that is not idempotent runs at most once, through any hosts."""

import pytest

from poplarhill_dev.experiment.config import Fault
from poplarhill_dev.experiment.submit import submit
from poplarhill_dev.trace import check, record

KILL_HOST = Fault("kill_host", 0.7, 2.0, "h1")
FREEZE_HOST = Fault("freeze_host", 0.9, 2.4, "h2")
PLATFORM_DOWN = Fault("platform", 0.5, 1.5, set={"down": True})
ANSWERS_LOST = Fault("platform", 0.5, 2.2, set={"lose_answers": True})
LATE_APPENDS = Fault("platform", 0.5, 2.2, set={"late_append_s": 0.5})
CUT = Fault("cut", 0.5, 2.0, "dc1")


@pytest.fixture
def keyed_jobs(steady_jobs):
    """Return jobs in pairs, each pair with one key and through two hosts."""
    return [
        job._replace(key=f"key{number // 2}")
        for number, job in enumerate(steady_jobs(3.0))
    ]


def run_and_check(fleet, jobs, faults) -> None:
    answers = submit(fleet, jobs, faults)
    assert check(record(fleet, answers)) == []
    outcomes = {answer.outcome for answer in answers}
    assert {"complete", "duplicate"} <= outcomes


@pytest.mark.parametrize(
    "faults",
    [
        (),
        (KILL_HOST,),
        (FREEZE_HOST,),
        (PLATFORM_DOWN,),
        (ANSWERS_LOST,),
        (LATE_APPENDS, KILL_HOST),
    ],
    ids=lambda faults: "+".join(f"{f.kind}_{'_'.join(f.set)}" for f in faults),
)
def test_a_key_submitted_twice_starts_once(fleet, keyed_jobs, faults) -> None:
    run_and_check(fleet, keyed_jobs, faults)


def test_a_key_submitted_across_a_cut_starts_once(relayed_fleet, keyed_jobs) -> None:
    run_and_check(relayed_fleet, keyed_jobs, (CUT,))
