"""Outcomes of keyed jobs that this host keeps, in bounded time and memory."""

from collections import OrderedDict
from typing import NamedTuple

from poplarhilld.jobs.messages import Completed, JobOutcome

KEEP_S = 60.0
MAX_BYTES = 16 * 1024 * 1024
_ENTRY_BYTES = 512


class _Kept(NamedTuple):
    """An outcome, since when it is kept, and its size.

    Attributes:
        fingerprint: Hash of the job that it is of.
        outcome: The outcome.
        since: When the job ended, s.
        size: Bytes it takes, roughly.
    """

    fingerprint: str
    outcome: JobOutcome
    since: float
    size: int


class KeptAnswers:
    """The latest outcomes, by hash of the key."""

    def __init__(self) -> None:
        self._kept: OrderedDict[str, _Kept] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, now: float, key: str, fingerprint: str, outcome: JobOutcome) -> None:
        """Keep an outcome; the oldest give way."""
        self._drop(key)
        size = _ENTRY_BYTES
        if isinstance(outcome, Completed):
            size += sum(len(result) for result in outcome.results)
        self._kept[key] = _Kept(fingerprint, outcome, now, size)
        self._bytes += size
        while self._bytes > MAX_BYTES:
            self._drop(next(iter(self._kept)))

    def get(self, now: float, key: str) -> _Kept | None:
        """Return what is kept of a key."""
        while self._kept:
            oldest, kept = next(iter(self._kept.items()))
            if now - kept.since < KEEP_S:
                break
            self._drop(oldest)
        return self._kept.get(key)

    def _drop(self, key: str) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._bytes -= kept.size
