"""What callers of the platform are told about a job that failed."""

import msgspec
import pytest

from poplarhill import ANSWERS, ErrorKind, Failure, RunState
from poplarhill_platform.callers import _error_response


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_the_status_says_whether_anything_has_run(kind: ErrorKind) -> None:
    answer = _error_response(Failure(kind, "for a test"))
    not_run = ANSWERS[kind].run_state is RunState.NOT_RUN
    if answer.status in (429, 503):
        assert not_run
    if answer.status in (502, 504):
        assert not not_run
    error = msgspec.json.decode(answer.body)["error"]
    assert error["run_state"] == ANSWERS[kind].run_state.value


def test_when_to_come_back_is_told_in_whole_seconds() -> None:
    answer = _error_response(Failure(ErrorKind.OVERLOADED, "for a test", 1.2))
    assert answer.headers["retry-after"] == "2"
