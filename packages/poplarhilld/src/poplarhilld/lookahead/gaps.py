"""Capacity that a placement leaves unusable for the tasks that wait."""

from bisect import bisect_right
from collections.abc import Iterable

# The sums of six sizes, up to three at a time, are 84 at most. More only cost time.
_MAX_SIZES = 6
_MAX_TASKS = 3
_TOLERANCE = 1e-6  # rounding error of sums of cores, which are given in thousandths


class Gaps:
    """Which gaps the waiting tasks can fill, alone or together.

    Args:
        sizes: Cores of waiting tasks, in the order in which they are to start. Only
            the first distinct ones count.
        largest: Cores of the largest worker.
    """

    def __init__(self, sizes: Iterable[float], largest: float) -> None:
        distinct: dict[float, None] = {}
        for size in sizes:
            distinct[size] = None
            if len(distinct) == _MAX_SIZES:
                break
        sums = {0.0}
        layer = {0.0}
        for _ in range(_MAX_TASKS):
            layer = {
                total + size
                for total in layer
                for size in distinct
                if 0 < size and total + size <= largest
            } - sums
            sums |= layer
        self._sums = sorted(sums)

    def unusable(self, cores: float) -> float:
        """Return how many of some free cores no waiting tasks could use."""
        if cores <= 0:
            return 0.0
        index = bisect_right(self._sums, cores + _TOLERANCE) - 1
        return max(0.0, cores - self._sums[index])
