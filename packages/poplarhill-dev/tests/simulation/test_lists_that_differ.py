"""Leaders whose lists lack workers on which a former leader has started runs."""

import pytest

from poplarhill_dev.leased import simulated_job
from poplarhill_dev.simulation import SMALL_FLEET, Caller, FleetWorld
from poplarhill_dev.simulation.store import Omission

LEADER, ENTRY = "dc1-00", "dc1-05"
KEPT_S = 9.0  # longer than hosts keep workers that are no longer listed
RUN_S = 1.4
KNOWN = 4  # workers of the data centre that all hosts know


@pytest.fixture
def fleet() -> FleetWorld:
    """A fleet in which only the leader knows most workers of its data centre."""
    fleet = FleetWorld(1, SMALL_FLEET)
    hosts = frozenset(fleet.hosts) - {LEADER}
    names = [n for n, w in fleet.workers.items() if w.entry.data_centre == "dc1"]
    fleet.store.inject(Omission(hosts, frozenset(names[KNOWN:])), 3 * KEPT_S)
    fleet.run(KEPT_S)
    return fleet


def submit_jobs(fleet: FleetWorld, count: int = 6) -> None:
    for number in range(count):
        job = simulated_job(f"j{number}", tasks=8, run_s=0.9)
        job.runs.update({f"j{number}.0.0.{task}": RUN_S for task in range(8)})
        fleet.submit(Caller(job, "dc1", resends=False), ENTRY)


# Guards against a next leader that starts the tasks of a job beside runs on workers
# that its own list lacks.
@pytest.mark.parametrize("lose", ["kill", "shut_down"])
def test_no_task_runs_twice_though_the_next_leader_does_not_know_its_worker(
    fleet: FleetWorld, lose: str
) -> None:
    submit_jobs(fleet)
    fleet.run(0.1)
    getattr(fleet, lose)(LEADER, KEPT_S)
    fleet.run(2 * RUN_S)
    assert fleet.violated == []


# Guards against leaders that yield to a host which, by its own list, need not lead
# their workers: the data centres then have no leader at all.
def test_data_centres_keep_a_leader_though_the_lists_of_hosts_differ(
    fleet: FleetWorld,
) -> None:
    fleet.run(KEPT_S)
    assert all(fleet.leader_of(centre) for centre in SMALL_FLEET)
