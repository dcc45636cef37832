"""The workers that are known, and for how long one is kept that vanished."""

from collections.abc import Mapping

from poplarhilld.catalogue.messages import WorkerEntry

REJOIN_GRACE_S = 4.0  # entries that lapsed in an outage are back 2 s after it, doubled


class Registry:
    """Workers by name.

    An entry that vanishes is kept for a while: it may have lapsed while the
    platform was away, with its worker alive. Time counts only while the
    platform answers.
    """

    def __init__(self) -> None:
        self._entries: dict[str, WorkerEntry] = {}
        self._vanished: dict[str, float] = {}
        self._last_read: float | None = None

    @property
    def workers(self) -> Mapping[str, WorkerEntry]:
        """Workers by name, those among them that vanished lately."""
        return self._entries

    def is_listed(self, name: str) -> bool:
        """Return whether the platform lists a worker now."""
        return name in self._entries and name not in self._vanished

    def update(self, now: float, entries: Mapping[str, WorkerEntry]) -> bool:
        """Take the list that the platform has just given.

        Returns:
            Whether anything but the time has changed.
        """
        before = dict(self._entries)
        gap_s = 0.0 if self._last_read is None else now - self._last_read
        self._last_read = now
        self._entries.update(entries)
        for name in entries:
            self._vanished.pop(name, None)
        for name in self._entries.keys() - entries.keys():
            left_s = self._vanished.get(name, REJOIN_GRACE_S)
            self._vanished[name] = left_s - min(gap_s, REJOIN_GRACE_S / 4)
            if self._vanished[name] <= 0:
                del self._entries[name], self._vanished[name]
        return before != self._entries
