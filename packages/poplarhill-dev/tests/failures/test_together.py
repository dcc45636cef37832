"""Single and combined failures of real processes, with a check of each trace."""

import pytest

from poplarhill_dev.experiment.config import Fault
from poplarhill_dev.experiment.submit import submit, submit_now
from poplarhill_dev.trace import check, record

KILL_HOST = Fault("kill_host", 0.7, 2.0, "h1")
FREEZE_HOST = Fault("freeze_host", 0.9, 2.4, "h2")
PLATFORM_DOWN = Fault("platform", 0.5, 2.2, set={"down": True})
PLATFORM_SLOW = Fault("platform", 0.5, 2.2, set={"delay_s": 1.0})
ANSWERS_LOST = Fault("platform", 0.5, 2.2, set={"lose_answers": True})
BAD_WORKER = Fault("worker", 0.6, 2.2, "w1", {"fail": True})
SLOW_WORKER = Fault("worker", 0.6, 2.2, "w2", {"slow": 20.0})


@pytest.mark.parametrize(
    "faults",
    [
        (KILL_HOST,),
        (FREEZE_HOST,),
        (PLATFORM_DOWN,),
        (PLATFORM_SLOW,),
        (ANSWERS_LOST,),
        (BAD_WORKER, SLOW_WORKER),
        (KILL_HOST, FREEZE_HOST),
        (KILL_HOST, PLATFORM_DOWN),
        (FREEZE_HOST, ANSWERS_LOST, BAD_WORKER),
    ],
    ids=lambda faults: "+".join(f"{f.kind}_{'_'.join(f.set)}" for f in faults),
)
def test_every_outcome_holds(fleet, steady_jobs, one_answer_each, faults) -> None:
    jobs = steady_jobs(3.0)
    answers = submit(fleet, jobs, faults)
    fleet.wait_ready()
    assert one_answer_each(jobs, answers)
    assert check(record(fleet, answers)) == []
    after = [job._replace(name=f"after-{job.name}", key=None) for job in jobs[:6]]
    assert [a.outcome for a in submit_now(fleet, after)] == ["complete"] * 6
