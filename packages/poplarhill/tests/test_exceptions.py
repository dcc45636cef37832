"""Tests of the error kinds, their documentation and their messages."""

from pathlib import Path

import pytest

from poplarhill import ANSWERS, ErrorKind, Failure, PoplarhillError

ERROR_PAGE = Path(__file__).parents[3] / "docs" / "operators" / "errors.md"


@pytest.mark.parametrize("kind", ErrorKind)
def test_error_page_documents_each_kind(kind) -> None:
    answer = ANSWERS[kind]
    row = (
        f"| `{kind.value}` | {answer.status} | {answer.run_state.value} "
        f"| {answer.retry.value} | {answer.exit_code} |"
    )
    assert row in ERROR_PAGE.read_text(encoding="utf-8")


def test_message_has_kind_detail_and_retry_time() -> None:
    error = PoplarhillError(Failure(ErrorKind.OVERLOADED, "queue full", 1.5))
    assert error.format_message() == "overloaded: queue full (retry after 1.5 s)"
    assert error.exit_code == ANSWERS[ErrorKind.OVERLOADED].exit_code
