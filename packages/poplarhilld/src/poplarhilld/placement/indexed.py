"""A set that yields a random element in constant time."""

from collections.abc import Iterator
from random import Random


class IndexedSet:
    """A set of names that is kept as a list and an index into it."""

    def __init__(self) -> None:
        self._items: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: str) -> bool:
        return item in self._positions

    def __iter__(self) -> Iterator[str]:
        return iter(self._items)

    def add(self, item: str) -> None:
        """Add an item, if it is not in the set."""
        if item not in self._positions:
            self._positions[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: str) -> None:
        """Remove an item, if it is in the set."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[position] = last
            self._positions[last] = position

    def rotated(self, random: Random) -> Iterator[str]:
        """Yield every item once, starting at a random position."""
        count = len(self._items)
        start = random.randrange(count) if count > 1 else 0
        for offset in range(count):
            yield self._items[(start + offset) % count]
