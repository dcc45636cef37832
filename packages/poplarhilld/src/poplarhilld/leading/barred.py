"""The workers on which no run of a job may start now."""

from poplarhilld.leading.job import LedJob
from poplarhilld.leading.shared import LeaderState
from poplarhilld.leases import LONGEST_LEASE_FACTOR

NONE_BARRED: frozenset[str] = frozenset()


class BarredWorkers:
    """The workers that are closed to a job, in one round of placement.

    A run lives as long as the lease that its worker has already. If its leader is lost,
    it may end no later than callers send the job again, which they count from the loss
    of the entry host: from the last offer, as far as the leader can know.

    Args:
        state: State of the leader.
    """

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        limits = state.limits
        self._stop_time_s = limits.runs_ended_after_s - limits.lifetime_s
        self._longest_lease_s = state.lease_s * LONGEST_LEASE_FACTOR
        self._lease_ends: dict[str, float] | None = None

    def barred_to(self, now: float, job: LedJob) -> frozenset[str]:
        """Return the names of the workers on which no run of a job may start.

        These are the workers that its entry host does not know of, and those whose
        lease outlasts its offer by more than the time to stop a run.

        Args:
            now: The leader's clock, s.
            job: The job.
        """
        barred = self._state.worker_sets.added_since(job.workers_digests)
        ends_by = job.offer_lapses_at + self._stop_time_s
        if ends_by < now + self._longest_lease_s:
            barred |= self._leased_beyond(ends_by)
        return barred

    def note_start(self, worker: str) -> None:
        """Note that an order may have extended the lease of a worker."""
        if self._lease_ends is not None:
            self._lease_ends[worker] = self._state.workers[worker].expires_at

    def _leased_beyond(self, at: float) -> frozenset[str]:
        if self._lease_ends is None:
            self._lease_ends = {
                worker.entry.name: worker.expires_at
                for worker in self._state.usable_workers()
            }
        return frozenset([name for name, end in self._lease_ends.items() if end > at])
