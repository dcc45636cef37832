"""The registered workers, and those that the platform has recently stopped listing."""

from collections.abc import Iterable, Mapping

from poplarhill.types import Resources
from poplarhilld.catalogue.messages import WorkerEntry
from poplarhilld.peers.messages import ReducedWorker

# Entries that expire during a platform outage return 2 s after it; this is twice that.
REJOIN_GRACE_S = 4.0


class Registry:
    """Registered workers by name.

    An entry that the platform no longer lists is kept for `REJOIN_GRACE_S`: it may
    have expired during a platform outage while its worker was alive. At most a
    quarter of `REJOIN_GRACE_S` counts between two lists, so that a time without an
    answer from the platform does not use it up.
    """

    def __init__(self) -> None:
        self._entries: dict[str, WorkerEntry] = {}
        self._grace_left_s: dict[str, float] = {}
        self._last_update: float | None = None

    @property
    def workers(self) -> Mapping[str, WorkerEntry]:
        """Workers by name, including those that are missing but kept."""
        return self._entries

    def is_listed(self, name: str) -> bool:
        """Return whether the platform lists a worker now."""
        return name in self._entries and name not in self._grace_left_s

    @property
    def reduced(self) -> tuple[ReducedWorker, ...]:
        """The workers that are draining or have shrunk."""
        return tuple(
            ReducedWorker(entry.name, entry.draining, entry.room)
            for entry in self._entries.values()
            if entry.draining or entry.room != entry.largest_room
        )

    def reduce(self, reduced: Iterable[ReducedWorker]) -> bool:
        """Apply what another host has read of workers; return whether any changed.

        A worker only becomes smaller or draining by it; the next list tells the rest.
        """
        changed = False
        for name, draining, room in reduced:
            entry = self._entries.get(name)
            if entry is None:
                continue
            smaller = Resources(*map(min, entry.room, room))
            after = entry._replace(room=smaller, draining=entry.draining or draining)
            changed = changed or after != entry
            self._entries[name] = after
        return changed

    def update(self, now: float, entries: Mapping[str, WorkerEntry]) -> bool:
        """Apply a list read from the platform.

        Args:
            now: Time of the read, s.
            entries: Workers by name, as listed.

        Returns:
            Whether a worker was added, changed or removed.
        """
        before = dict(self._entries)
        gap_s = 0.0 if self._last_update is None else now - self._last_update
        self._last_update = now
        for name, entry in entries.items():
            self._entries[name] = _with_largest_room(entry, self._entries.get(name))
            self._grace_left_s.pop(name, None)
        for name in self._entries.keys() - entries.keys():
            left_s = self._grace_left_s.get(name, REJOIN_GRACE_S)
            self._grace_left_s[name] = left_s - min(gap_s, REJOIN_GRACE_S / 4)
            if self._grace_left_s[name] <= 0:
                del self._entries[name], self._grace_left_s[name]
        return before != self._entries


def _with_largest_room(entry: WorkerEntry, known: WorkerEntry | None) -> WorkerEntry:
    """Return an entry with the largest capacity that was read of its worker so far."""
    rooms = [entry.room] if known is None else [entry.room, known.largest_room]
    largest = Resources(*(max(sizes) for sizes in zip(*rooms, strict=True)))
    return entry._replace(largest_room=largest)
