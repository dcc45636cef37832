"""Which workers a leader gives work: failing, stalled and silent ones wait."""

from dataclasses import dataclass, field

from poplarhilld.leases import Run
from poplarhilld.outliers.ejection import Ejection
from poplarhilld.outliers.failures import (
    EVIDENCE_THRESHOLD,
    MIN_FAILED_JOBS,
    OutlierDetector,
)

SILENT_S = 0.9  # a renewal answers within 0.4 s; two may be lost before this
FIRST_PAUSE_S = 1.0  # a probe costs one task; trouble lasts some seconds
LONGEST_PAUSE_S = 8.0  # eight times the first pause
_LARGEST_PART = 0.5  # beyond half of the workers it is not the workers
_SUSPECT_S = 0.3  # a lost answer says little; three renewals say more


@dataclass
class _Record:
    suspect_until: float = 0.0
    ejection: Ejection | None = None
    stalled: set[Run] = field(default_factory=set)


class Fitness:
    """What a leader has learned of its workers' health."""

    def __init__(self) -> None:
        self._failures = OutlierDetector()
        self._records: dict[str, _Record] = {}

    @property
    def ejected(self) -> tuple[str, ...]:
        """Names of the workers that get probes only."""
        return tuple(n for n, r in self._records.items() if r.ejection is not None)

    def may_start(self, now: float, worker: str) -> bool:
        """Return whether a task may be started on a worker now."""
        record = self._records.get(worker)
        if record is None:
            return True
        if now < record.suspect_until or record.stalled:
            return False
        return record.ejection is None or record.ejection.due(now)

    def started(self, worker: str, run: Run) -> None:
        """Note a start; on an ejected worker it is the probe."""
        record = self._records.get(worker)
        if record is not None and record.ejection is not None:
            record.ejection.probe = run

    def suspect(self, now: float, worker: str) -> None:
        """Note that an order was not answered."""
        self._record(worker).suspect_until = now + _SUSPECT_S

    def unhealthy(self, now: float, worker: str) -> bool:
        """Note that a worker turned work away; return whether it is new."""
        record = self._record(worker)
        if record.ejection is not None:
            record.ejection.probe_failed(now)
            return False
        record.ejection = Ejection(now + FIRST_PAUSE_S, FIRST_PAUSE_S)
        return True

    def stalled(self, worker: str, run: Run) -> None:
        """Note that a run takes far longer than it should."""
        self._record(worker).stalled.add(run)

    def succeeded(self, now: float, worker: str, run: Run) -> bool:
        """Note a task that was done; return whether the worker is back."""
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

    def failed(self, now: float, worker: str, run: Run, job: str, of: int) -> bool:
        """Note a task that failed; return whether the worker is ejected now.

        Args:
            now: The leader's clock, s.
            worker: The worker.
            run: The run.
            job: Job of the task.
            of: Count of workers of the service.
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
        if not enough or len(self.ejected) + 1 > _LARGEST_PART * of:
            return False
        record.ejection = Ejection(now + FIRST_PAUSE_S, FIRST_PAUSE_S)
        return True

    def ended(self, now: float, worker: str, run: Run) -> None:
        """Note a run that ended without an outcome."""
        record = self._records.get(worker)
        if record is None:
            return
        record.stalled.discard(run)
        if record.ejection is not None and record.ejection.probe == run:
            record.ejection.probe_unsent(now)

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone or was born again."""
        self._records.pop(worker, None)
        self._failures.forget(worker)

    def _record(self, worker: str) -> _Record:
        return self._records.setdefault(worker, _Record())
