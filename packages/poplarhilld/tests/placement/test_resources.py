"""A task goes only to a worker that is large enough for it."""

from random import Random

import pytest

from poplarhill import JobSpec, Resources
from poplarhill.configuration import Configuration
from poplarhilld.placement import AllHealthyView, Placement


def job(*needs: float, tasks: int = 1) -> JobSpec:
    resources = Resources(*needs)
    return JobSpec("j", "a", "c", (b"",) * tasks, 9.0, resources=resources)


@pytest.fixture
def placement() -> Placement:
    address = {"host": "127.0.0.1", "port": 1, "slots": 2}
    workers = {
        "small": {**address, "cores": 2, "memory_mb": 1000},
        "wide": {**address, "cores": 16, "memory_mb": 1000},
        "large": {**address, "cores": 16, "memory_mb": 64000, "accelerators": 1},
    }
    document = {"services": {"a": {"workers": workers}}}
    return Placement(Configuration.from_document(1, document), Random(1), "h1")


@pytest.mark.parametrize(
    ("resources", "workers"),
    [
        ((0, 0), {"small", "wide", "large"}),
        ((2, 1000), {"small", "wide", "large"}),
        ((3, 0), {"wide", "large"}),
        ((0, 1001), {"large"}),
        ((0, 0, 1), {"large"}),
    ],
)
def test_tasks_use_every_worker_that_fits_and_no_other(
    placement, resources, workers
) -> None:
    placement.enqueue(0.0, job(*resources, tasks=12))
    placed = placement.place(0.0, AllHealthyView())
    assert {one.worker for one in placed} == workers


def test_no_probe_is_sent_to_a_worker_that_is_too_small(placement) -> None:
    placement.enqueue(0.0, job(3, 0))
    assert placement.place_probe("small") is None
    assert placement.place_probe("wide").worker == "wide"
