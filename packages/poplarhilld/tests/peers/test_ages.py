"""Ages of messages, by clocks that are not synchronised."""

from random import Random

import pytest

from poplarhilld.peers.ages import MessageAges, PeerClocks, age_by_own_clock_s

OFFSET_S = 5000.0  # the receiver's clock less the sender's


@pytest.fixture
def ages() -> MessageAges:
    ages = MessageAges()
    assert ages.age_s(1 + OFFSET_S + 0.001, "h1", 1) is None
    for second in range(2, 30):
        assert ages.age_s(second + OFFSET_S + 0.001, "h1", second) < 0.01
    return ages


# Guards against taking what was read after a pause for something new.
def test_messages_that_waited_for_a_paused_receiver_are_old(ages: MessageAges) -> None:
    for sent_at_s in (30.0, 30.3, 30.6):
        age_s = ages.age_s(45.0 + OFFSET_S, "h1", sent_at_s)
        assert age_s == pytest.approx(45.0 - sent_at_s, abs=0.01)
    assert ages.age_s(45.1 + OFFSET_S, "h1", 45.1) is None
    assert ages.age_s(45.2 + OFFSET_S, "h1", 45.2) < 0.01


def test_hosts_have_clocks_of_their_own(ages: MessageAges) -> None:
    assert ages.age_s(30.0, "h2", 20.0) is None
    assert ages.age_s(30.5, "h2", 20.1) == pytest.approx(0.4)


# Guards against ignoring all messages of a machine whose clock starts anew.
def test_a_machine_that_has_restarted_is_measured_anew(ages: MessageAges) -> None:
    assert ages.age_s(500.0 + OFFSET_S, "h1", 470.0) is None
    assert ages.age_s(600.0 + OFFSET_S, "h1", 5.0) is None
    assert ages.age_s(600.5 + OFFSET_S, "h1", 5.4) == pytest.approx(0.1)


# Once, the first message of a host counted as not delayed, though it had waited for a
# paused receiver, and so did the first one after some time without any.
@pytest.mark.parametrize("sent_at_s", [2.0, 100.0])
def test_the_age_of_the_first_message_is_not_known(sent_at_s: float) -> None:
    ages = MessageAges()
    ages.age_s(1.0 + OFFSET_S, "other" if sent_at_s == 2.0 else "h1", 1.0)
    assert ages.age_s(sent_at_s + 2.6 + OFFSET_S, "h1", sent_at_s) is None


def test_a_link_that_has_become_slower_is_followed(ages: MessageAges) -> None:
    found = [
        ages.age_s(second + OFFSET_S + 0.2, "h1", second) for second in range(30, 60)
    ]
    assert found[0] == pytest.approx(0.2, abs=0.01)
    assert found[-1] < 0.01


# Once, the offers of a host of an earlier build, which do not tell when they were sent,
# were ignored after a second, and its job was stopped.
def test_a_message_that_does_not_tell_when_it_was_sent_is_not_late() -> None:
    ages = MessageAges()
    assert ages.age_s(10.0, "h1", 0.0) == 0.0
    assert ages.age_s(20.0, "h1", 0.0) == 0.0


# Guards against an offer that counts as newer than it is, whatever was late before it.
@pytest.mark.parametrize("offset_s", [OFFSET_S, -OFFSET_S])
def test_an_age_by_the_own_clock_is_never_too_low(offset_s: float) -> None:
    random = Random(3)
    clocks = PeerClocks()
    now = 2 * OFFSET_S  # of the host that receives the times, and sends the offers
    for _ in range(500):
        sent_at_s = now - offset_s
        now += random.choice([0.001, 0.001, 0.2, 3.0])
        clocks.note(now, "h1", 1, sent_at_s)
        now += random.choice([0.1, 0.3, 25.0])
        ahead_s = clocks.ahead_s(now, "h1")
        took_s = random.choice([0.001, 0.4, 2.6])
        age_s = age_by_own_clock_s(now + took_s - offset_s, now - ahead_s)
        assert took_s <= age_s + 1e-6
        assert age_s <= took_s + 3.001


def test_a_prompt_heartbeat_dates_offers_to_the_millisecond() -> None:
    clocks = PeerClocks()
    assert clocks.ahead_s(100.0, "h1") is None
    for late_s in (0.8, 0.001, 0.3):
        clocks.note(100.0 + late_s, "h1", 1, 50.0)
    age_s = age_by_own_clock_s(51.0, 101.0 - clocks.ahead_s(101.0, "h1"))
    assert age_s == pytest.approx(0.001)


# Guards against a clock that has drifted since it was last heard.
def test_a_clock_is_not_known_for_ever() -> None:
    clocks = PeerClocks()
    clocks.note(100.0, "h1", 1, 50.0)
    assert clocks.ahead_s(300.0, "h1") == pytest.approx(50.0)
    assert clocks.ahead_s(500.0, "h1") is None


# Guards against offers that are ignored for long: the clock of a machine begins anew.
def test_the_clock_of_a_restarted_machine_is_learnt_anew() -> None:
    clocks = PeerClocks()
    clocks.note(100.0, "h1", 1, 50.0)
    assert age_by_own_clock_s(10.0, 100.0 - clocks.ahead_s(100.0, "h1")) is None
    clocks.note(101.0, "h1", 2, 11.0)
    assert age_by_own_clock_s(11.0, 101.0 - clocks.ahead_s(101.0, "h1")) == 0.0
