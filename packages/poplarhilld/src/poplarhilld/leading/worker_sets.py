"""The workers on which a leader may have runs, told to other hosts by digests."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping

import xxhash

from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leases import LeasedWorker
from poplarhilld.peers.messages import UNKNOWN_WORKERS

# Digests that are remembered. A list that changes with each read of the store brings
# some ten in the time for which a host may go by an old heartbeat.
_MAX_SETS = 256


class WorkerSets:
    """The workers of a leader by data centre, and sets that were read in recent times.

    A host that hands a job over tells the next leader on which workers the former one
    may have ordered runs. So a leader orders the runs of a job only on workers of the
    sets whose digests the host of the job knows.

    Attributes:
        digests: Digests of the present sets, in ascending order; none is
            `UNKNOWN_WORKERS`.
        known_at: As of when all runs on the workers of a set are known, s, by digest;
            `None` if they are not. Must be cleared when a worker has replied.
    """

    def __init__(self) -> None:
        self.digests: tuple[int, ...] = ()
        self._present: Mapping[str, LeasedWorker] = {}
        self._sets: OrderedDict[int, frozenset[str]] = OrderedDict()
        self.known_at: dict[int, float | None] = {}

    def update(self, workers: Mapping[str, LeasedWorker]) -> None:
        """Set the present workers, by name."""
        self._present = workers
        self.known_at.clear()
        self.digests = self.remember(worker.entry for worker in workers.values())

    def remember(self, entries: Iterable[WorkerEntry]) -> tuple[int, ...]:
        """Keep the sets of some workers, and return their digests in ascending order.

        Most former leaders have had a set that this host has read from the store, too.
        """
        by_data_centre: dict[str, list[str]] = {}
        for entry in entries:
            by_data_centre.setdefault(entry.data_centre, []).append(entry.name)
        digests = []
        for centre, names in by_data_centre.items():
            digest = _digest(centre, names)
            digests.append(digest)
            self._sets.pop(digest, None)
            self._sets[digest] = frozenset(names)
        while len(self._sets) > _MAX_SETS:
            self._sets.popitem(last=False)
        return tuple(sorted(digests))

    def names(self, digest: int) -> frozenset[str] | None:
        """Return the names of the workers of a set, or `None` if it is not known."""
        return self._sets.get(digest)

    def runs_known_at(self, digests: Iterable[int]) -> float | None:
        """Return as of when all runs on the workers of some sets are known, s.

        Each of these workers has answered a request under the token of this leader that
        was sent then or later. It may have accepted a newer token since.

        Returns:
            By the leader's clock. `None` if the runs are not known: this leader lacks a
            worker, or does not know that it obeys the token.
        """
        oldest_at = math.inf
        for digest in digests:
            if digest not in self.known_at:
                self.known_at[digest] = self._set_known_at(digest)
            known_at = self.known_at[digest]
            if known_at is None:
                return None
            oldest_at = min(oldest_at, known_at)
        return oldest_at

    def _set_known_at(self, digest: int) -> float | None:
        names = self.names(digest)
        if names is None:
            return None
        oldest_at = math.inf
        for name in names:
            worker = self._present.get(name)
            known_at = None if worker is None else worker.runs_known_at
            if known_at is None:
                return None
            oldest_at = min(oldest_at, known_at)
        return oldest_at

    def added_since(self, digests: tuple[int, ...]) -> frozenset[str]:
        """Return the names of the present workers that are in none of some sets.

        A set that is not remembered counts as empty. There are none if no digests are
        given: a host that knows none will hand the job over as one of unknown workers.
        """
        if not digests or digests == self.digests:
            return frozenset()
        known = [self._sets.get(digest, frozenset()) for digest in digests]
        return frozenset(self._present).difference(*known)


def _digest(data_centre: str, names: Iterable[str]) -> int:
    parts = (data_centre, *sorted(names))
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return xxhash.xxh64_intdigest(text.encode()) or UNKNOWN_WORKERS + 1
