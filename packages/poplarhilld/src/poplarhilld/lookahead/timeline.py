"""When the runs on each worker are expected to end.

Each run has the time at which it began, its expected run time on its worker and the
deviation of the logarithm of run times of its route. A run that has reached its
expected end is expected to go on for its deviation times the time that it has run, so
that the end of a run of the long tail moves ever further away.
"""

from collections.abc import Iterable
from typing import NamedTuple

from poplarhilld.leases import Run

# An adopted run has on average run for half of its time when a new leader finds it.
_ADOPTED_FRACTION = 0.5


class TimedRun(NamedTuple):
    """A run that holds cores of a worker.

    Attributes:
        cores: The cores.
        begun_at: When it began, by the leader's clock, s.
        expected_s: Its expected run time on its worker, s.
        deviation: Standard deviation of the logarithm of its run time.
    """

    cores: float
    begun_at: float
    expected_s: float
    deviation: float

    def expected_end(self, now: float) -> float:
        """Return when it is expected to end, s; later than `now`."""
        end = self.begun_at + self.expected_s
        if end > now:
            return end
        return now + self.deviation * (now - self.begun_at)


class FreedCores(NamedTuple):
    """Cores of a worker that are expected to become free.

    Attributes:
        at: When, by the leader's clock, s.
        worker: Name of the worker.
        cores: The cores.
    """

    at: float
    worker: str
    cores: float


class Timeline:
    """The runs on the workers of a leader, with their expected ends."""

    def __init__(self) -> None:
        self._runs: dict[str, dict[Run, TimedRun]] = {}

    def __len__(self) -> int:
        """Return the count of runs."""
        return sum(len(runs) for runs in self._runs.values())

    def note_start(self, worker: str, run: Run, timed: TimedRun) -> None:
        """Note that a run was ordered from a worker."""
        self._runs.setdefault(worker, {})[run] = timed

    def note_adopted(self, worker: str, run: Run, timed: TimedRun) -> None:
        """Note a run that an earlier leader ordered and whose start is unknown.

        Args:
            worker: Name of its worker.
            run: The run.
            timed: Its times; `begun_at` is when it was adopted.
        """
        begun_at = timed.begun_at - _ADOPTED_FRACTION * timed.expected_s
        self.note_start(worker, run, timed._replace(begun_at=begun_at))

    def note_end(self, worker: str, run: Run) -> None:
        """Note that a run no longer holds capacity, if it is known."""
        runs = self._runs.get(worker)
        if runs is not None:
            runs.pop(run, None)

    def forget(self, worker: str) -> None:
        """Forget a worker that this host no longer leads."""
        self._runs.pop(worker, None)

    def upcoming(
        self, now: float, workers: Iterable[str], until: float
    ) -> list[FreedCores]:
        """Return the cores of workers that are expected to become free, by time.

        Args:
            now: The leader's clock, s.
            workers: Names of the workers.
            until: Ends after this time are left out, s.
        """
        found = []
        for name in workers:
            for timed in self._runs.get(name, {}).values():
                at = timed.expected_end(now)
                if at <= until:
                    found.append(FreedCores(at, name, timed.cores))
        found.sort()
        return found
