"""When a view is recent enough to send tasks."""

from random import Random

import pytest

from poplarhill.platform import HostList, Unavailable
from poplarhilld.freshness import Freshness, ReadHosts, ReadLogNow, SendToPeer
from poplarhilld.freshness.messages import Isolated, Refreshed
from poplarhilld.freshness.state import MAX_VIEW_AGE_S, REFRESH_TIMEOUT_S
from poplarhilld.peers import (
    ConfigurationRequest,
    HostsNews,
    RefreshReply,
    RefreshRequest,
)

PEERS = ("h2", "h3")
VERSION = 7
TICK_S = 0.1
RESUMED_AT = 100.0


def hosts(version: int, *leaving: str) -> HostList:
    return HostList(version, frozenset({"h1", "w1", "w2"}), frozenset(leaving))


def of_type(kind: type, outputs: list) -> list:
    return [output for output in outputs if isinstance(output, kind)]


def run_with_platform(fresh: Freshness) -> Freshness:
    """Run for 10 s with a reachable platform."""
    now = 0.0
    while now < 10.0:
        now += TICK_S
        outputs = fresh.tick(now, fresh.measure_pause(now), PEERS)
        if of_type(ReadHosts, outputs):
            fresh.hosts_read(now, now, hosts(1), PEERS)
    return fresh


@pytest.fixture
def fresh() -> Freshness:
    return run_with_platform(Freshness(Random(1)))


@pytest.fixture
def resumed(fresh) -> tuple[Freshness, list]:
    pause_s = fresh.measure_pause(RESUMED_AT)
    return fresh, fresh.tick(RESUMED_AT, pause_s, PEERS)


def reply(fresh_for: Freshness, **fields) -> RefreshReply:
    values = {
        "request_id": 1,
        "configuration_version": VERSION,
        "hosts_version": 2,
        "leaving_workers": ("w1",),
        "informed": True,
    }
    return RefreshReply(**{**values, **fields})


def test_a_resumed_host_asks_log_platform_and_peers_and_sends_nothing(resumed) -> None:
    fresh, outputs = resumed
    assert not fresh.may_send
    assert of_type(ReadHosts, outputs)
    assert of_type(ReadLogNow, outputs)
    assert {ask.peer for ask in of_type(SendToPeer, outputs)} == set(PEERS)


def test_log_and_host_list_read_after_the_pause_end_the_wait(resumed) -> None:
    fresh, _ = resumed
    fresh.configuration_confirmed(RESUMED_AT + 0.01, RESUMED_AT + 0.005)
    assert not fresh.may_send
    fresh.hosts_read(RESUMED_AT + 0.02, RESUMED_AT + 0.005, hosts(2, "w1"), PEERS)
    assert fresh.may_send
    assert fresh.leaving == {"w1"}


def test_replies_to_requests_from_before_the_pause_do_not_count(resumed) -> None:
    fresh, _ = resumed
    fresh.configuration_confirmed(RESUMED_AT + 0.01, 10.0)
    fresh.hosts_read(RESUMED_AT + 0.01, 10.0, hosts(1), PEERS)
    fresh.reply_received(RESUMED_AT + 0.01, "h2", reply(fresh, request_id=0), VERSION)
    assert not fresh.may_send


def test_one_informed_peer_is_enough(resumed) -> None:
    fresh, _ = resumed
    outputs = fresh.reply_received(RESUMED_AT + 0.01, "h2", reply(fresh), VERSION)
    assert of_type(Refreshed, outputs)
    assert fresh.may_send
    assert fresh.leaving == {"w1"}


def test_a_peer_that_is_not_informed_is_not_enough(resumed) -> None:
    fresh, _ = resumed
    fresh.reply_received(RESUMED_AT + 0.01, "h2", reply(fresh, informed=False), VERSION)
    assert not fresh.may_send
    assert fresh.leaving == {"w1"}


def test_a_newer_configuration_is_fetched_before_anything_is_sent(resumed) -> None:
    fresh, _ = resumed
    newer = reply(fresh, configuration_version=VERSION + 1)
    outputs = fresh.reply_received(RESUMED_AT + 0.01, "h2", newer, VERSION)
    assert SendToPeer("h2", ConfigurationRequest(VERSION)) in outputs
    assert not fresh.may_send
    fresh.configuration_in_force(RESUMED_AT + 0.02, VERSION + 1)
    assert fresh.may_send


def test_without_a_reply_the_host_is_isolated_and_sends_again(resumed) -> None:
    fresh, _ = resumed
    outputs: list = []
    now = RESUMED_AT
    while not outputs:
        assert now <= RESUMED_AT + REFRESH_TIMEOUT_S + TICK_S
        now += TICK_S
        outputs = of_type(Isolated, fresh.tick(now, fresh.measure_pause(now), PEERS))
    assert fresh.may_send
    assert fresh.isolated
    fresh.hosts_read(now, now, hosts(1), PEERS)
    assert not fresh.isolated


def test_the_host_list_is_read_more_often_than_its_maximum_age() -> None:
    fresh = Freshness(Random(3))
    now, asked_at = 0.0, 0.0
    while now < 200.0:
        now += TICK_S
        if of_type(ReadHosts, fresh.tick(now, fresh.measure_pause(now), PEERS)):
            assert now - asked_at < MAX_VIEW_AGE_S
            asked_at = now
            fresh.hosts_read(now, now, hosts(1), PEERS)


def test_a_newer_list_is_sent_to_every_peer_once(fresh) -> None:
    outputs = fresh.hosts_read(11.0, 11.0, hosts(2, "w2"), PEERS)
    news = HostsNews(2, ("w2",))
    assert of_type(SendToPeer, outputs) == [SendToPeer(peer, news) for peer in PEERS]
    assert not of_type(SendToPeer, fresh.hosts_read(14.0, 14.0, hosts(2, "w2"), PEERS))


def test_an_older_list_is_not_adopted(fresh) -> None:
    fresh.news_received("h2", 5, ("w2",))
    fresh.news_received("h3", 4, ())
    fresh.hosts_read(11.0, 11.0, hosts(3), PEERS)
    assert fresh.leaving == {"w2"}


def test_a_host_with_an_outdated_view_reports_itself_not_informed(fresh) -> None:
    assert fresh.answer(10.5, RefreshRequest(9), VERSION).informed
    fresh.hosts_read(11.0, 11.0, Unavailable("down"), PEERS)
    assert not fresh.answer(20.0, RefreshRequest(9), VERSION).informed


def test_a_starting_host_sends_nothing_before_its_first_host_list() -> None:
    fresh = Freshness(Random(1))
    fresh.start(0.0)
    assert not fresh.may_send
    fresh.tick(TICK_S, fresh.measure_pause(TICK_S), PEERS)
    fresh.hosts_read(0.2, 0.15, hosts(1), PEERS)
    assert fresh.may_send
