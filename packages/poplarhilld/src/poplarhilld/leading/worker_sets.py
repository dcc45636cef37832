"""The workers on which a leader may have runs, told to other hosts by digests."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import xxhash

from poplarhilld.leases import LeasedWorker
from poplarhilld.peers.messages import UNKNOWN_WORKERS

# Digests that are remembered. A list that changes with each read of the store brings
# some ten in the time for which a host may go by an old heartbeat.
_MAX_SETS = 256


class WorkerSets:
    """The workers of a leader by data centre, now and in recent times.

    A host that hands a job over tells the next leader on which workers the former one
    may have ordered runs. So a leader orders the runs of a job only on workers of the
    sets whose digests the host of the job knows.

    Attributes:
        digests: Digests of the present sets, in ascending order; none is
            `UNKNOWN_WORKERS`.
    """

    def __init__(self) -> None:
        self.digests: tuple[int, ...] = ()
        self._present: dict[int, list[LeasedWorker]] = {}
        self._sets: OrderedDict[int, frozenset[str]] = OrderedDict()

    def update(self, workers: Mapping[str, LeasedWorker]) -> None:
        """Set the present workers, by name."""
        by_data_centre: dict[str, list[LeasedWorker]] = {}
        for worker in workers.values():
            by_data_centre.setdefault(worker.entry.data_centre, []).append(worker)
        self._present = {}
        for centre, members in by_data_centre.items():
            names = frozenset(worker.entry.name for worker in members)
            digest = _digest(centre, names)
            self._present[digest] = members
            self._sets.pop(digest, None)
            self._sets[digest] = names
        self.digests = tuple(sorted(self._present))
        while len(self._sets) > _MAX_SETS:
            self._sets.popitem(last=False)

    def are_confirmed(self, digests: Iterable[int]) -> bool:
        """Return whether sets are present and obey this leader.

        Each worker of them has then accepted the token of this leader, which it still
        obeys as far as is known, and has told its runs.
        """
        return all(
            digest in self._present
            and all(w.confirmed and not w.fenced for w in self._present[digest])
            for digest in digests
        )

    def added_since(self, digests: tuple[int, ...]) -> frozenset[str]:
        """Return the names of the present workers that are in none of some sets.

        A set that is not remembered counts as empty. There are none if no digests are
        given: a host that knows none will hand the job over as one of unknown workers.
        """
        if not digests or digests == self.digests:
            return frozenset()
        known = [self._sets.get(digest, frozenset()) for digest in digests]
        present = (self._sets[digest] for digest in self.digests)
        return frozenset().union(*present).difference(*known)


def _digest(data_centre: str, names: Iterable[str]) -> int:
    parts = (data_centre, *sorted(names))
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return xxhash.xxh64_intdigest(text.encode()) or UNKNOWN_WORKERS + 1
