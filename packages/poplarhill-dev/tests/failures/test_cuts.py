"""A data centre is cut off from the others and from the platform for a while."""

import pytest

from poplarhill_dev.experiment.config import Fault
from poplarhill_dev.experiment.submit import submit, submit_now
from poplarhill_dev.trace import check, record

LONG_CUT = Fault("cut", 0.5, 5.0, "dc1")
KILL_HOST = Fault("kill_host", 1.0, 2.0, "h2")
FREEZE_HOST = Fault("freeze_host", 0.9, 2.4, "h1")


def cut(direction: str) -> Fault:
    return Fault("cut", 0.5, 2.5, "dc1", direction=direction)


@pytest.mark.parametrize(
    "faults",
    [
        (cut("both"),),
        (cut("in"),),
        (cut("out"),),
        (cut("both"), KILL_HOST),
        (cut("out"), FREEZE_HOST),
    ],
    ids=["both", "in", "out", "both+kill_host", "out+freeze_host"],
)
def test_every_outcome_holds_and_jobs_complete_after_the_cut(
    relayed_fleet, steady_jobs, one_answer_each, faults
) -> None:
    jobs = steady_jobs(3.0)
    answers = submit(relayed_fleet, jobs, faults)
    relayed_fleet.wait_ready()
    assert one_answer_each(jobs, answers)
    assert check(record(relayed_fleet, answers)) == []
    after = [job._replace(name=f"after-{job.name}", key=None) for job in jobs[:6]]
    assert [a.outcome for a in submit_now(relayed_fleet, after)] == ["complete"] * 6


def test_a_cut_longer_than_the_deadline_gives_every_job_one_answer(
    relayed_fleet, steady_jobs, one_answer_each
) -> None:
    jobs = [job._replace(timeout_s=1.0) for job in steady_jobs(2.0)]
    answers = submit(relayed_fleet, jobs, (LONG_CUT,))
    assert one_answer_each(jobs, answers)
    assert check(record(relayed_fleet, answers)) == []
