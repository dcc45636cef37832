"""The simulated store: the registered workers, and what each host reads of them."""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from poplarhill_dev.simulation.network import Clock
from poplarhilld.catalogue import WorkerEntry


class Refusal(NamedTuple):
    """The store turns hosts away.

    Attributes:
        hosts: Names of the hosts.
    """

    hosts: frozenset[str]


class Omission(NamedTuple):
    """The lists of some hosts lack entries.

    Attributes:
        hosts: Names of the hosts.
        workers: Names of the workers whose entries are missing.
    """

    hosts: frozenset[str]
    workers: frozenset[str]


class Staleness(NamedTuple):
    """Some hosts read an old list.

    Attributes:
        hosts: Names of the hosts.
        age_s: Age of the list, s.
    """

    hosts: frozenset[str]
    age_s: float


StoreFault = Refusal | Omission | Staleness


class SimulatedStore:
    """Holds the entries of the workers and serves them to the hosts.

    Args:
        clock: The simulated time.
        entries: Workers that are registered at the start, by name.
    """

    def __init__(self, clock: Clock, entries: Mapping[str, WorkerEntry]) -> None:
        self._clock = clock
        self._entries = dict(entries)
        self._down_until = clock.now
        self._absent_until: dict[str, float] = {}
        self._faults: list[StoreFault] = []
        self._impaired_until: dict[str, float] = {}
        self._lists: list[tuple[float, Mapping[str, WorkerEntry]]] = []
        self._draining_since: dict[str, float] = {}
        self._note_change()

    def read(self, host: str) -> Mapping[str, WorkerEntry] | None:
        """Return the workers that a host reads; `None` if the store turns it away."""
        if self._clock.now < self._down_until:
            return None
        age_s, missing = 0.0, set()
        for fault in self._faults:
            if host not in fault.hosts:
                continue
            match fault:
                case Refusal():
                    return None
                case Omission(_, workers):
                    missing |= workers
                case Staleness(_, fault_age_s):
                    age_s = max(age_s, fault_age_s)
        entries = self._list_at(self._clock.now - age_s)
        return {n: entry for n, entry in entries.items() if n not in missing}

    def served_since(self, host: str) -> float:
        """Return since when a host could read all new entries, s.

        It lies in the future while the host is affected by a fault.
        """
        return max(self._down_until, self._impaired_until.get(host, 0.0))

    def drains_since(self, name: str) -> float:
        """Return since when it lists a worker as draining, s; infinite if never."""
        since = self._draining_since.get(name, math.inf)
        return max(since, self._absent_until.get(name, 0.0))

    def put(self, entry: WorkerEntry) -> None:
        """Register a worker or replace its entry, once the store is available."""
        if self._clock.now < self._down_until:
            self._clock.schedule(self._down_until - self._clock.now, self.put, entry)
            return
        self._entries[entry.name] = entry
        self._absent_until.pop(entry.name, None)
        if entry.draining:
            self._draining_since.setdefault(entry.name, self._clock.now)
        self._note_change()

    def remove(self, name: str) -> None:
        """Remove the entry of a worker that leaves."""
        self._entries.pop(name, None)
        self._note_change()

    def lapse(self, names: Iterable[str], seconds: float) -> None:
        """Let entries of workers that are alive be missing for a time."""
        until = self._clock.now + seconds
        for name in names:
            self._absent_until[name] = max(until, self._absent_until.get(name, 0.0))
        self._note_change()
        self._clock.schedule(seconds, self._note_change)

    def go_down(self, seconds: float) -> None:
        """Serve nobody for a time."""
        self._down_until = max(self._down_until, self._clock.now + seconds)

    def inject(self, fault: StoreFault, seconds: float) -> None:
        """Let a fault affect some hosts for a time."""
        until = self._clock.now + seconds
        self._faults.append(fault)
        for host in fault.hosts:
            impaired_until = self._impaired_until.get(host, 0.0)
            self._impaired_until[host] = max(until, impaired_until)
        self._clock.schedule(seconds, self._faults.remove, fault)

    def _list_at(self, at: float) -> Mapping[str, WorkerEntry]:
        """Return the list that was served at a time, s."""
        lists = (entries for begin, entries in reversed(self._lists) if begin <= at)
        return next(lists, self._lists[0][1])

    def _note_change(self) -> None:
        now = self._clock.now
        listed = {
            name: entry
            for name, entry in self._entries.items()
            if self._absent_until.get(name, 0.0) <= now
        }
        self._lists.append((now, listed))
