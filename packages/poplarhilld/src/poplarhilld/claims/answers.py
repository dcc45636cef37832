"""A cache of the outcomes of keyed jobs, bounded in time and memory."""

from collections import OrderedDict
from typing import NamedTuple

from poplarhilld.jobs.messages import Completed, JobOutcome

KEEP_S = 60.0
MAX_BYTES = 16 * 1024 * 1024
_ENTRY_OVERHEAD_BYTES = 512


class _CachedOutcome(NamedTuple):
    """The cached outcome of a job.

    Attributes:
        fingerprint: Hash of the tasks of the job.
        outcome: The outcome.
        ended_at: When the job ended, s.
        size: Estimated size, bytes.
    """

    fingerprint: str
    outcome: JobOutcome
    ended_at: float
    size: int


class OutcomeCache:
    """The latest outcomes of this host, by hash of the key."""

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _CachedOutcome] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def keep(self, now: float, key: str, fingerprint: str, outcome: JobOutcome) -> None:
        """Add an outcome; evict the oldest while the cache exceeds its size."""
        self._drop(key)
        size = _ENTRY_OVERHEAD_BYTES
        if isinstance(outcome, Completed):
            size += sum(len(result) for result in outcome.results)
        self._entries[key] = _CachedOutcome(fingerprint, outcome, now, size)
        self._bytes += size
        while self._bytes > MAX_BYTES:
            self._drop(next(iter(self._entries)))

    def get(self, now: float, key: str) -> _CachedOutcome | None:
        """Return the cached outcome of a key, if it has not expired."""
        while self._entries:
            oldest, kept = next(iter(self._entries.items()))
            if now - kept.ended_at < KEEP_S:
                break
            self._drop(oldest)
        return self._entries.get(key)

    def _drop(self, key: str) -> None:
        kept = self._entries.pop(key, None)
        if kept is not None:
            self._bytes -= kept.size
