"""The count of function calls that a leader's decisions take."""

import pytest

from poplarhill_dev.leader_costs import measure


# Once, a leader went over all workers and all queued jobs for each event: 526 and 748
# calls per task without a queue, 1,310 and 1,555 with one of 30 jobs. Two new
# deployments need half of that at most. Calls are the same on each machine; the bounds
# leave a tenth over what was counted.
@pytest.mark.parametrize(
    ("workers", "tasks_per_s", "run_factor", "left_s", "most_calls"),
    [
        (44, 160.0, 1.0, 1.5, 250),
        (44, 500.0, 2.0, 5.0, 325),
        (80, 160.0, 1.0, 1.5, 273),
        (80, 500.0, 1.0, 1.5, 292),
        (80, 500.0, 2.5, 5.0, 313),
    ],
)
def test_the_decisions_for_a_task_take_few_calls(
    workers, tasks_per_s, run_factor, left_s, most_calls
) -> None:
    costs = measure(
        workers, tasks_per_s, run_factor, 4.0, count_calls=True, left_s=left_s
    )
    assert costs.tasks > 500
    assert costs.calls <= most_calls * costs.tasks
