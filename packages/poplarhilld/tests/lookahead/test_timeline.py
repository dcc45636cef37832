"""Expected ends of runs, and the places that they leave."""

import pytest

from poplarhilld.leases import Run
from poplarhilld.lookahead.reservations import (
    HORIZON_S,
    MAX_RESERVED_S,
    ReservationTimes,
    ReservedPlace,
    find_places,
)
from poplarhilld.lookahead.timeline import FreedCores, TimedRun, Timeline


@pytest.fixture
def timeline() -> Timeline:
    timeline = Timeline()
    timeline.note_start("w1", Run("a", 1), TimedRun(8.0, 10.0, 0.2, 0.3))
    timeline.note_start("w2", Run("b", 1), TimedRun(6.0, 10.0, 0.1, 0.3))
    return timeline


def test_ends_are_listed_by_time(timeline: Timeline) -> None:
    found = timeline.upcoming(10.05, ("w1", "w2"), 11.0)
    assert [(freed.worker, freed.cores) for freed in found] == [
        ("w2", 6.0),
        ("w1", 8.0),
    ]
    assert [freed.at for freed in found] == pytest.approx([10.1, 10.2])


def test_an_overdue_end_keeps_moving_away(timeline: Timeline) -> None:
    # Guards against a run of the long tail whose end is expected at once for ever: each
    # job would then reserve its place and wait in vain.
    waits = [
        timeline.upcoming(at, ("w2",), 99.0)[0].at - at for at in (10.2, 10.4, 10.8)
    ]
    assert waits == pytest.approx([0.06, 0.12, 0.24])


def test_ended_runs_and_forgotten_workers_leave_nothing(timeline: Timeline) -> None:
    timeline.note_end("w1", Run("a", 1))
    timeline.note_end("w3", Run("unknown", 1))
    timeline.forget("w2")
    assert timeline.upcoming(10.0, ("w1", "w2", "w3"), 99.0) == []


def test_an_adopted_run_is_expected_to_be_half_done(timeline: Timeline) -> None:
    # A new leader doesn't know when a run started; without an assumption it would
    # expect every adopted run to take its whole time again.
    timeline.note_adopted("w3", Run("c", 1), TimedRun(4.0, 10.0, 0.8, 0.3))
    assert timeline.upcoming(10.0, ("w3",), 99.0)[0].at == pytest.approx(10.4)


def test_places_are_taken_where_enough_cores_are_free_first() -> None:
    free = {"w1": 5.0, "w2": 2.0, "w3": 14.0}
    upcoming = [
        FreedCores(10.05, "w2", 4.0),
        FreedCores(10.06, "w1", 6.0),
        FreedCores(10.07, "w3", 6.0),
        FreedCores(10.1, "w2", 6.0),
        FreedCores(10.9, "w1", 6.0),
    ]
    found = find_places(10.0, 9, 10.2, free.__getitem__, upcoming, {})
    # w3 has room already, and w1 has one place at most.
    assert found == {
        "w1": ReservedPlace(10.06, 1.0),
        "w2": ReservedPlace(10.1, 2.0),
    }
    again = find_places(10.0, 9, 10.2, free.__getitem__, upcoming, found)
    assert again == {}


@pytest.mark.parametrize(
    ("cores", "end", "admitted"),
    [(2.0, 99.0, True), (3.0, 99.0, False), (8.0, 10.0, True), (8.0, 10.2, False)],
)
def test_others_pass_only_beside_or_before_the_reservation(
    cores: float, end: float, admitted: bool
) -> None:
    assert ReservedPlace(10.1, 2.0).admits(cores, end) is admitted


def test_no_job_reserves_for_longer_than_the_bound() -> None:
    # Ends that never come would otherwise leave cores idle for as long as it waits.
    times = ReservationTimes()
    times.note(10.0, "j1")
    times.note(10.3, "j1")
    assert times.may_reserve(9.99 + MAX_RESERVED_S, "j1")
    assert not times.may_reserve(10.01 + MAX_RESERVED_S, "j1")
    assert times.may_reserve(99.0, "j2")
    assert times.count == 1
    assert HORIZON_S <= MAX_RESERVED_S
