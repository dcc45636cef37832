"""Tests of the fold of configuration records."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill.configuration import (
    Change,
    Fold,
    Rejection,
    Restoration,
    Snapshot,
    encode_record,
)
from poplarhill.platform import Record

DOCUMENT = {"customers": {"jacaranda": {"weight": 2}}}


def change(change_id: str, base_version: int, patch: dict) -> str:
    return encode_record(Change(change_id, base_version, "ada", "a test", patch))


def fold_all(bodies: list[str]) -> tuple[Fold, list]:
    fold = Fold()
    return fold, [fold.apply(Record(i, 0.0, body)) for i, body in enumerate(bodies)]


def state(fold: Fold) -> tuple[int, dict]:
    return fold.configuration.version, fold.document


def test_the_first_of_concurrent_changes_wins_and_the_rejection_names_it() -> None:
    fold, outcomes = fold_all([change("a", 0, DOCUMENT), change("b", 0, {})])
    assert fold.configuration.version == 1
    assert isinstance(outcomes[1], Rejection)
    assert outcomes[1].winner == "a"


@pytest.mark.parametrize(
    "body",
    [
        "",
        "{",
        "[]",
        '{"type": "change"}',
        change("x", 0, {"bad": 1}),
        "[" * 100_000,
        '{"a":' * 100_000,
        encode_record(Snapshot(5, DOCUMENT, 9, 0.0)),
        encode_record(Restoration(5, {"bad": 1}, "h1")),
    ],
)
def test_a_bad_record_changes_nothing(body: str) -> None:
    fold, _ = fold_all([body])
    assert state(fold) == (0, {})
    assert fold.next_offset == 1


def test_a_reader_after_a_gap_loads_only_a_snapshot_made_after_it() -> None:
    fold = Fold()
    fold.skip_to(7)
    stale = encode_record(Snapshot(3, DOCUMENT, 6, 0.0))
    fold.apply(Record(7, 0.0, stale))
    fold.apply(Record(8, 0.0, change("c", 0, DOCUMENT)))
    assert (state(fold), fold.complete) == ((0, {}), False)
    fold.apply(Record(9, 0.0, encode_record(Snapshot(3, DOCUMENT, 8, 0.0))))
    assert (state(fold), fold.complete) == ((3, DOCUMENT), True)
    assert fold.next_offset == 8


def test_a_restoration_applies_only_if_it_is_newer() -> None:
    restored = encode_record(Restoration(10, DOCUMENT, "h1"))
    older = encode_record(Restoration(9, {}, "h2"))
    fold, _ = fold_all([change("a", 0, {}), restored, older, restored])
    assert state(fold) == (10, DOCUMENT)


_READ_BOUND = 10_000  # more reads than any history in this module needs
_WEIGHTS = st.integers(0, 3)  # 0 is not a valid weight
_CHANGES = st.tuples(st.just("change"), st.integers(0, 3), _WEIGHTS)
_REPEATS = st.tuples(st.just("repeat"), st.integers(0, 30), st.none())
_SNAPSHOTS = st.tuples(st.just("snapshot"), st.integers(0, 6), st.none())
_RESTORATIONS = st.tuples(st.just("restoration"), st.integers(0, 8), _WEIGHTS)
_GARBAGE = st.tuples(st.just("garbage"), st.sampled_from(["", "{", "0"]), st.none())
_STEPS = st.one_of(_CHANGES, _CHANGES, _REPEATS, _SNAPSHOTS, _RESTORATIONS, _GARBAGE)


def write_history(steps: list) -> tuple[list[Record], list[tuple[int, dict]]]:
    """Return records, and the states of a reader of all of them.

    The state at each index is the one before the record of that index. A change
    is based on a version up to 3 versions old, a snapshot is appended up to 6
    records after it was made, and any earlier record may be repeated.
    """
    fold = Fold()
    records: list[Record] = []
    states = [state(fold)]
    snapshots = [fold.make_snapshot(0.0)]
    for offset, (kind, number, weight) in enumerate(steps):
        patch = {"customers": {"kelani": {"weight": weight}}}
        match kind:
            case "change":
                base = max(0, fold.configuration.version - number)
                body = change(f"c{offset}", base, patch)
            case "repeat":
                body = records[number % offset].body if offset else ""
            case "snapshot":
                body = encode_record(snapshots[max(0, offset - number)])
            case "restoration":
                body = encode_record(Restoration(number, patch, "h1"))
            case _:
                body = number
        records.append(Record(offset, float(offset), body))
        fold.apply(records[-1])
        states.append(state(fold))
        snapshots.append(fold.make_snapshot(float(offset)))
    return records, states


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.lists(_STEPS, min_size=10, max_size=40),
    st.lists(st.tuples(st.floats(0, 1), st.integers(1, 8)), max_size=8),
)
def test_a_late_reader_reaches_the_state_of_a_full_reader(
    steps: list, reads: list
) -> None:
    records, states = write_history(steps)
    fold = Fold()
    version = 0
    # Each read finds the log truncated to some offset and reads a few records.
    for truncated, count in [*sorted(reads), (0, _READ_BOUND)]:
        earliest = int(truncated * len(records))
        fold.skip_to(earliest)
        taken = 0
        while fold.next_offset < len(records) and taken < count:
            fold.apply(records[fold.next_offset])
            fold.skip_to(earliest)
            taken += 1
            assert fold.configuration.version >= version
            version = fold.configuration.version
            if fold.complete:
                assert state(fold) == states[fold.next_offset]
    assert fold.next_offset == len(records)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(_STEPS, max_size=40))
def test_no_change_is_accepted_twice(steps: list) -> None:
    records, _ = write_history(steps)
    fold = Fold()
    outcomes = [fold.apply(record) for record in records]
    accepted = [o.change_id for o in outcomes if isinstance(o, Change)]
    assert len(accepted) == len(set(accepted))


ENDPOINT = {"host": "10.0.0.1", "port": 80}


# Guards against hosts that end over a number of a document that no float or frame can
# hold.
@pytest.mark.parametrize(
    "patch",
    [
        *(
            {"services": {"s": {"workers": {"w": {**ENDPOINT, field: value}}}}}
            for field in ("slots", "connections", "cores", "memory_mb", "accelerators")
            for value in (10**400, 10**30, 2**31)
        ),
        *({"defaults": {field: 10**400}} for field in ("worker_cap", "queue_tasks")),
        *({"defaults": {field: 10**30}} for field in ("beyond_share", "key_window_s")),
        *({"customers": {"c": {f: 10**30}}} for f in ("weight", "quota_tasks")),
    ],
    ids=lambda patch: str(patch)[:70],
)
def test_a_document_with_a_number_out_of_range_is_rejected(patch: dict) -> None:
    fold, outcomes = fold_all(
        [
            '{"type":"change","change_id":"a","base_version":0,"author":"","note":"",'
            f'"patch":{json.dumps(patch)}}}'
        ]
    )
    assert isinstance(outcomes[0], Rejection)
    assert state(fold) == (0, {})
