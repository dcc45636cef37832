"""The workers on which a leader may have runs, told to other hosts by digests."""

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
    """

    def __init__(self) -> None:
        self.digests: tuple[int, ...] = ()
        self._present: Mapping[str, LeasedWorker] = {}
        self._sets: OrderedDict[int, frozenset[str]] = OrderedDict()

    def update(self, workers: Mapping[str, LeasedWorker]) -> None:
        """Set the present workers, by name."""
        self._present = workers
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

    def are_confirmed(self, digests: Iterable[int]) -> bool:
        """Return whether this leader has all workers of some sets, and they obey it.

        Each of them has then accepted the token of this leader, which it still obeys as
        far as is known, and has told its runs.
        """
        for digest in digests:
            names = self.names(digest)
            if names is None or not all(map(self._is_confirmed, names)):
                return False
        return True

    def _is_confirmed(self, name: str) -> bool:
        worker = self._present.get(name)
        return worker is not None and worker.confirmed and not worker.fenced

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
