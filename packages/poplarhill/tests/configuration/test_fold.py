"""The fold of configuration changes."""

import pytest

from poplarhill.configuration import Change, Fold, Rejection, encode_change
from poplarhill.platform import Record


def change(change_id: str, base_version: int, patch: dict) -> str:
    return encode_change(Change(change_id, base_version, "ada", "a test", patch))


def fold_all(bodies: list[str]) -> tuple[Fold, list]:
    fold = Fold()
    return fold, [fold.apply(Record(i, 0.0, body)) for i, body in enumerate(bodies)]


def test_of_racing_changes_the_first_wins_and_the_other_names_it() -> None:
    customers = {"customers": {"jacaranda": {"weight": 2}}}
    fold, outcomes = fold_all([change("a", 0, customers), change("b", 0, {})])
    assert fold.configuration.version == 1
    assert isinstance(outcomes[1], Rejection)
    assert outcomes[1].winner == "a"


@pytest.mark.parametrize(
    "body", ["", "{", "[]", '{"type": "change"}', change("x", 0, {"bad": 1})]
)
def test_a_bad_record_changes_nothing(body: str) -> None:
    fold, _ = fold_all([body])
    assert fold.configuration.version == 0
    assert fold.next_offset == 1
