"""Places on workers that are kept for a job until enough cores are free.

Reservations are worked out anew in each round of placement from the runs under way.
One whose worker is lost, has shrunk or is draining, or whose job has started, is late
or gone, is therefore not renewed. Only the time since the first reservation of each job
is kept, which bounds how long cores are left idle for it.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from poplarhilld.lookahead.timeline import FreedCores

# Callers expect the answer to a task of 0.2 s within 0.38 s. Cores that wait longer
# than half of that would serve another job meanwhile.
HORIZON_S = 0.2
# Ends that come later than expected extend a reservation up to this time in total.
MAX_RESERVED_S = 0.4
MAX_JOBS = 2  # that have reservations at the same time
MAX_PLACES = 16  # of one job; two data centres of a usual leader
_TOLERANCE = 1e-6  # rounding error of sums of cores, which are given in thousandths
_MAX_REMEMBERED = 64  # jobs whose first reservation is remembered


class ReservedPlace(NamedTuple):
    """A place on a worker that is kept for a task.

    Attributes:
        at: When it is expected to be free, by the leader's clock, s.
        spare_cores: Cores of the worker that are then left for other tasks.
    """

    at: float
    spare_cores: float

    def admits(self, cores: float, end: float) -> bool:
        """Return whether another task does not delay the task that it is kept for.

        Args:
            cores: Cores of the other task.
            end: When that one ends with a high probability, s.
        """
        return cores <= self.spare_cores + _TOLERANCE or end <= self.at


def find_places(
    cores: float,
    count: int,
    until: float,
    free_cores: Callable[[str], float | None],
    upcoming: Iterable[FreedCores],
    reserved: Mapping[str, ReservedPlace],
) -> dict[str, ReservedPlace]:
    """Return the places that become large enough first, by worker.

    Args:
        cores: Cores of each task.
        count: Most places.
        until: Places that are free later are left out, s.
        free_cores: Returns the free cores of a worker now; `None` if it can't run the
            tasks.
        upcoming: Cores that become free, by time.
        reserved: Places that other jobs have reserved; those workers are left out.
    """
    found: dict[str, ReservedPlace] = {}
    left: dict[str, float] = {}
    for at, worker, freed in upcoming:
        if at > until or len(found) >= count:
            break
        if worker in reserved or worker in found:
            continue
        before = left.get(worker)
        if before is None:
            before = free_cores(worker)
            if before is None or before + _TOLERANCE >= cores:
                continue  # it can't run the tasks, or one fits but may not use it
        left[worker] = after = before + freed
        if after + _TOLERANCE >= cores:
            found[worker] = ReservedPlace(at, after - cores)
    return found


class ReservationTimes:
    """When each job first had a reservation."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """Count of the jobs that have had a reservation."""
        return self._count

    def is_known(self, job_id: str) -> bool:
        """Return whether a job has had a reservation before."""
        return job_id in self._since

    def may_reserve(self, now: float, job_id: str) -> bool:
        """Return whether a job has not had reservations for too long."""
        return now - self._since.get(job_id, now) <= MAX_RESERVED_S

    def note(self, now: float, job_id: str) -> None:
        """Note that a job has a reservation now."""
        if job_id in self._since:
            return
        self._since[job_id] = now
        self._count += 1
        if len(self._since) > _MAX_REMEMBERED:
            del self._since[next(iter(self._since))]
