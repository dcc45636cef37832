"""Where a late host refuses jobs, and what its refusals say."""

import curio
import msgspec

from poplarhill import ErrorKind
from poplarhill.http import Request
from poplarhill.types import Address
from poplarhill_dev.leased import SimulatedWorker, World, simulated_job, worker_entry
from poplarhilld.api import Api
from poplarhilld.leading import Leader
from poplarhilld.leases import TokenSource
from poplarhilld.overload import OverloadControl
from poplarhilld.peers import JobEnded, Load
from poplarhilld.submissions import LeaderView, choose_leader

JOBS = 40


def late_world(control: OverloadControl) -> World:
    """Return a world whose leader `h1` is late."""
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(4))
    tokens = TokenSource(Address("10.0.0.1", 1))
    leader = Leader(tokens, 1.0, overload=control, own_name="h1")
    world.leaders["h1"] = leader
    world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
    world.run(0.2)
    return world


def refusals(world: World) -> dict[str, JobEnded]:
    return {
        report.job_id: report
        for _, _, report in world.reports
        if isinstance(report, JobEnded) and report.error
    }


# A refusal has to be true: no task of the job may start afterwards, also if the offer
# is repeated once the leader is no longer late.
def test_a_late_leader_refuses_offers_and_never_starts_what_it_refused(
    late_control,
) -> None:
    world = late_world(late_control)
    jobs = [simulated_job(f"j{n}", tasks=1, run_s=0.05) for n in range(JOBS)]
    for job in jobs:
        world.submit("h1", job, host="e2")
    refused = refusals(world)
    assert len(refused) >= 0.8 * JOBS
    for report in refused.values():
        assert report.error == ErrorKind.OVERLOADED.value
        assert report.not_run
        assert report.retry_after_s >= 1.0
    assert len({report.retry_after_s for report in refused.values()}) == len(refused)
    late_control.expect_turn(world.now + 60.0)
    for _ in range(40):
        late_control.note_turn(world.now, 1.0)
        world.run(0.05)
    for job in jobs:
        world.submit("h1", job, host="e2")
    world.run(1.0)
    assert world.starts == JOBS - len(refused)


# Guards work begun: a job that another leader had may have run, and the job of an own
# caller was accepted on its arrival.
def test_a_late_leader_accepts_work_begun_and_its_own_callers_jobs(
    late_control,
) -> None:
    world = late_world(late_control)
    for n in range(JOBS):
        world.submit("h1", simulated_job(f"a{n}", tasks=1, handovers=1), host="e2")
        world.submit("h1", simulated_job(f"b{n}", tasks=1, left_s=9.0), host="h1")
    late = [one for one in refusals(world).values() if "late" in one.detail]
    assert not late


# The jobs of a late leader must not all go to the one leader that looks best.
def test_a_late_leader_is_not_chosen_and_its_jobs_are_spread() -> None:
    late = Load(800.0, 800.0, 0.0, 1.0, late=True)
    leaders = {"local": LeaderView(1, True, late)}
    for n in range(4):
        load = Load(800.0, 400.0 - 10 * n, 0.0, 0.3)
        leaders[f"h{n}"] = LeaderView(1, False, load)
    chosen = [choose_leader(leaders, 30.0, f"j{n}").leader for n in range(400)]
    assert "local" not in chosen
    assert max(chosen.count(f"h{n}") for n in range(4)) <= 0.6 * len(chosen)


def test_a_late_leader_is_chosen_if_no_other_has_processor_time() -> None:
    leaders = {
        "late": LeaderView(1, True, Load(800.0, 400.0, 0.0, 1.0, late=True)),
        "busy": LeaderView(1, False, Load(800.0, 400.0, 0.0, 0.9)),
        "empty": LeaderView(1, False, Load()),
    }
    assert choose_leader(leaders, 30.0, "a").leader == "late"


# A balancer that takes late hosts out would move their load to the next one, which is
# then late: readiness must not follow the load.
def test_a_late_host_stays_ready_and_refuses_before_it_reads_a_job(
    late_control,
) -> None:
    answered: list = []

    def find_refusal():
        shed = late_control.find_refusal(101.0)
        return None if shed is None else shed.failure

    async def submit(spec):
        answered.append(spec)

    api = Api(submit, submit, lambda: True, dict, bytes, lambda: 101.0, find_refusal)
    path = "/v1/services/booking/jobs"

    async def main():
        request = Request("POST", path, "", {}, b"no JSON")
        responses = [await api.handle(request) for _ in range(JOBS)]
        ready = await api.handle(Request("GET", "/readyz", "", {}, b""))
        return responses, ready

    responses, ready = curio.run(main)
    assert ready.status == 200
    refused = [one for one in responses if one.status == 503]
    assert len(refused) >= 0.8 * JOBS
    for response in refused:
        assert int(response.headers["retry-after"]) >= 1
        error = msgspec.json.decode(response.body)["error"]
        assert (error["kind"], error["run_state"]) == ("overloaded", "not_run")
    assert {int(one.headers["retry-after"]) for one in refused} >= {2, 3, 4}
    assert not answered
