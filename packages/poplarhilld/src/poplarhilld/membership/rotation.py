"""Shuffled round robin: each peer is drawn once before any is drawn again."""

from collections.abc import Sequence
from random import Random


class Rotation:
    """Draws peers in a new random order in each cycle.

    Args:
        random: Source of random choices.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._remaining: list[str] = []

    def next(self, names: Sequence[str]) -> str:
        """Return the next name; `names` must not be empty."""
        self._remaining = [name for name in self._remaining if name in names]
        if not self._remaining:
            self._remaining = list(names)
            self._random.shuffle(self._remaining)
        return self._remaining.pop()
