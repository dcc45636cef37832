"""The closed list of error kinds and its table."""

from pathlib import Path

import pytest

from poplarhill import ANSWERS, ErrorKind, Failure, PoplarhillError

PAGE = Path(__file__).parents[3] / "docs" / "operators" / "errors.md"


@pytest.mark.parametrize("kind", ErrorKind)
def test_the_operators_page_has_the_row_of_each_kind(kind) -> None:
    answer = ANSWERS[kind]
    row = (
        f"| `{kind.value}` | {answer.status} | {answer.run_state.value} "
        f"| {answer.retry.value} | {answer.exit_code} |"
    )
    assert row in PAGE.read_text(encoding="utf-8")


def test_an_error_shows_its_kind_its_detail_and_when_to_come_back() -> None:
    error = PoplarhillError(Failure(ErrorKind.OVERLOADED, "queue full", 1.5))
    assert error.format_message() == "overloaded: queue full (retry after 1.5 s)"
    assert error.exit_code == ANSWERS[ErrorKind.OVERLOADED].exit_code
