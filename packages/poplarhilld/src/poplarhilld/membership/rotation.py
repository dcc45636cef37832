"""Shuffled round robin: each peer once before any comes again."""

from collections.abc import Sequence
from random import Random


class Rotation:
    """Draws peers in a fresh random order each time around.

    Args:
        random: Source of random choices.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._left: list[str] = []

    def next(self, names: Sequence[str]) -> str:
        """Return the next of the names; there is at least one."""
        self._left = [name for name in self._left if name in names]
        if not self._left:
            self._left = list(names)
            self._random.shuffle(self._left)
        return self._left.pop()
