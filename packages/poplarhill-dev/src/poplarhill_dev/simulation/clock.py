"""Simulated time for the modules of the product that read a clock."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from unittest.mock import Mock, patch

from poplarhilld.entry import clock, performer, state, ticker


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
    """Let the modules of an entry host read a simulated clock, and log nothing.

    Args:
        now: Returns the simulated time, s.
    """
    with ExitStack() as patches:
        for module in (clock, state, ticker):
            patches.enter_context(patch.object(module, "time", _SimulatedTime(now)))
        # The log of a host is its log decisions; the rest would go to the terminal.
        patches.enter_context(patch.object(performer, "_log", Mock()))
        yield
