"""Responses to callers of the platform for jobs that failed."""

import msgspec
import pytest

from poplarhill import ANSWERS, ErrorKind, Failure, RunState
from poplarhill_platform.callers import _error_response


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_the_status_tells_whether_tasks_may_have_run(kind: ErrorKind) -> None:
    response = _error_response(Failure(kind, "for a test"))
    not_run = ANSWERS[kind].run_state is RunState.NOT_RUN
    if response.status in (429, 503):
        assert not_run
    if response.status in (502, 504):
        assert not not_run
    error = msgspec.json.decode(response.body)["error"]
    assert error["run_state"] == ANSWERS[kind].run_state.value


def test_retry_after_is_rounded_up_to_whole_seconds() -> None:
    response = _error_response(Failure(ErrorKind.OVERLOADED, "for a test", 1.2))
    assert response.headers["retry-after"] == "2"
