"""A leaving worker gets no new work from any host, even while others fail."""

import pytest

from poplarhill_dev.experiment.config import Fault
from poplarhill_dev.experiment.submit import submit
from poplarhill_dev.trace import check, record
from poplarhill_dev.trace.checker import LEAVING_BOUND_S

HALF_THE_SLOTS = (0.1,) * 12
DRAIN = Fault("drain", 1.0, target="w1")
RESUME_S = 1.5 + LEAVING_BOUND_S + 1.0
FREEZE_HOST = Fault("freeze_host", 0.5, RESUME_S, "h2")
KILL_HOST = Fault("kill_host", 0.9, 3.0, "h2")
ANSWERS_LOST = Fault("platform", 0.5, 4.0, set={"lose_answers": True})
# The bound holds while the log or a peer that has read the drain can be reached, so
# the platform goes down after a host that is not frozen has read the drain.
INFORMED = Fault("informed", 1.1, target="h1")
PLATFORM_DOWN = Fault("platform", 2.5, RESUME_S, set={"down": True})


@pytest.mark.parametrize(
    "faults",
    [
        (DRAIN,),
        (FREEZE_HOST, DRAIN),
        (FREEZE_HOST, DRAIN, INFORMED, PLATFORM_DOWN),
        (KILL_HOST, ANSWERS_LOST, DRAIN),
    ],
    ids=["drain", "freeze_host", "freeze_host+platform_down", "kill_host+lost"],
)
def test_no_work_after_the_bound(fleet, steady_jobs, one_answer_each, faults) -> None:
    jobs = [
        job._replace(timeout_s=20.0, run_s=HALF_THE_SLOTS)
        for job in steady_jobs(RESUME_S + 1.0)
    ]
    answers = submit(fleet, jobs, faults)
    assert one_answer_each(jobs, answers)
    trace = record(fleet, answers)
    assert trace["leaving"]
    assert any(start["worker"] == "w1" for start in trace["starts"])
    assert check(trace) == []
