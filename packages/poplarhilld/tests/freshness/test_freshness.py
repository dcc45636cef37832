"""When a view is fresh enough to send tasks by."""

from random import Random

import pytest

from poplarhill.platform import HostList, Unavailable
from poplarhilld.freshness import Freshness, ReadHosts, ReadLogNow, SendToPeer
from poplarhilld.freshness.messages import Isolated, Refreshed
from poplarhilld.freshness.state import REFRESH_LIMIT_S, VIEW_BOUND_S
from poplarhilld.peers import (
    ConfigurationRequest,
    HostsNews,
    RefreshReply,
    RefreshRequest,
)

PEERS = ("h2", "h3")
VERSION = 7
TICK_S = 0.1
WAKE = 100.0


def hosts(version: int, *leaving: str) -> HostList:
    return HostList(version, frozenset({"h1", "w1", "w2"}), frozenset(leaving))


def of(kind: type, outputs: list) -> list:
    return [output for output in outputs if isinstance(output, kind)]


def informed(fresh: Freshness) -> Freshness:
    """Run a while with a platform that answers."""
    now = 0.0
    while now < 10.0:
        now += TICK_S
        outputs = fresh.tick(now, fresh.advance(now), PEERS)
        if of(ReadHosts, outputs):
            fresh.hosts_read(now, now, hosts(1), PEERS)
    return fresh


@pytest.fixture
def fresh() -> Freshness:
    return informed(Freshness(Random(1)))


@pytest.fixture
def woken(fresh) -> tuple[Freshness, list]:
    pause = fresh.advance(WAKE)
    return fresh, fresh.tick(WAKE, pause, PEERS)


def reply(fresh_for: Freshness, **fields) -> RefreshReply:
    values = {
        "request_id": 1,
        "configuration_version": VERSION,
        "hosts_version": 2,
        "leaving_workers": ("w1",),
        "informed": True,
    }
    return RefreshReply(**{**values, **fields})


def test_a_woken_host_asks_everyone_and_sends_nothing(woken) -> None:
    fresh, outputs = woken
    assert not fresh.may_send
    assert of(ReadHosts, outputs)
    assert of(ReadLogNow, outputs)
    assert {ask.peer for ask in of(SendToPeer, outputs)} == set(PEERS)


def test_log_and_list_asked_after_waking_end_the_wait(woken) -> None:
    fresh, _ = woken
    fresh.configuration_confirmed(WAKE + 0.01, WAKE + 0.005)
    assert not fresh.may_send
    fresh.hosts_read(WAKE + 0.02, WAKE + 0.005, hosts(2, "w1"), PEERS)
    assert fresh.may_send
    assert fresh.leaving == {"w1"}


def test_answers_to_questions_from_before_the_pause_do_not_count(woken) -> None:
    fresh, _ = woken
    fresh.configuration_confirmed(WAKE + 0.01, 10.0)
    fresh.hosts_read(WAKE + 0.01, 10.0, hosts(1), PEERS)
    fresh.reply_received(WAKE + 0.01, "h2", reply(fresh, request_id=0), VERSION)
    assert not fresh.may_send


def test_one_informed_peer_is_enough(woken) -> None:
    fresh, _ = woken
    outputs = fresh.reply_received(WAKE + 0.01, "h2", reply(fresh), VERSION)
    assert of(Refreshed, outputs)
    assert fresh.may_send
    assert fresh.leaving == {"w1"}


def test_a_peer_that_is_not_informed_is_not_enough(woken) -> None:
    fresh, _ = woken
    fresh.reply_received(WAKE + 0.01, "h2", reply(fresh, informed=False), VERSION)
    assert not fresh.may_send
    assert fresh.leaving == {"w1"}


def test_a_newer_configuration_is_fetched_before_anything_is_sent(woken) -> None:
    fresh, _ = woken
    newer = reply(fresh, configuration_version=VERSION + 1)
    outputs = fresh.reply_received(WAKE + 0.01, "h2", newer, VERSION)
    assert SendToPeer("h2", ConfigurationRequest(VERSION)) in outputs
    assert not fresh.may_send
    fresh.configuration_in_force(WAKE + 0.02, VERSION + 1)
    assert fresh.may_send


def test_without_any_answer_the_host_is_isolated_and_goes_on(woken) -> None:
    fresh, _ = woken
    outputs: list = []
    now = WAKE
    while not outputs:
        assert now <= WAKE + REFRESH_LIMIT_S + TICK_S
        now += TICK_S
        outputs = of(Isolated, fresh.tick(now, fresh.advance(now), PEERS))
    assert fresh.may_send
    assert fresh.isolated
    fresh.hosts_read(now, now, hosts(1), PEERS)
    assert not fresh.isolated


def test_news_reach_every_host_within_the_bound_by_its_own_reads() -> None:
    fresh = Freshness(Random(3))
    now, asked_at = 0.0, 0.0
    while now < 200.0:
        now += TICK_S
        if of(ReadHosts, fresh.tick(now, fresh.advance(now), PEERS)):
            assert now - asked_at < VIEW_BOUND_S
            asked_at = now
            fresh.hosts_read(now, now, hosts(1), PEERS)


def test_the_first_to_see_a_newer_list_tells_every_peer_once(fresh) -> None:
    outputs = fresh.hosts_read(11.0, 11.0, hosts(2, "w2"), PEERS)
    news = HostsNews(2, ("w2",))
    assert of(SendToPeer, outputs) == [SendToPeer(peer, news) for peer in PEERS]
    assert not of(SendToPeer, fresh.hosts_read(14.0, 14.0, hosts(2, "w2"), PEERS))


def test_an_older_list_never_wins(fresh) -> None:
    fresh.news_received("h2", 5, ("w2",))
    fresh.news_received("h3", 4, ())
    fresh.hosts_read(11.0, 11.0, hosts(3), PEERS)
    assert fresh.leaving == {"w2"}


def test_a_host_with_an_old_view_does_not_call_itself_informed(fresh) -> None:
    assert fresh.answer(10.5, RefreshRequest(9), VERSION).informed
    fresh.hosts_read(11.0, 11.0, Unavailable("down"), PEERS)
    assert not fresh.answer(20.0, RefreshRequest(9), VERSION).informed


def test_a_host_that_starts_waits_for_its_first_view() -> None:
    fresh = Freshness(Random(1))
    fresh.start(0.0)
    assert not fresh.may_send
    fresh.tick(TICK_S, fresh.advance(TICK_S), PEERS)
    fresh.hosts_read(0.2, 0.15, hosts(1), PEERS)
    assert fresh.may_send
