"""Ages of messages, by clocks that are not synchronised."""

import pytest

from poplarhilld.peers.ages import MessageAges

OFFSET_S = 5000.0  # the receiver's clock less the sender's


@pytest.fixture
def ages() -> MessageAges:
    ages = MessageAges()
    for second in range(30):
        assert ages.age_s(second + OFFSET_S + 0.001, "h1", second) < 0.01
    return ages


# Guards against taking what was read after a pause for something new.
def test_messages_that_waited_for_a_paused_receiver_are_old(ages: MessageAges) -> None:
    for sent_at_s in (30.0, 30.3, 30.6):
        age_s = ages.age_s(45.0 + OFFSET_S, "h1", sent_at_s)
        assert age_s == pytest.approx(45.0 - sent_at_s, abs=0.01)
    assert ages.age_s(45.1 + OFFSET_S, "h1", 45.1) < 0.01


def test_hosts_have_clocks_of_their_own(ages: MessageAges) -> None:
    assert ages.age_s(30.0, "h2", 20.0) == 0.0
    assert ages.age_s(30.5, "h2", 20.1) == pytest.approx(0.4)


# Guards against ignoring all messages of a machine whose clock starts anew.
def test_a_machine_that_has_restarted_is_measured_anew(ages: MessageAges) -> None:
    assert ages.age_s(500.0 + OFFSET_S, "h1", 470.0) < 30.1
    assert ages.age_s(600.0 + OFFSET_S, "h1", 5.0) == 0.0


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
