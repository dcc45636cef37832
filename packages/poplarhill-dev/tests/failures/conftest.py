"""Fleets of real processes and their load for the tests of failures."""

from collections.abc import Callable, Iterator

import pytest

from poplarhill_dev.experiment.load import CallerResult
from poplarhill_dev.experiment.workload import PlannedJob
from poplarhill_dev.fleet import Fleet

HOSTS = 3
DELAY_S = 0.0005


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    yield from running(Fleet.start(hosts=HOSTS, workers=6, worker_processes=3))


@pytest.fixture
def relayed_fleet() -> Iterator[Fleet]:
    """A fleet whose data centres reach each other and the platform through a relay."""
    yield from running(
        Fleet.start(hosts=HOSTS, workers=6, worker_processes=3, delay_s=DELAY_S)
    )


def running(fleet: Fleet) -> Iterator[Fleet]:
    try:
        yield fleet
    finally:
        fleet.stop()
        fleet.remove_files()


@pytest.fixture
def steady_jobs() -> Callable[[float], list[PlannedJob]]:
    """Return a function that plans twenty small jobs per second for a duration, s."""

    def jobs(duration_s: float) -> list[PlannedJob]:
        return [
            PlannedJob(
                name=f"j{number}",
                at_s=number / 20,
                host=number % HOSTS,
                run_s=(0.1,) * (1 + number % 3),
                timeout_s=10.0,
                declared_s=0.1,
                customer="default",
                key=f"k{number}" if number % 5 == 0 else None,
                hang_up_s=None,
            )
            for number in range(int(duration_s * 20))
        ]

    return jobs


@pytest.fixture
def one_answer_each() -> Callable[[list[PlannedJob], list[CallerResult]], bool]:
    def check(jobs: list[PlannedJob], answers: list[CallerResult]) -> bool:
        return sorted(j.name for j in jobs) == sorted(a.name for a in answers)

    return check
