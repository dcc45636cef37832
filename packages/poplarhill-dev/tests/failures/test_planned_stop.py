"""Planned stops of real processes under load interrupt no request."""

import pytest

from poplarhill_dev.experiment.config import Fault
from poplarhill_dev.experiment.submit import submit
from poplarhill_dev.trace import check, record

# No load balancer checks `/readyz` here, so a host that has just started may refuse a
# job before it has the configuration. While the log is down, jobs with a key are
# refused too: only the log can keep a second submission of the key from running.
REFUSALS_OF_A_STOP = {"shutting_down", "not_ready"}
REFUSALS_OF_A_KEY = {"claim_unavailable"}
PLATFORM_DOWN = Fault("platform", 0.3, 3.6, set={"down": True})


@pytest.mark.parametrize(
    "faults", [(), (PLATFORM_DOWN,)], ids=["calm", "platform_down"]
)
def test_every_host_stops_in_turn_and_cuts_off_no_request(
    fleet, steady_jobs, faults
) -> None:
    names = [daemon.name for daemon in fleet.daemons()]
    # On a busy machine a host may still be starting when the next one stops, and
    # callers would find no host at all. So each stop waits until the host listens.
    stops = tuple(
        fault
        for turn, name in enumerate(names)
        for fault in (
            Fault("stop_host", 0.5 + turn, 1.2 + turn, name),
            Fault("listening", 1.3 + turn, target=name),
        )
    )
    jobs = steady_jobs(8.0)
    answers = submit(fleet, jobs, (*stops, *faults))
    assert fleet.exit_codes == [(name, 0) for name in names]
    rest = [answer for answer in answers if answer.outcome != "complete"]
    keyed = {answer.outcome for answer in rest if answer.key is not None}
    unkeyed = {answer.outcome for answer in rest if answer.key is None}
    assert unkeyed <= REFUSALS_OF_A_STOP
    assert keyed <= REFUSALS_OF_A_STOP | (REFUSALS_OF_A_KEY if faults else set())
    assert {answer.run_state for answer in rest} <= {"not_run"}
    fleet.wait_ready()
    trace = record(fleet, answers)
    assert check(trace) == []
    assert {line["process"] for line in trace["versions"]} >= {
        f"{name} run {run}" for name in names for run in (1, 2)
    }
