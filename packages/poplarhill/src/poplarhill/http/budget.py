"""Bounds the memory for what a process has received and not finished."""

import time
from collections.abc import Callable

# What each connection may hold beside the budget: a usual request, read at once.
FREE_BYTES = 16 * 1024


class BudgetExceededError(Exception):
    """Nothing can be given up to make room for more data."""


class Holding:
    """The memory that one connection takes up.

    Args:
        budget: Budget that it counts against.
        give_up: Called when the memory is needed for others; has to free it at once.
    """

    __slots__ = ("_budget", "_give_up", "charged_bytes", "movable", "since_s")

    def __init__(self, budget: "MemoryBudget", give_up: Callable[[], object]) -> None:
        self._budget = budget
        self._give_up = give_up
        self.charged_bytes = 0
        self.movable = True
        self.since_s = 0.0

    def resize(self, held_bytes: int, movable: bool = True) -> None:
        """Set how much the connection holds now.

        Args:
            held_bytes: All that it holds; `FREE_BYTES` of it are not counted.
            movable: Whether it may be given up in favour of others.

        Raises:
            BudgetExceededError: The budget is full and nothing else can be given up.
        """
        charged_bytes = max(0, held_bytes - FREE_BYTES)
        if charged_bytes or self.charged_bytes:
            self._budget.charge(self, charged_bytes, movable)

    def release(self) -> None:
        """Hold nothing."""
        if self.charged_bytes:
            self._budget.charge(self, 0, True)

    def give_up(self) -> None:
        """Free the memory in favour of others."""
        self._give_up()


class MemoryBudget:
    """Memory that the connections of a process share for unfinished messages.

    When it is full, the message with the largest product of its size and its age is
    given up: one that stalls, rather than one that is just arriving.

    Args:
        capacity_bytes: Size of the budget.
        clock: Returns a monotonic time, s.
    """

    def __init__(
        self, capacity_bytes: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._capacity_bytes = capacity_bytes
        self._clock = clock
        self._held_bytes = 0
        self._peak_bytes = 0
        self._holdings: set[Holding] = set()

    @property
    def held_bytes(self) -> int:
        """Memory in use now."""
        return self._held_bytes

    @property
    def peak_bytes(self) -> int:
        """Largest memory that was in use."""
        return self._peak_bytes

    def open(self, give_up: Callable[[], object]) -> Holding:
        """Return the holding of a new connection, which holds nothing yet."""
        return Holding(self, give_up)

    def charge(self, holding: Holding, charged_bytes: int, movable: bool) -> None:
        """Set what counts for a holding.

        Raises:
            BudgetExceededError: The budget is full and nothing else can be given up;
                the holding then keeps what it had.
        """
        now = self._clock()
        missing_bytes = self._missing_bytes(holding, charged_bytes)
        if missing_bytes > 0:
            self._make_room(now, holding, missing_bytes)
        if not holding.charged_bytes:
            holding.since_s = now
        holding.movable = movable
        self._set(holding, charged_bytes)
        self._peak_bytes = max(self._peak_bytes, self._held_bytes)

    def _missing_bytes(self, holding: Holding, charged_bytes: int) -> int:
        added_bytes = max(0, charged_bytes - holding.charged_bytes)
        return self._held_bytes + added_bytes - self._capacity_bytes

    def _make_room(self, now: float, needed_by: Holding, missing_bytes: int) -> None:
        """Give up as many messages as needed; none if all of them are not enough."""
        candidates = [h for h in self._holdings if h.movable and h is not needed_by]
        if sum(h.charged_bytes for h in candidates) < missing_bytes:
            raise BudgetExceededError
        candidates.sort(key=lambda h: h.charged_bytes * (now - h.since_s))
        while missing_bytes > 0:
            chosen = candidates.pop()
            missing_bytes -= chosen.charged_bytes
            self._set(chosen, 0)
            chosen.give_up()

    def _set(self, holding: Holding, charged_bytes: int) -> None:
        self._held_bytes += charged_bytes - holding.charged_bytes
        holding.charged_bytes = charged_bytes
        if charged_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
