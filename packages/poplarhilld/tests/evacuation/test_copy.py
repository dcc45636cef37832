"""Copies of the evacuations: of the store's records and of peers."""

from poplarhilld.evacuation import (
    Evacuation,
    EvacuationCopy,
    EvacuationEnded,
    Evacuations,
    EvacuationStarted,
)

DC1 = Evacuations(6, (Evacuation("dc1", 5),))
BOTH = Evacuations(8, (Evacuation("dc1", 5), Evacuation("dc2", 7)))
LIFTED = Evacuations(9, (Evacuation("dc2", 7),))


def lines(update) -> list:
    return [line.decision for line in update.lines]


def test_each_begin_and_end_is_logged_with_source_and_version() -> None:
    copy = EvacuationCopy()
    assert lines(copy.update("store", DC1)) == [EvacuationStarted("dc1", 5, "store")]
    assert lines(copy.update("h2", BOTH)) == [EvacuationStarted("dc2", 7, "h2")]
    assert lines(copy.update("h2", LIFTED)) == [EvacuationEnded("dc1", 8, "h2")]
    assert not copy.update("store", LIFTED).changed
    assert copy.data_centres == {"dc2"}


# The hosts of a data centre that is cut off keep what they knew.
def test_a_peer_that_was_cut_off_neither_restores_nor_drops_an_evacuation() -> None:
    cut_off, up_to_date = EvacuationCopy(), EvacuationCopy()
    for copy in (cut_off, up_to_date):
        copy.update("store", DC1)
    up_to_date.update("store", LIFTED)
    assert cut_off.data_centres == {"dc1"}
    assert not up_to_date.update("cut off", cut_off.for_peers).changed
    assert cut_off.update("h1", up_to_date.for_peers).changed
    assert cut_off.data_centres == up_to_date.data_centres == {"dc2"}


# The peer that still takes a data centre for evacuated must learn of the end from a
# host that has started since, although that one has never seen the evacuation.
def test_a_host_that_started_after_the_end_tells_peers_that_are_behind() -> None:
    started = EvacuationCopy()
    started.update("store", Evacuations(9, ()))
    assert started.for_peers == Evacuations()
    behind = EvacuationCopy()
    behind.update("store", DC1)
    assert not started.update("behind", behind.for_peers).changed
    behind.update("started", started.for_peers)
    assert behind.data_centres == frozenset()


def test_a_host_that_starts_while_the_store_is_down_learns_from_a_peer() -> None:
    started, peer = EvacuationCopy(), EvacuationCopy()
    peer.update("store", BOTH)
    started.update("store", Evacuations())  # nothing has been read
    started.update("h2", peer.for_peers)
    assert started.data_centres == {"dc1", "dc2"}


# A store that has lost its records must not lift an evacuation by that.
def test_a_store_that_starts_again_at_a_lower_offset_lifts_nothing() -> None:
    copy = EvacuationCopy()
    copy.update("store", DC1)
    assert not copy.update("store", Evacuations(2, ())).changed
    assert copy.data_centres == {"dc1"}


def test_without_evacuations_heartbeats_do_not_change_with_other_records() -> None:
    copy = EvacuationCopy()
    for end in (3, 4, 90):
        copy.update("store", Evacuations(end, ()))
        assert copy.for_peers == Evacuations()
    assert not copy.leaves_nothing(0.0, [])


def test_a_leader_of_evacuated_workers_only_is_recognised() -> None:
    copy = EvacuationCopy()
    copy.update("store", DC1)
    assert copy.leaves_nothing(64.0, ["dc1"])  # it may not have learnt of it yet
    assert copy.leaves_nothing(0.0, [])
    assert not copy.leaves_nothing(64.0, ["dc1", "dc2"])
    assert not copy.leaves_nothing(64.0, [])
