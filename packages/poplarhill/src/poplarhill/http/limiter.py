"""What the listeners of one process share to bound what their clients can cost."""

from collections import Counter
from enum import Enum
from random import uniform

from poplarhill.exceptions import ErrorKind, Failure
from poplarhill.http.budget import MemoryBudget
from poplarhill.http.turns import Turns
from poplarhill.machine import MachineLimits

_RETRY_S = 1.0
_MAX_RETRY_FACTOR = 4.0
# Refused clients that are given time to read their answers; others are closed at once.
_MAX_LINGERING = 32

NO_PLACE = Failure(ErrorKind.OVERLOADED, "no connection is free", _RETRY_S)
NO_MEMORY = Failure(
    ErrorKind.OVERLOADED, "no memory is free for a request of this size", _RETRY_S
)


def spread_retry(failure: Failure) -> Failure:
    """Return a failure whose clients do not all come back at the same time."""
    if failure.retry_after_s is None:
        return failure
    factor = uniform(1.0, _MAX_RETRY_FACTOR)
    return failure._replace(retry_after_s=failure.retry_after_s * factor)


class Cause(Enum):
    """Why input was refused or a connection closed."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    NO_PLACE = "no_place"
    NO_MEMORY = "no_memory"

    @classmethod
    def from_failure(cls, failure: Failure) -> "Cause":
        """Return the cause that a failure is counted under."""
        match failure.kind:
            case ErrorKind.TOO_LARGE:
                return cls.TOO_LARGE
            case ErrorKind.REQUEST_TIMEOUT:
                return cls.TOO_SLOW
            case ErrorKind.OVERLOADED:
                return cls.NO_PLACE if failure is NO_PLACE else cls.NO_MEMORY
        return cls.MALFORMED


class InputLimiter:
    """The memory budget, the turns and the counts of refusals of a process.

    Args:
        budget_bytes: Memory for messages that are not finished.

    Attributes:
        budget: Memory that connections share for messages that are not finished.
        turns: Shares the event loop among those that have much to read.
        refused: How often input was refused or a connection closed, by cause.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget = MemoryBudget(budget_bytes)
        self.turns = Turns()
        self.refused: Counter[Cause] = Counter()
        self._lingering = 0

    @classmethod
    def from_machine(cls, limits: MachineLimits) -> "InputLimiter":
        """Return the limiter of a process."""
        return cls(limits.budget_bytes)

    def begin_linger(self) -> bool:
        """Return whether one more refused client may be waited for."""
        if self._lingering >= _MAX_LINGERING:
            return False
        self._lingering += 1
        return True

    def end_linger(self) -> None:
        """Note that a refused client is no longer waited for."""
        self._lingering -= 1
