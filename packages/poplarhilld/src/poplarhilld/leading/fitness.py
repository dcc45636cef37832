"""Health of the workers of a leader: which of them may be given tasks.

Workers that fail tasks, stall or do not answer orders get none for a while.
"""

from dataclasses import dataclass, field

from poplarhilld.leases import Run
from poplarhilld.outliers.ejection import Ejection
from poplarhilld.outliers.failures import (
    EVIDENCE_THRESHOLD,
    MIN_FAILED_JOBS,
    OutlierDetector,
)

SILENCE_TIMEOUT_S = 0.9  # a renewal is answered within 0.4 s; tolerates two lost ones
# From an ejection to the first probe. Faults last some seconds, and a failed probe
# costs a task.
FIRST_PROBE_DELAY_S = 1.0
# A failed probe doubles the delay up to this; a fault rarely lasts longer.
MAX_PROBE_DELAY_S = 8.0
# If more than half fail, the workers are not the cause. Holds only for ejections
# after failed runs; a worker that refuses an order as unhealthy or invalid is ejected
# in any case.
_MAX_EJECTED_FRACTION = 0.5
_SUSPECT_S = 0.3  # a single lost reply is weak evidence; time for three renewals


@dataclass
class _Record:
    """Health of one worker.

    Attributes:
        suspect_until: When it may be given tasks again after an order without a
            reply, by the leader's clock, s.
        ejection: Its ejection, if it is ejected.
        stalled: Runs that take far longer than expected.
    """

    suspect_until: float = 0.0
    ejection: Ejection | None = None
    stalled: set[Run] = field(default_factory=set)

    def is_clear(self, now: float) -> bool:
        """Return whether it says nothing against the worker."""
        return self.ejection is None and not self.stalled and now >= self.suspect_until


class WorkerHealth:
    """Health of the workers of one leader."""

    def __init__(self) -> None:
        self._failures = OutlierDetector()
        self._records: dict[str, _Record] = {}

    @property
    def ejected(self) -> tuple[str, ...]:
        """Names of the ejected workers; they get probes only."""
        return tuple(n for n, r in self._records.items() if r.ejection is not None)

    def may_start(self, now: float, worker: str) -> bool:
        """Return whether a task may be started on a worker now."""
        record = self._records.get(worker)
        if record is None:
            return True
        if now < record.suspect_until or record.stalled:
            return False
        return record.ejection is None or record.ejection.due(now)

    def limits_tasks(self, now: float) -> bool:
        """Return whether any worker is ejected, stalled or suspended now.

        Records of healthy workers are dropped, so that later calls check fewer.
        """
        if not self._records:
            return False
        healthy = [name for name, one in self._records.items() if one.is_clear(now)]
        for name in healthy:
            del self._records[name]
        return bool(self._records)

    def excluded(self, now: float) -> set[str]:
        """Return the names of the workers on which no task may be started now."""
        return {name for name in self._records if not self.may_start(now, name)}

    def note_start(self, worker: str, run: Run) -> None:
        """Note that a run was ordered; on an ejected worker it is the probe."""
        record = self._records.get(worker)
        if record is not None and record.ejection is not None:
            record.ejection.probe = run

    def note_no_reply(self, now: float, worker: str) -> None:
        """Note that an order was not answered; suspend the worker for a moment."""
        self._record(worker).suspect_until = now + _SUSPECT_S

    def note_unhealthy(self, now: float, worker: str) -> bool:
        """Note a refused order; return whether that has ejected the worker."""
        record = self._record(worker)
        if record.ejection is not None:
            record.ejection.probe_failed(now)
            return False
        record.ejection = _new_ejection(now)
        return True

    def note_stall(self, worker: str, run: Run) -> None:
        """Note that a run takes far longer than expected."""
        self._record(worker).stalled.add(run)

    def note_success(self, now: float, worker: str, run: Run) -> bool:
        """Note a run that is done; return whether the worker is restored."""
        self._failures.succeeded(worker)
        record = self._records.get(worker)
        if record is None:
            return False
        record.stalled.discard(run)
        ejection = record.ejection
        if ejection is None or ejection.probe != run:
            return False
        if not ejection.probe_succeeded():
            return False
        record.ejection = None
        self._failures.forget(worker)
        return True

    def note_failure(
        self, now: float, worker: str, run: Run, job: str, worker_count: int
    ) -> bool:
        """Note a run that failed; return whether that has ejected the worker.

        Args:
            now: The leader's clock, s.
            worker: The worker.
            run: The run.
            job: Job of the task.
            worker_count: Count of workers of the leader.
        """
        record = self._record(worker)
        record.stalled.discard(run)
        if record.ejection is not None:
            if record.ejection.probe == run:
                record.ejection.probe_failed(now)
            return False
        self._failures.failed(worker, job)
        evidence = self._failures.evidence(worker)
        enough = (
            evidence.score >= EVIDENCE_THRESHOLD
            and len(evidence.jobs) >= MIN_FAILED_JOBS
        )
        if not enough or len(self.ejected) + 1 > _MAX_EJECTED_FRACTION * worker_count:
            return False
        record.ejection = _new_ejection(now)
        return True

    def note_end(self, now: float, worker: str, run: Run) -> None:
        """Note a run that ended without a result."""
        record = self._records.get(worker)
        if record is None:
            return
        record.stalled.discard(run)
        if record.ejection is not None and record.ejection.probe == run:
            record.ejection.probe_unsent(now)

    def forget(self, worker: str) -> None:
        """Forget a worker that this host no longer leads."""
        self._records.pop(worker, None)
        self._failures.forget(worker)

    def _record(self, worker: str) -> _Record:
        return self._records.setdefault(worker, _Record())


def _new_ejection(now: float) -> Ejection:
    return Ejection(now + FIRST_PROBE_DELAY_S, FIRST_PROBE_DELAY_S, MAX_PROBE_DELAY_S)
