"""Tests of membership states that exchange frames over a simulated lossy network."""

import pytest

from poplarhilld.membership import (
    HeartbeatDue,
    MemberRemoved,
    RemovalReason,
    Superseded,
)
from poplarhilld.membership.state import MIN_ROUND_INTERVAL_S, removal_s

JOIN_LIMIT_S = 30.0
SIDES = ({"h0", "h1", "h2", "h3"}, {"h4", "h5", "h6", "h7"})


def across(sender: str, receiver: str) -> bool:
    return (sender in SIDES[0]) != (receiver in SIDES[0])


def names(count: int) -> list[str]:
    return [f"h{number}" for number in range(count)]


@pytest.fixture
def eight_hosts(make_network):
    network = make_network(8, seed=1)
    network.run_until(lambda: network.all_see(*names(8)), JOIN_LIMIT_S)
    return network


@pytest.mark.parametrize("hosts", [2, 3, 8, 24])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_hosts_join_and_stay_live(make_network, hosts, seed) -> None:
    network = make_network(hosts, seed)
    network.loss, network.duplication, network.delay_s = 0.05, 0.1, 0.5
    network.run_until(lambda: network.all_see(*names(hosts)), JOIN_LIMIT_S)
    network.run(60.0)
    assert network.removed == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_failed_host_is_removed_in_time_and_stays_removed(make_network, seed) -> None:
    network = make_network(8, seed)
    network.duplication, network.delay_s = 0.1, 3.0
    network.run_until(lambda: network.all_see(*names(8)), JOIN_LIMIT_S)
    network.run(10.0)
    network.paused.add("h7")
    last_known_s = removal_s(8)
    network.run_until(lambda: network.all_see(*names(7)), 2 * last_known_s)
    network.run(30.0)
    assert network.all_see(*names(7))
    assert {removed.member for _, _, removed in network.removed} == {"h7"}


def test_one_lost_round_removes_no_host(eight_hosts) -> None:
    eight_hosts.loss = 1.0
    eight_hosts.run(MIN_ROUND_INTERVAL_S)
    eight_hosts.loss = 0.0
    eight_hosts.run(60.0)
    assert eight_hosts.removed == []


def test_a_resumed_host_neither_removes_live_peers_nor_revives_failed_ones(
    eight_hosts,
) -> None:
    eight_hosts.paused |= {"h6", "h7"}
    eight_hosts.cut = lambda sender, receiver: receiver == "h6"
    eight_hosts.run(removal_s(8) * 3)
    eight_hosts.paused.discard("h6")
    eight_hosts.cut = lambda sender, receiver: False
    eight_hosts.states["h6"].resumed(eight_hosts.now)
    begin = eight_hosts.now
    eight_hosts.run_until(lambda: eight_hosts.all_see(*names(7)), JOIN_LIMIT_S)
    late = [(name, r.member) for at, name, r in eight_hosts.removed if at > begin]
    assert set(late) <= {("h6", "h7")}


def test_a_replacement_takes_over_the_name_and_old_gossip_is_ignored(
    eight_hosts,
) -> None:
    old = eight_hosts.states["h7"].me
    eight_hosts.start("h7", incarnation=2, port=2)
    eight_hosts.run_until(
        lambda: eight_hosts.states["h0"].address("h7").port == 2, JOIN_LIMIT_S
    )
    eight_hosts.states["h0"].heartbeat_received(eight_hosts.now, "h3", (old,))
    assert eight_hosts.states["h0"].address("h7").port == 2


def test_a_replacement_whose_clock_is_behind_exceeds_the_old_incarnation(
    eight_hosts,
) -> None:
    eight_hosts.start("h7", incarnation=0)
    eight_hosts.run(JOIN_LIMIT_S)
    assert eight_hosts.all_see(*names(8))
    assert eight_hosts.states["h7"].me.incarnation == 2


@pytest.mark.parametrize("one_way", [False, True])
def test_both_sides_of_a_partition_continue_and_merge_without_a_burst(
    eight_hosts, one_way
) -> None:
    eight_hosts.cut = (
        (lambda sender, receiver: sender in SIDES[0] and receiver in SIDES[1])
        if one_way
        else across
    )
    bound = removal_s(8) * 2
    eight_hosts.run(bound)
    if not one_way:
        views = eight_hosts.views()
        assert all(set(views[name]) == side for side in SIDES for name in side)
    eight_hosts.cut = lambda sender, receiver: False
    frames_sent = eight_hosts.frames_sent
    seconds = eight_hosts.run_until(
        lambda: eight_hosts.all_see(*names(8)), JOIN_LIMIT_S
    )
    assert eight_hosts.frames_sent - frames_sent <= 2 * 8 * (
        seconds / MIN_ROUND_INTERVAL_S + 1
    )


def test_a_leaving_host_is_removed_at_once_by_a_notified_host(eight_hosts) -> None:
    leaving = eight_hosts.states["h7"]
    notified = leaving.leave(eight_hosts.now)
    state = eight_hosts.states[notified[0]]
    [removed] = state.goodbye_received(eight_hosts.now, "h7", leaving.me.incarnation)
    assert removed.reason == RemovalReason.LEAVING.value
    eight_hosts.run_until(
        lambda: eight_hosts.views()["h0"] == tuple(names(7)), JOIN_LIMIT_S
    )


def test_the_platform_list_neither_removes_a_live_host_nor_revives_one(
    eight_hosts,
) -> None:
    state = eight_hosts.states["h0"]
    state.host_list_received(frozenset(names(8)), frozenset())
    state.host_list_received(frozenset(names(7)), frozenset())
    eight_hosts.run(10.0)
    assert state.live == tuple(names(8))
    eight_hosts.paused.add("h7")
    eight_hosts.run(removal_s(8) * 2)
    state.host_list_received(frozenset(names(8)), frozenset())
    assert state.live == tuple(names(7))


def test_active_peers_and_a_refused_connection_shorten_the_wait(make_network) -> None:
    def wait(refused: bool) -> float:
        network = make_network(8, seed=5)
        network.run_until(lambda: network.all_see(*names(8)), JOIN_LIMIT_S)
        network.paused.add("h7")
        state = network.states["h0"]
        begin = network.now
        while "h7" in state.live:
            if refused:
                state.connection_refused(state.address("h7"))
            network.run(MIN_ROUND_INTERVAL_S)
        return network.now - begin

    assert wait(refused=True) < wait(refused=False)


def test_a_frame_from_a_removed_host_does_not_revive_it(eight_hosts) -> None:
    eight_hosts.paused.add("h7")
    eight_hosts.run(removal_s(8) * 2)
    eight_hosts.states["h0"].frame_received(eight_hosts.now, "h7")
    assert "h7" not in eight_hosts.states["h0"].live
    assert any(isinstance(r, MemberRemoved) for _, _, r in eight_hosts.removed)


def test_a_resumed_predecessor_stops_for_its_replacement(eight_hosts) -> None:
    eight_hosts.run(removal_s(8))
    old = eight_hosts.states["h7"]
    eight_hosts.start("h7", incarnation=2)
    eight_hosts.run(MIN_ROUND_INTERVAL_S)
    notified = old.heartbeat_received(
        eight_hosts.now, "h0", (eight_hosts.states["h7"].me,)
    )
    assert any(isinstance(decision, Superseded) for decision in notified)
    later = old.tick(eight_hosts.now + 2 * MIN_ROUND_INTERVAL_S)
    assert not any(isinstance(decision, HeartbeatDue) for decision in later)
