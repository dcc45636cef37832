"""The time from the end of a fault until a run is normal."""

import pytest

from poplarhill_dev.experiment.load import CallerResult
from poplarhill_dev.experiment.recovery import time_to_normal


def caller_result(at_s: float, slowdown: float, whole: bool = True) -> CallerResult:
    outcome = "complete" if whole else "timeout"
    return CallerResult("j", at_s, 0.0, slowdown, 1, 1.0, 0, outcome, whole=whole)


@pytest.mark.parametrize(
    ("slow_until", "failing_until", "expected"),
    [(10.0, 10.0, 0.0), (13.0, 10.0, 3.0), (11.0, 14.0, 4.0), (20.0, 10.0, None)],
)
def test_a_run_is_normal_after_two_seconds_of_complete_quick_answers(
    slow_until, failing_until, expected
) -> None:
    answers = []
    for tenth in range(200):
        at_s = tenth / 10
        slowdown = 3.0 if 5.0 <= at_s < slow_until else 1.0
        answers.append(caller_result(at_s, slowdown, not 5.0 <= at_s < failing_until))
    assert time_to_normal(answers, 5.0, 10.0) == expected
