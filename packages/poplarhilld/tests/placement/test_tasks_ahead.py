"""The estimate of the queued tasks that go before those of a new job."""

import pytest

from poplarhill import JobSpec
from poplarhill.configuration import CustomerSpec
from poplarhilld.placement.queue import JobQueue

CUSTOMERS = {"heavy": CustomerSpec(weight=4.0), "light": CustomerSpec(weight=1.0)}


def job(job_id: str, tasks: int, customer: str) -> JobSpec:
    return JobSpec(job_id, "verdict", customer, (b"",) * tasks, deadline=60.0)


@pytest.fixture
def queue() -> JobQueue:
    queue = JobQueue("fewest_tasks", CUSTOMERS)
    for number in range(10):
        queue.add(0.0, job(f"h{number}", 2, "heavy"))
        queue.add(0.0, job(f"l{number}", 20, "light"))
    return queue


@pytest.mark.parametrize(
    ("customer", "tasks", "before"),
    [
        ("heavy", 1, 0 + 0),
        ("heavy", 3, 20 + 5),
        ("light", 1, 0 + 4),
        ("light", 21, 200 + 20),
        ("new", 1, 0 + 4 + 1),
    ],
)
def test_own_tasks_count_by_rank_and_others_by_weight(
    queue, customer, tasks, before
) -> None:
    assert queue.tasks_before(0.0, job("j", tasks, customer), 10_000) == before


def test_taken_and_discarded_tasks_are_not_counted(queue) -> None:
    for number in range(10):
        queue.discard(f"h{number}")
    while queue.waiting:
        queue.take_task("verdict")
    assert queue.tasks_before(0.0, job("j", 160, "light"), 10_000) == 0
