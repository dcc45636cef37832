"""The pause between two ticks of an entry host."""

import curio

from poplarhilld.entry.clock import uptime


class Pause:
    """A pause that ends early when there is something to decide."""

    def __init__(self) -> None:
        self._ended = curio.Event()
        self._at_once = False
        self._shortened = False
        self._long = False

    async def end(self) -> None:
        """End the pause now, or the next one if none is under way."""
        self._at_once = True
        await self._ended.set()

    async def shorten(self) -> None:
        """End this pause, or the next one, once its shortest time has passed."""
        if not self._shortened:
            self._shortened = True
            if self._long:
                await self._ended.set()

    async def wait(self, shortest_s: float, longest_s: float) -> None:
        """Wait until the pause ends.

        Args:
            shortest_s: Length of a pause that is shortened, s.
            longest_s: Length of a pause that is not, s.
        """
        begin = uptime()
        self._long = longest_s > shortest_s and not self._shortened
        await self._wait(longest_s if self._long else shortest_s)
        was_long, self._long = self._long, False
        if was_long and self._shortened and not self._at_once:
            self._ended.clear()
            await self._wait(begin + shortest_s - uptime())
        self._ended.clear()
        self._at_once = self._shortened = False

    async def _wait(self, longest_s: float) -> None:
        async with curio.ignore_after(max(0.0, longest_s)):
            await self._ended.wait()
