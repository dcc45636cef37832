"""The checks of the simulated fleet find what they are to find."""

import pytest

from poplarhill_dev.leased import LEASE_S, simulated_job, worker_entry
from poplarhill_dev.simulation import SMALL_FLEET, FleetWorld
from poplarhill_dev.simulation.store import Refusal
from poplarhill_dev.simulation.workers import FleetWorker
from poplarhilld.leading import Order
from poplarhilld.leases import Renewal, Run
from poplarhilld.leases.messages import RunEndKind

HOST, JOB, TASK = "dc1-05", "j0", "j0.0.0.0"
AFTER_DONE, DRAINING = "started after done", "started on a draining worker"


@pytest.fixture
def fleet() -> FleetWorld:
    fleet = FleetWorld(1, SMALL_FLEET)
    fleet.submit_job(simulated_job(JOB, tasks=1), "dc1", HOST)
    fleet.run(0.1)
    return fleet


def start_run(fleet: FleetWorld, number: int = 2) -> list[str]:
    """Let a run of the task start on w0; return the kinds of the violations."""
    fleet.checks.run_started("w0", Run(TASK, number), HOST, fleet.now)
    return [violation.kind for violation in fleet.violated]


def test_a_task_must_not_start_again_once_its_result_is_acknowledged(
    fleet: FleetWorld,
) -> None:
    fleet.run(0.5)
    assert fleet.callers.by_job[JOB].outcome == "complete"
    assert start_run(fleet) == [AFTER_DONE]


def test_a_result_may_be_acknowledged_after_the_next_run_has_started(
    fleet: FleetWorld,
) -> None:
    fleet.run(0.5)
    fleet.checks.run_ended("w1", fleet.now - 0.1, Run("j0.0.0.1", 1), RunEndKind.DONE)
    fleet.checks.run_started("w0", Run("j0.0.0.1", 2), HOST, fleet.now)
    assert fleet.violated == []
    fleet.checks.end_acknowledged("w1", Run("j0.0.0.1", 1))
    assert [violation.kind for violation in fleet.violated] == [AFTER_DONE]


def test_a_resent_job_may_start_its_tasks_again(fleet: FleetWorld) -> None:
    fleet.run(0.5)
    caller = fleet.callers.by_job[JOB]
    caller.attempts.append(caller.attempts[0])
    assert start_run(fleet) == []


@pytest.mark.parametrize(
    ("seen_at", "acknowledged"),
    [(LEASE_S / 2, [Run(TASK, 1)]), (2 * LEASE_S, [])],
)
def test_an_end_counts_as_acknowledged_unless_the_lease_has_lapsed_since(
    seen_at: float, acknowledged: list[Run]
) -> None:
    seen: list[Run] = []
    worker = FleetWorker(worker_entry("w0"), on_acknowledged=seen.append)
    worker.renew(0.0, Renewal(1, 0, LEASE_S, 0.0, 0.0))
    worker.start(0.0, Order(Run(TASK, 1), "{}", 0.1, 1), simulated_job(JOB))
    worker.renew(seen_at, Renewal(1, 1, None, 0.0, seen_at))
    assert seen == acknowledged


@pytest.mark.parametrize(
    ("after_s", "refused", "kinds"),
    [(1.9, False, []), (2.1, False, [DRAINING]), (2.1, True, [])],
)
def test_a_host_that_can_read_the_list_starts_nothing_on_draining_workers(
    fleet: FleetWorld, after_s: float, refused: bool, kinds: list[str]
) -> None:
    if refused:
        fleet.store.inject(Refusal(frozenset([HOST])), after_s)
    fleet.drain_workers(["w0"])
    fleet.run(after_s)
    fleet.checks.run_started("w0", Run("j0.0.0.1", 1), HOST, fleet.now)
    assert [violation.kind for violation in fleet.violated] == kinds
