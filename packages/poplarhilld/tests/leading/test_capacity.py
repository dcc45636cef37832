"""Workers whose capacity shrinks and grows again while they run."""

from random import Random

import pytest

from poplarhill import ErrorKind
from poplarhill.types import Resources
from poplarhill_dev.leased import (
    SimulatedWorker,
    World,
    simulated_job,
    worker_entry,
)
from poplarhilld.catalogue import Registry

CORES = 16.0
CONTACT_S = 3.0  # the users' bound on starts by the capacity of before, with one beat
BEAT_S = 1.5
REFRESH_S = 0.7  # how often a leader reads the workers


class ChangingFleet:
    """A leader that reads the workers at intervals, as an entry host does."""

    def __init__(self) -> None:
        self.world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(8))
        self.world.add_leader("h1", 1)
        self.registry = Registry()
        self.shrunk_at: dict[str, float] = {}
        self.run(0.3)

    def resize(self, name: str, cores: float) -> None:
        """Change the capacity of a worker; the leader reads it later."""
        worker = self.world.workers[name]
        if cores < worker.entry.room.cores:
            self.shrunk_at[name] = self.world.now
        worker.entry = worker.entry._replace(room=Resources(cores, 32768, 0))

    def run(self, seconds: float) -> None:
        """Advance in steps of the interval in which the leader reads the workers."""
        world = self.world
        end = world.now + seconds
        while world.now < end:
            self.registry.update(world.now, world.entries)
            leader = world.leaders["h1"]
            entries = self.registry.workers
            world.perform("h1", leader.set_workers(world.now, world.now, dict(entries)))
            world.run(min(REFRESH_S, end - world.now))

    def late_overloads(self) -> list[float]:
        """Return the starts over a capacity that had shrunk long enough before."""
        return [
            at
            for name, worker in self.world.workers.items()
            for at in worker.overloads
            if at > self.shrunk_at[name] + CONTACT_S + BEAT_S
        ]


@pytest.fixture
def fleet() -> ChangingFleet:
    return ChangingFleet()


# Guards against orders by the capacity that a worker registered with.
@pytest.mark.parametrize("seed", range(5))
def test_no_run_starts_over_a_capacity_that_has_shrunk(
    fleet: ChangingFleet, seed: int
) -> None:
    random = Random(seed)
    for number in range(300):
        if number % 10 == 0:
            fleet.resize(f"w{random.randrange(8)}", random.choice((4.0, 7.0, CORES)))
        tasks, run_s = random.choice(((8, 0.06), (4, 0.9), (2, 0.2)))
        job = simulated_job(f"j{number}", tasks=tasks, run_s=run_s, cores=3.4)
        fleet.world.submit("h1", job)
        fleet.run(0.1)
    assert any(worker.overloads for worker in fleet.world.workers.values())
    assert not fleet.late_overloads()


def test_runs_go_on_where_the_capacity_has_shrunk(fleet: ChangingFleet) -> None:
    fleet.world.submit("h1", simulated_job("a", tasks=16, run_s=2.0, left_s=9.0))
    fleet.run(0.1)
    for name in fleet.world.workers:
        fleet.resize(name, 4.0)
    fleet.run(4.0)
    assert fleet.world.job_outcome("a").error == ""
    assert fleet.world.starts == 16


def test_waiting_jobs_start_once_the_capacity_has_grown(fleet: ChangingFleet) -> None:
    world = fleet.world
    long_job = simulated_job("a", tasks=1, run_s=5.0, cores=CORES, left_s=20.0)
    world.submit("h1", long_job)
    fleet.run(0.1)
    others = [name for name, worker in world.workers.items() if not worker.running]
    for name in others:
        fleet.resize(name, 4.0)
    fleet.run(1.0)
    world.submit("h1", simulated_job("b", tasks=1, cores=CORES, left_s=20.0))
    fleet.run(1.0)
    assert world.starts == 1
    for name in others:
        fleet.resize(name, CORES)
    fleet.run(1.5)
    assert world.job_outcome("b").error == ""
    assert world.job_outcome("a") is None


# A job that no worker could run at the moment was shown as failed for good.
def test_a_job_that_fits_no_shrunk_worker_may_come_back(fleet: ChangingFleet) -> None:
    for name in fleet.world.workers:
        fleet.resize(name, 4.0)
    fleet.run(1.0)
    fleet.world.submit("h1", simulated_job("a"))
    refused = fleet.world.job_outcome("a")
    assert refused.error == ErrorKind.OVERLOADED.value
    assert refused.not_run
    assert refused.retry_after_s > 0
    for name in fleet.world.workers:
        fleet.resize(name, CORES)
    fleet.run(1.0)
    fleet.world.submit("h1", simulated_job("b"))
    fleet.run(1.0)
    assert fleet.world.job_outcome("b").error == ""
