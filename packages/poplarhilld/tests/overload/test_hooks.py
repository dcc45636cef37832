"""Where a late host refuses jobs, and what its refusals say."""

from poplarhill import ErrorKind
from poplarhill.types import Address
from poplarhill_dev.leased import SimulatedWorker, World, simulated_job, worker_entry
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


# Jobs of patient callers were all accepted, so that a late leader refused those of a
# better priority instead.
def test_a_late_leader_refuses_jobs_whose_callers_wait_long_beyond_their_objective(
    late_control,
) -> None:
    world = late_world(late_control)
    for n in range(JOBS):
        job = simulated_job(f"j{n}", tasks=1, run_s=0.05, left_s=60.0)
        world.submit("h1", job, host="e2")
    assert len(refusals(world)) >= 0.8 * JOBS


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


# Guards against refusing a job that the delay does not endanger: its caller waits for
# 50 s, and a loop on a busy machine is late for a moment.
def test_a_job_that_can_bear_the_delay_is_accepted(late_control) -> None:
    delay_s = late_control.delay_s(101.0)
    shed = [late_control.find_refusal(101.0, limit_s=14 * delay_s) for _ in range(JOBS)]
    assert any(shed)
    borne = [
        late_control.find_refusal(101.0, limit_s=16 * delay_s) for _ in range(JOBS)
    ]
    assert borne == [None] * JOBS
