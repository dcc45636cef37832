"""Planned stops of real processes under load cut off no request."""

import pytest

from poplarhill_dev.experiment.config import Fault
from poplarhill_dev.experiment.submit import submit
from poplarhill_dev.trace import check, record

# The load has no balancer that asks `/readyz`, so a host that has just started may
# refuse a job, as not run, before it knows the configuration.
ANSWERS_OF_A_STOP = {"complete", "shutting_down", "not_ready"}


PLATFORM_DOWN = Fault("platform", 0.3, 3.6, set={"down": True})


@pytest.mark.parametrize(
    "faults", [(), (PLATFORM_DOWN,)], ids=["calm", "platform_down"]
)
def test_every_host_stops_in_turn_and_cuts_off_no_request(
    fleet, steady_jobs, faults
) -> None:
    names = [daemon.name for daemon in fleet.daemons()]
    stops = tuple(
        Fault("stop_host", 0.5 + turn, 1.2 + turn, name)
        for turn, name in enumerate(names)
    )
    jobs = steady_jobs(4.0)
    answers = submit(fleet, jobs, (*stops, *faults))
    assert fleet.exit_codes == [(name, 0) for name in names]
    assert {answer.outcome for answer in answers} <= ANSWERS_OF_A_STOP
    trace = record(fleet, answers)
    assert check(trace) == []
    assert {line["process"] for line in trace["versions"]} >= {
        f"{name} run {run}" for name in names for run in (1, 2)
    }
