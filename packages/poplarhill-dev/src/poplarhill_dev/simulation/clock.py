"""Simulated time for the modules of the product that read a clock."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from unittest.mock import patch

from poplarhilld.entry import clock, state, ticker


class _SimulatedTime:
    """Stands in for the module `time`.

    Args:
        now: Returns the simulated time, s.
    """

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    def __init__(self, now: Callable[[], float]) -> None:
        self.time = now

    def clock_gettime(self, _: int) -> float:
        """Return the simulated time, s."""
        return self.time()


@contextmanager
def simulated_time(now: Callable[[], float]) -> Iterator[None]:
    """Let the modules of an entry host read a simulated clock.

    Args:
        now: Returns the simulated time, s.
    """
    with ExitStack() as patches:
        for module in (clock, state, ticker):
            patches.enter_context(patch.object(module, "time", _SimulatedTime(now)))
        yield
