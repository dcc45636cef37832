"""A host's copy of the evacuations in force."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from poplarhilld.decisions import LogDecision
from poplarhilld.evacuation.messages import (
    EvacuationEnded,
    Evacuations,
    EvacuationStarted,
)


class EvacuationUpdate(NamedTuple):
    """What new information has changed.

    Attributes:
        changed: Whether a data centre was evacuated or lifted.
        lines: Log lines on it.
    """

    changed: bool = False
    lines: tuple[LogDecision, ...] = ()


_UNCHANGED = EvacuationUpdate()


def lines_on_change(
    before: frozenset[str],
    after: frozenset[str],
    versions: Mapping[str, int],
    version: int,
    source: str,
) -> tuple[LogDecision, ...]:
    """Return a log line for each evacuation that starts or ends.

    Args:
        before: Names of the data centres that were evacuated before.
        after: Names of those that are evacuated now.
        versions: Versions of evacuations in force that differ from `version`.
        version: Version of what the host knows now.
        source: Where the host has it from.
    """
    started = [
        EvacuationStarted(name, versions.get(name, version), source)
        for name in sorted(after - before)
    ]
    ended = [EvacuationEnded(name, version, source) for name in sorted(before - after)]
    return tuple(LogDecision(line) for line in [*started, *ended])


class EvacuationCopy:
    """A host's copy of the evacuations that the store holds.

    The host updates it from the store, and from the heartbeats of peers, which carry
    their copies. Only the copy that includes more of the store's records counts, so a
    peer that is behind neither restores nor drops an evacuation.
    """

    def __init__(self) -> None:
        self._copy = Evacuations()
        self._data_centres: frozenset[str] = frozenset()
        self._any_seen = False
        self._for_peers = Evacuations()

    @property
    def data_centres(self) -> frozenset[str]:
        """Names of the evacuated data centres."""
        return self._data_centres

    @property
    def for_peers(self) -> Evacuations:
        """The copy as heartbeats carry it.

        Its end is 0 until this host has seen an evacuation, here or in the copy of a
        peer. Until then heartbeats stay the same when other records are written.
        """
        return self._for_peers

    def update(self, source: str, copy: Evacuations) -> EvacuationUpdate:
        """Adopt a copy that includes more records than this one.

        Args:
            source: `store`, or the name of the peer that sent it.
            copy: What the store or the peer holds.
        """
        if copy.in_force and not self._any_seen:
            # A copy that is behind counts too: its host must be told of the end.
            self._any_seen = True
            self._for_peers = self._copy
        if copy.end <= self._copy.end:
            return _UNCHANGED
        before = self._data_centres
        self._copy = copy
        if self._any_seen:
            self._for_peers = copy
        self._data_centres = frozenset(one.data_centre for one in copy.in_force)
        versions = dict(copy.in_force)
        lines = lines_on_change(
            before, self._data_centres, versions, copy.end - 1, source
        )
        return EvacuationUpdate(bool(lines), lines)

    def leaves_nothing(self, cores: float, led: Iterable[str]) -> bool:
        """Return whether a leader has no workers outside evacuated data centres.

        Args:
            cores: Cores of the workers to which it assigns tasks, as it reported.
            led: Data centres in which it leads workers, as far as that is known.
        """
        if not self._data_centres:
            return False
        led = set(led)
        return cores <= 0 or (bool(led) and led <= self._data_centres)
