"""Deadlines of all calls of a process, which one curio task serves."""

import heapq
import math
import time
from itertools import count
from typing import Protocol

import curio


class Expiring(Protocol):
    """What a `DeadlineQueue` expires.

    Attributes:
        deadline_s: When it expires, s; infinite once it no longer does. Of several
            entries for one object, only that for its present deadline counts.
    """

    deadline_s: float

    async def expire(self) -> None:
        """Handle that the deadline has passed; must not block."""


class DeadlineQueue:
    """Expires objects at their deadlines.

    A timeout block of curio costs four traps per call. Here a call that gets its
    response costs one entry of a heap, which is dropped when its time comes.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Expiring]] = []
        self._numbers = count()
        self._wakes_at = -math.inf
        self._earlier = curio.Event()
        self._started = False

    async def add(self, item: Expiring, timeout_s: float) -> None:
        """Expire an object after some time; this replaces an earlier deadline."""
        item.deadline_s = deadline_s = time.monotonic() + timeout_s
        heapq.heappush(self._entries, (deadline_s, next(self._numbers), item))
        if not self._started:
            self._started = True
            await curio.spawn(self._serve, daemon=True)
        elif deadline_s < self._wakes_at:
            self._wakes_at = deadline_s
            await self._earlier.set()

    async def _serve(self) -> None:
        entries = self._entries
        while True:
            expired = self._take_expired()
            if expired:
                # Readers run first, as a response that has arrived counts even if this
                # process was paused: the first turn polls the sockets, the second
                # comes after the readers that the poll has made ready.
                await curio.sleep(0)
                await curio.sleep(0)
            for deadline_s, item in expired:
                if item.deadline_s == deadline_s:
                    await item.expire()
            while entries and entries[0][0] != entries[0][2].deadline_s:
                heapq.heappop(entries)
            self._earlier.clear()
            self._wakes_at = entries[0][0] if entries else math.inf
            if entries:
                remaining_s = self._wakes_at - time.monotonic()
                await curio.ignore_after(remaining_s, self._earlier.wait)
            else:
                await self._earlier.wait()

    def _take_expired(self) -> list[tuple[float, Expiring]]:
        entries, now = self._entries, time.monotonic()
        expired = []
        while entries and entries[0][0] <= now:
            deadline_s, _, item = heapq.heappop(entries)
            expired.append((deadline_s, item))
        return expired
