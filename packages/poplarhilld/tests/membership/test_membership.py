"""Membership among states that reach each other through a lossy mailbox."""

import pytest

from poplarhilld.membership import (
    HeartbeatDue,
    MemberRemoved,
    RemovalReason,
    Superseded,
)
from poplarhilld.membership.state import ROUND_S, removal_s

JOIN_LIMIT_S = 30.0
SIDES = ({"h0", "h1", "h2", "h3"}, {"h4", "h5", "h6", "h7"})


def across(sender: str, receiver: str) -> bool:
    return (sender in SIDES[0]) != (receiver in SIDES[0])


def names(count: int) -> list[str]:
    return [f"h{number}" for number in range(count)]


@pytest.fixture
def eight(mailbox):
    box = mailbox(8, seed=1)
    box.run_until(lambda: box.all_see(*names(8)), JOIN_LIMIT_S)
    return box


@pytest.mark.parametrize("hosts", [2, 3, 8, 24])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_hosts_meet_and_stay(mailbox, hosts, seed) -> None:
    box = mailbox(hosts, seed)
    box.loss, box.doubling, box.delay_s = 0.05, 0.1, 0.5
    box.run_until(lambda: box.all_see(*names(hosts)), JOIN_LIMIT_S)
    box.run(60.0)
    assert box.removed == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_dead_host_is_removed_within_the_bound_and_stays_removed(
    mailbox, seed
) -> None:
    box = mailbox(8, seed)
    box.doubling, box.delay_s = 0.1, 3.0
    box.run_until(lambda: box.all_see(*names(8)), JOIN_LIMIT_S)
    box.run(10.0)
    box.paused.add("h7")
    last_known_s = removal_s(8)
    box.run_until(lambda: box.all_see(*names(7)), 2 * last_known_s)
    box.run(30.0)
    assert box.all_see(*names(7))
    assert {removed.member for _, _, removed in box.removed} == {"h7"}


def test_one_lost_round_removes_nobody(eight) -> None:
    eight.loss = 1.0
    eight.run(ROUND_S)
    eight.loss = 0.0
    eight.run(60.0)
    assert eight.removed == []


def test_a_woken_host_neither_removes_its_peers_nor_revives_the_dead(eight) -> None:
    eight.paused |= {"h6", "h7"}
    eight.cut = lambda sender, receiver: receiver == "h6"
    eight.run(removal_s(8) * 3)
    eight.paused.discard("h6")
    eight.cut = lambda sender, receiver: False
    eight.states["h6"].resumed(eight.now)
    begin = eight.now
    eight.run_until(lambda: eight.all_see(*names(7)), JOIN_LIMIT_S)
    late = [(name, r.member) for at, name, r in eight.removed if at > begin]
    assert set(late) <= {("h6", "h7")}


def test_a_replacement_takes_the_name_and_old_gossip_does_not_return(eight) -> None:
    old = eight.states["h7"].me
    eight.start("h7", incarnation=2, port=2)
    eight.run_until(lambda: eight.states["h0"].address("h7").port == 2, JOIN_LIMIT_S)
    eight.states["h0"].heartbeat_received(eight.now, "h3", (old,))
    assert eight.states["h0"].address("h7").port == 2


def test_a_replacement_whose_clock_is_behind_outbids_its_predecessor(eight) -> None:
    eight.start("h7", incarnation=0)
    eight.run(JOIN_LIMIT_S)
    assert eight.all_see(*names(8))
    assert eight.states["h7"].me.incarnation == 2


@pytest.mark.parametrize("one_way", [False, True])
def test_each_side_of_a_cut_goes_on_and_both_heal_without_a_storm(
    eight, one_way
) -> None:
    eight.cut = (
        (lambda sender, receiver: sender in SIDES[0] and receiver in SIDES[1])
        if one_way
        else across
    )
    bound = removal_s(8) * 2
    eight.run(bound)
    if not one_way:
        views = eight.views()
        assert all(set(views[name]) == side for side in SIDES for name in side)
    eight.cut = lambda sender, receiver: False
    frames = eight.frames
    seconds = eight.run_until(lambda: eight.all_see(*names(8)), JOIN_LIMIT_S)
    assert eight.frames - frames <= 2 * 8 * (seconds / ROUND_S + 1)


def test_a_leaving_host_is_removed_at_once_by_a_host_it_tells(eight) -> None:
    leaving = eight.states["h7"]
    told = leaving.leave(eight.now)
    state = eight.states[told[0]]
    [removed] = state.goodbye_received(eight.now, "h7", leaving.me.incarnation)
    assert removed.reason == RemovalReason.LEAVING.value
    eight.run_until(lambda: eight.views()["h0"] == tuple(names(7)), JOIN_LIMIT_S)


def test_the_platform_list_neither_kills_a_heard_host_nor_revives_one(eight) -> None:
    state = eight.states["h0"]
    state.host_list_received(frozenset(names(8)), frozenset())
    state.host_list_received(frozenset(names(7)), frozenset())
    eight.run(10.0)
    assert state.live == tuple(names(8))
    eight.paused.add("h7")
    eight.run(removal_s(8) * 2)
    state.host_list_received(frozenset(names(8)), frozenset())
    assert state.live == tuple(names(7))


def test_a_second_view_and_a_refused_connection_shorten_the_wait(mailbox) -> None:
    def wait(refused: bool) -> float:
        box = mailbox(8, seed=5)
        box.run_until(lambda: box.all_see(*names(8)), JOIN_LIMIT_S)
        box.paused.add("h7")
        state = box.states["h0"]
        begin = box.now
        while "h7" in state.live:
            if refused:
                state.connection_refused(state.address("h7"))
            box.run(ROUND_S)
        return box.now - begin

    assert wait(refused=True) < wait(refused=False)


def test_a_frame_from_a_removed_host_does_not_revive_it(eight) -> None:
    eight.paused.add("h7")
    eight.run(removal_s(8) * 2)
    eight.states["h0"].frame_received(eight.now, "h7")
    assert "h7" not in eight.states["h0"].live
    assert any(isinstance(r, MemberRemoved) for _, _, r in eight.removed)


def test_a_woken_predecessor_gives_way_to_its_replacement(eight) -> None:
    eight.run(removal_s(8))
    old = eight.states["h7"]
    eight.start("h7", incarnation=2)
    eight.run(ROUND_S)
    told = old.heartbeat_received(eight.now, "h0", (eight.states["h7"].me,))
    assert any(isinstance(decision, Superseded) for decision in told)
    later = old.tick(eight.now + 2 * ROUND_S)
    assert not any(isinstance(decision, HeartbeatDue) for decision in later)
