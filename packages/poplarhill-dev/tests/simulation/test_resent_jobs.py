"""Jobs that callers send again in a fleet with the heartbeats of a large one."""

import pytest

from poplarhill_dev.leased import simulated_job
from poplarhill_dev.simulation import SMALL_FLEET, FleetWorld
from poplarhill_dev.simulation.callers import RESEND_DELAY_S

LEADER, SUCCESSOR, ENTRY = "dc1-00", "dc1-01", "dc1-05"
DISTANT_ENTRY = "dc3-04"
RUN_S = 1.5  # as long as callers wait
DOWN_S = 9.0  # longer than the test


@pytest.fixture
def fleet() -> FleetWorld:
    fleet = FleetWorld(1, SMALL_FLEET)
    fleet.run(0.5)  # until the heartbeats between neighbours are rare
    assert fleet.leader_of("dc1") == LEADER
    return fleet


def submit_jobs(fleet: FleetWorld, host: str, count: int = 6) -> None:
    """Submit jobs with long tasks to a host; they are sent again to another centre."""
    for number in range(count):
        job = simulated_job(f"j{number}", tasks=8, run_s=0.9)
        job.runs.update({f"j{number}.0.0.{task}": RUN_S for task in range(8)})
        fleet.submit_job(job, "dc2", host)


# Guards against orphans whose lease each new leader renews before it is lost itself: no
# host knows of them when their callers send the job again.
@pytest.mark.parametrize("lose", ["kill", "power_off"])
def test_runs_without_an_entry_host_end_though_two_leaders_are_lost(
    fleet: FleetWorld, lose: str
) -> None:
    submit_jobs(fleet, ENTRY)
    fleet.run(0.1)
    getattr(fleet, lose)(LEADER, DOWN_S)
    fleet.kill(ENTRY, DOWN_S)
    while fleet.leader_of("dc1") != SUCCESSOR:
        fleet.run(0.05)
    fleet.run(0.2)
    getattr(fleet, lose)(SUCCESSOR, DOWN_S)
    fleet.run(RESEND_DELAY_S + RUN_S)
    assert fleet.violated == []


# Guards against leases that each of several successors extends, although none of them
# knows the jobs of the runs that it finds.
def test_runs_of_a_killed_leader_end_though_two_successors_are_lost(
    fleet: FleetWorld,
) -> None:
    submit_jobs(fleet, LEADER)
    fleet.run(0.1)
    fleet.kill(LEADER, DOWN_S)
    for lose in (fleet.kill, fleet.power_off):
        while not fleet.leader_of("dc1"):
            fleet.run(0.02)
        fleet.run(0.25)
        lose(fleet.leader_of("dc1"), DOWN_S)
    fleet.run(RESEND_DELAY_S + RUN_S)
    assert fleet.violated == []


# Guards against a successor that claims the workers just before their leases lapse, and
# gives unclaimed runs the full time to be offered again.
def test_runs_without_an_entry_host_end_though_their_workers_are_claimed_late(
    fleet: FleetWorld,
) -> None:
    submit_jobs(fleet, ENTRY)
    fleet.run(0.1)
    fleet.freeze(LEADER, DOWN_S)
    fleet.run(0.06)
    fleet.kill(ENTRY, DOWN_S)
    fleet.kill(SUCCESSOR, DOWN_S)
    fleet.run(RESEND_DELAY_S + RUN_S)
    assert fleet.violated == []


# Guards against leases that a leader has renewed for runs of a host that was lost
# before it: they outlast the resend delay when the leader is lost as well.
@pytest.mark.parametrize(("lose", "after_s"), [("kill", 0.9), ("freeze", 0.7)])
def test_runs_of_a_killed_host_end_though_their_leader_is_lost_after_it(
    fleet: FleetWorld, lose: str, after_s: float
) -> None:
    submit_jobs(fleet, ENTRY)
    fleet.run(0.02)
    fleet.cut_paths([(LEADER, ENTRY)], DOWN_S)
    fleet.kill(ENTRY, DOWN_S)
    fleet.run(after_s)
    getattr(fleet, lose)(LEADER, DOWN_S)
    fleet.run(RESEND_DELAY_S + RUN_S)
    assert fleet.violated == []


# Guards against withdrawals that are lost with a connection: the leader runs the tasks
# on until the limit of their job, which is later than the next attempt of its caller.
def test_runs_end_though_the_withdrawal_of_their_job_is_lost(fleet: FleetWorld) -> None:
    submit_jobs(fleet, ENTRY)
    fleet.run(0.02)
    fleet.cut_paths([(ENTRY, LEADER)], 1.2)
    fleet.reset_connections(ENTRY)
    fleet.run(RESEND_DELAY_S + RUN_S)
    assert fleet.violated == []


# Guards against a leader that gives up a lost entry host later than its callers resend.
@pytest.mark.parametrize("both_ways", [False, True])
def test_runs_of_a_killed_host_end_at_a_leader_that_cannot_reach_it(
    fleet: FleetWorld, both_ways: bool
) -> None:
    submit_jobs(fleet, ENTRY)
    fleet.run(0.02)
    paths = [(LEADER, ENTRY), (ENTRY, LEADER)]
    fleet.cut_paths(paths if both_ways else paths[:1], DOWN_S)
    fleet.kill(ENTRY, DOWN_S)
    fleet.run(RESEND_DELAY_S + RUN_S)
    assert fleet.violated == []


# Guards against a leader that takes the missing repeats of a host which was lost long
# before a pause of the leader for ones that the pause delays.
@pytest.mark.parametrize("pause_s", [0.2, 0.25, 0.5])
def test_runs_of_a_killed_host_end_at_a_leader_that_is_paused_shortly(
    fleet: FleetWorld, pause_s: float
) -> None:
    submit_jobs(fleet, ENTRY)
    fleet.run(0.02)
    fleet.cut_paths([(LEADER, ENTRY), (ENTRY, LEADER)], DOWN_S)
    fleet.kill(ENTRY, DOWN_S)
    fleet.run(0.95)
    fleet.freeze(LEADER, pause_s, tick_first=True)
    fleet.run(RESEND_DELAY_S + RUN_S)
    assert fleet.violated == []


# Guards against successors of a leader that extend the leases of runs whose entry host,
# in another data centre, was killed before the leader had to notice it.
@pytest.mark.parametrize("gaps_s", [(0.6, 0.45), (0.75, 0.3), (0.3, 0.3, 0.3)])
def test_runs_of_a_distant_host_end_though_its_leaders_are_killed_after_it(
    fleet: FleetWorld, gaps_s: tuple[float, ...]
) -> None:
    fleet.drain_workers(
        worker.entry.name
        for worker in fleet.workers.values()
        if worker.entry.data_centre == "dc3"
    )
    fleet.run(3.0)
    submit_jobs(fleet, DISTANT_ENTRY, count=12)
    fleet.run(0.06)
    fleet.kill(DISTANT_ENTRY, DOWN_S)
    for gap_s in gaps_s:
        fleet.run(gap_s)
        while not fleet.leader_of("dc1"):
            fleet.run(0.02)
        fleet.kill(fleet.leader_of("dc1"), DOWN_S)
    fleet.run(RESEND_DELAY_S + RUN_S)
    assert fleet.violated == []
