"""Which connection is closed when a server has as many as it may have."""

import pytest

from poplarhill.http.places import Places


@pytest.fixture
def places() -> Places[str]:
    places: Places[str] = Places()
    places.add("silent", 0.0)
    places.add("answered", 1.0)
    places.hold("answered")
    places.release("answered", 2.0)
    places.add("slow", 3.0)
    return places


def test_the_one_that_was_never_answered_and_is_silent_longest_goes_first(
    places,
) -> None:
    assert list(places.candidates(60.0)) == ["silent", "slow", "answered"]


def test_one_that_goes_on_sending_goes_after_those_that_are_silent(places) -> None:
    places.note_progress("silent", 50.0)
    assert next(places.candidates(60.0)) == "slow"


# Guards against closing connections whose first request is still on its way.
def test_a_new_one_goes_after_one_that_is_idle(places) -> None:
    assert list(places.candidates(3.5)) == ["silent", "answered", "slow"]


def test_one_whose_request_is_handled_is_never_chosen(places) -> None:
    for connection in ("silent", "answered", "slow"):
        places.hold(connection)
    assert not list(places.candidates(60.0))
