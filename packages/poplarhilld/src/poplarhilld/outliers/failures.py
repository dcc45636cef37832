"""Distinguishes failing workers from failing jobs by a cumulative sum (CUSUM) test.

Each outcome of a task adds a log-likelihood ratio to the score of its worker: how much
more likely the outcome is on a bad worker than on one that fails as often as the other
workers of its service. The score never falls below zero. A job that fails on
several workers is considered bad itself, and its contributions are removed.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

EVIDENCE_THRESHOLD = math.log(1000)
"""Score, in nats, from which a worker is considered bad."""

MIN_FAILED_JOBS = 3
"""Minimum number of jobs that must have failed on a bad worker, whatever its score."""

_MIN_BAD_RATIO = 0.5
_MIN_BASELINE = 0.01
_MAX_BASELINE = 0.95
_PRIOR_FAILURES = 0.5
_PRIOR_OUTCOMES = 25.0
_DECAY_OUTCOMES = 200.0
# Part of the earlier counts that each outcome adds; negative, as they decay.
_DECAY = (1 - 1 / _DECAY_OUTCOMES) - 1
_MAX_REMEMBERED_JOBS = 4096


@dataclass
class _Tally:
    """Decayed counts of the task outcomes of one worker or service."""

    failures: float = 0.0
    outcomes: float = 0.0


@dataclass
class Evidence:
    """Evidence that one worker is bad.

    Attributes:
        score: Cumulative sum of the log-likelihood ratios, nats.
        jobs: Contribution to the score of each job that failed on the worker.
        tally: Counts of the outcomes of the worker's tasks.
    """

    score: float = 0.0
    jobs: dict[str, float] = field(default_factory=dict)
    tally: _Tally = field(default_factory=_Tally)


class OutlierDetector:
    """Collects the evidence on the workers of one service."""

    def __init__(self) -> None:
        self._workers: dict[str, Evidence] = {}
        self._total = _Tally()
        self._failed_on: OrderedDict[str, set[str]] = OrderedDict()

    def workers(self) -> list[tuple[str, Evidence]]:
        """Return the evidence on each worker."""
        return list(self._workers.items())

    def evidence(self, worker: str) -> Evidence:
        """Return the evidence on a worker."""
        found = self._workers.get(worker)
        if found is None:
            found = self._workers[worker] = Evidence()
        return found

    def baseline(self, worker: str) -> float:
        """Return the failure ratio of the other workers of the service, bounded."""
        return self._baseline(self.evidence(worker))

    def _baseline(self, evidence: Evidence) -> float:
        own = evidence.tally
        failures = self._total.failures - own.failures + _PRIOR_FAILURES
        outcomes = self._total.outcomes - own.outcomes + _PRIOR_OUTCOMES
        return min(max(failures / outcomes, _MIN_BASELINE), _MAX_BASELINE)

    def succeeded(self, worker: str) -> None:
        """Record a success of a worker."""
        evidence = self.evidence(worker)
        if not evidence.score:
            # A success only lowers the score, which is at its lowest.
            self._count(evidence, failures=0.0)
            if evidence.jobs:
                evidence.jobs.clear()
            return
        baseline = self._baseline(evidence)
        bad = _bad_ratio(baseline)
        self._count(evidence, failures=0.0)
        evidence.score += math.log((1 - bad) / (1 - baseline))
        if evidence.score <= 0:
            evidence.score = 0.0
            evidence.jobs.clear()

    def failed(self, worker: str, job: str) -> None:
        """Record a failure of a job on a worker.

        A job counts at most once against a worker. When it fails on a second worker,
        the job is considered bad, and its contributions are removed.
        """
        workers = self._failed_on.setdefault(job, set())
        if len(self._failed_on) > _MAX_REMEMBERED_JOBS:
            self._failed_on.popitem(last=False)
        if worker in workers:
            return
        workers.add(worker)
        if len(workers) > 1:
            self._retract(job, workers)
            return
        evidence = self.evidence(worker)
        baseline = self._baseline(evidence)
        added = min(
            math.log(_bad_ratio(baseline) / baseline),
            EVIDENCE_THRESHOLD / MIN_FAILED_JOBS,
        )
        self._count(evidence, failures=1.0)
        evidence.score += added
        evidence.jobs[job] = added

    def forget(self, worker: str) -> None:
        """Discard the evidence on a worker."""
        evidence = self._workers.pop(worker, None)
        if evidence is not None:
            self._total.failures -= evidence.tally.failures
            self._total.outcomes -= evidence.tally.outcomes

    def _retract(self, job: str, workers: set[str]) -> None:
        for worker in workers:
            evidence = self.evidence(worker)
            added = evidence.jobs.pop(job, None)
            if added is not None:
                evidence.score = max(0.0, evidence.score - added)
                self._add(evidence.tally, -1.0, -1.0)

    def _count(self, evidence: Evidence, failures: float) -> None:
        own, total = evidence.tally, self._total
        decayed_failures = own.failures * _DECAY
        decayed_outcomes = own.outcomes * _DECAY
        own.failures += decayed_failures
        own.outcomes += decayed_outcomes
        own.failures += failures
        own.outcomes += 1.0
        total.failures += decayed_failures
        total.outcomes += decayed_outcomes
        total.failures += failures
        total.outcomes += 1.0

    def _add(self, own: _Tally, failures: float, outcomes: float) -> None:
        if failures < -own.failures:
            failures = -own.failures
        if outcomes < -own.outcomes:
            outcomes = -own.outcomes
        own.failures += failures
        own.outcomes += outcomes
        self._total.failures += failures
        self._total.outcomes += outcomes


def _bad_ratio(baseline: float) -> float:
    """Return the failure ratio that is assumed of a bad worker."""
    return max(_MIN_BAD_RATIO, (1 + baseline) / 2)
