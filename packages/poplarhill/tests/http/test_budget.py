"""Which unfinished message is given up when a process has no memory for another."""

import pytest

from poplarhill.http.budget import FREE_BYTES, BudgetExceededError, MemoryBudget

CAPACITY_BYTES = 1000


class Receiver:
    """A connection that notes when its message is given up."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.given_up = False
        self._holding = budget.open(self._give_up)

    def hold(self, charged_bytes: int, movable: bool = True) -> None:
        """Hold so much beside the part that is free."""
        self._holding.resize(FREE_BYTES + charged_bytes, movable)

    def _give_up(self) -> None:
        self.given_up = True


@pytest.fixture
def clock() -> list[float]:
    return [0.0]


@pytest.fixture
def budget(clock) -> MemoryBudget:
    return MemoryBudget(CAPACITY_BYTES, lambda: clock[0])


def test_a_message_within_the_free_part_needs_no_memory(budget) -> None:
    Receiver(budget).hold(CAPACITY_BYTES, movable=False)
    Receiver(budget).hold(0)
    assert budget.held_bytes == CAPACITY_BYTES


# Guards against giving up a message that is just arriving in favour of a stalled one.
def test_the_largest_message_that_stalls_is_given_up(budget, clock) -> None:
    small, large, arriving = (Receiver(budget) for _ in range(3))
    small.hold(100)
    large.hold(400)
    clock[0] = 5.0
    arriving.hold(450)
    Receiver(budget).hold(300)
    assert (small.given_up, large.given_up, arriving.given_up) == (False, True, False)
    assert budget.held_bytes == 850
    assert budget.peak_bytes <= CAPACITY_BYTES


def test_requests_that_are_handled_are_not_given_up(budget, clock) -> None:
    handled = Receiver(budget)
    handled.hold(CAPACITY_BYTES, movable=False)
    clock[0] = 5.0
    with pytest.raises(BudgetExceededError):
        Receiver(budget).hold(1)
    assert not handled.given_up
    assert budget.held_bytes == CAPACITY_BYTES


# Guards against messages that are given up although the new one is refused as well.
def test_a_message_that_needs_more_than_there_is_gives_up_none_in_vain(
    budget, clock
) -> None:
    handled, arriving = Receiver(budget), Receiver(budget)
    handled.hold(600, movable=False)
    arriving.hold(300)
    clock[0] = 5.0
    with pytest.raises(BudgetExceededError):
        Receiver(budget).hold(401)
    assert not arriving.given_up
    assert budget.held_bytes == 900
