"""Response times of the simulated central queues."""

import pytest

from poplarhill_dev.experiment.bounds import ORDERS, central_response_times
from poplarhill_dev.experiment.workload import PlannedJob


def planned(name: str, at_s: float, *run_s: float) -> PlannedJob:
    return PlannedJob(name, at_s, 0, run_s, 10.0, 1.0, "c", None, None)


@pytest.mark.parametrize(
    ("order", "small_response"),
    [("central first come", 3.5), ("central fewest tasks", 1.5)],
)
def test_the_queue_order_decides_which_job_waits(order, small_response) -> None:
    jobs = [planned("large", 0.0, 1.0, 1.0, 1.0), planned("small", 0.5, 1.0)]
    responses = central_response_times(jobs, 1, ORDERS[order])
    assert responses["small"] == small_response


def test_no_task_starts_before_its_job_arrives() -> None:
    jobs = [planned("a", 1.0, 0.5), planned("b", 5.0, 1.0, 1.0, 1.0)]
    responses = central_response_times(jobs, 4, ORDERS["central first come"])
    assert responses == {"a": 0.5, "b": 1.0}
