"""Shared fixtures of the placement tests."""

from random import Random

import pytest

from poplarhill.configuration import Configuration
from poplarhill.types import JobSpec, WorkerSpec
from poplarhilld.placement import Placement
from poplarhilld.placement.lending import DEFAULT_TERMS, LendingTerms

HOSTS = ("h1", "h2", "h3", "h4")


def document(
    workers: int = 4, slots: int = 4, customers: dict | None = None, **defaults
) -> dict:
    return {
        "customers": customers or {},
        "defaults": {"policy": "shares", **defaults},
        "services": {
            service: {
                "workers": {
                    f"{service[0]}{n}": {
                        "host": "127.0.0.1",
                        "port": 1000 + n,
                        "slots": slots,
                        "data_centre": f"dc{n % 2 + 1}",
                    }
                    for n in range(workers)
                }
            }
            for service in ("booking", "verdict")
        },
    }


class FixedView:
    """A view with slowdowns and unusable workers that the test sets."""

    def __init__(self) -> None:
        self.slowdowns: dict[str, float] = {}
        self.down: set[str] = set()

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether the worker is neither down nor draining."""
        return worker.name not in self.down and not worker.draining

    def slowdown(self, worker: str) -> float:
        """Return the slowdown that the test has set; 1 otherwise."""
        return self.slowdowns.get(worker, 1.0)


@pytest.fixture
def view() -> FixedView:
    return FixedView()


@pytest.fixture(scope="session")
def healthy_view() -> FixedView:
    return FixedView()


@pytest.fixture(scope="session")
def make_placement():
    def make(
        host: str = "h1",
        hosts: tuple = HOSTS,
        terms: LendingTerms = DEFAULT_TERMS,
        **fields,
    ) -> Placement:
        configuration = Configuration.from_document(1, document(**fields))
        return Placement(configuration, Random(host), host, "dc1", hosts, terms)

    return make


@pytest.fixture(scope="session")
def make_job():
    def make(
        job_id: str, tasks: int, service: str = "booking", deadline: float = 1000.0
    ) -> JobSpec:
        return JobSpec(job_id, service, "default", (b"",) * tasks, deadline)

    return make
