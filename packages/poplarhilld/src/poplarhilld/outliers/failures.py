"""Tells a bad worker from a bad job by a cumulative sum test.

Each answer adds the logarithm of how much likelier it is from a bad worker than
from one that fails as often as the others of its service do. The sum never falls
below zero. A job that fails on several workers is taken to be bad itself: what
it added is taken back.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

EVIDENCE_THRESHOLD = math.log(1000)
"""Evidence, nats, from which a worker is taken to be bad."""

MIN_FAILED_JOBS = 3
"""Fewest jobs that must have failed on a worker, whatever the evidence."""

_BAD_RATIO = 0.5
_LOWEST_RATIO = 0.01
_HIGHEST_RATIO = 0.95
_PRIOR_FAILURES = 0.5
_PRIOR_ANSWERS = 25.0
_MEMORY_ANSWERS = 200.0
_REMEMBERED_JOBS = 4096


@dataclass
class _Tally:
    """Answers of one worker or service, older ones weighing less."""

    failures: float = 0.0
    answers: float = 0.0


@dataclass
class Evidence:
    """Evidence against one worker.

    Attributes:
        score: Cumulative sum, nats.
        jobs: What each job that failed there has added.
        tally: Its answers.
    """

    score: float = 0.0
    jobs: dict[str, float] = field(default_factory=dict)
    tally: _Tally = field(default_factory=_Tally)


class OutlierDetector:
    """Evidence against the workers of one service."""

    def __init__(self) -> None:
        self._workers: dict[str, Evidence] = {}
        self._total = _Tally()
        self._failed_on: OrderedDict[str, set[str]] = OrderedDict()

    def workers(self) -> list[tuple[str, Evidence]]:
        """Return the evidence against each worker."""
        return list(self._workers.items())

    def evidence(self, worker: str) -> Evidence:
        """Return the evidence against a worker."""
        return self._workers.setdefault(worker, Evidence())

    def baseline(self, worker: str) -> float:
        """Return the failure ratio of the other workers."""
        own = self.evidence(worker).tally
        failures = self._total.failures - own.failures + _PRIOR_FAILURES
        answers = self._total.answers - own.answers + _PRIOR_ANSWERS
        return min(max(failures / answers, _LOWEST_RATIO), _HIGHEST_RATIO)

    def succeeded(self, worker: str) -> None:
        """Take a success."""
        evidence = self.evidence(worker)
        baseline = self.baseline(worker)
        bad = _bad_ratio(baseline)
        self._count(evidence, failures=0.0)
        evidence.score += math.log((1 - bad) / (1 - baseline))
        if evidence.score <= 0:
            evidence.score = 0.0
            evidence.jobs.clear()

    def failed(self, worker: str, job: str) -> None:
        """Take a failure; a job counts once against a worker."""
        workers = self._failed_on.setdefault(job, set())
        if len(self._failed_on) > _REMEMBERED_JOBS:
            self._failed_on.popitem(last=False)
        if worker in workers:
            return
        workers.add(worker)
        if len(workers) > 1:
            self._take_back(job, workers)
            return
        evidence = self.evidence(worker)
        baseline = self.baseline(worker)
        added = min(
            math.log(_bad_ratio(baseline) / baseline),
            EVIDENCE_THRESHOLD / MIN_FAILED_JOBS,
        )
        self._count(evidence, failures=1.0)
        evidence.score += added
        evidence.jobs[job] = added

    def forget(self, worker: str) -> None:
        """Drop the evidence against a worker."""
        evidence = self._workers.pop(worker, None)
        if evidence is not None:
            self._total.failures -= evidence.tally.failures
            self._total.answers -= evidence.tally.answers

    def _take_back(self, job: str, workers: set[str]) -> None:
        for worker in workers:
            evidence = self.evidence(worker)
            added = evidence.jobs.pop(job, None)
            if added is not None:
                evidence.score = max(0.0, evidence.score - added)
                self._add(evidence.tally, -1.0, -1.0)

    def _count(self, evidence: Evidence, failures: float) -> None:
        keep = 1 - 1 / _MEMORY_ANSWERS
        own = evidence.tally
        self._add(own, own.failures * (keep - 1), own.answers * (keep - 1))
        self._add(own, failures, 1.0)

    def _add(self, own: _Tally, failures: float, answers: float) -> None:
        failures = max(failures, -own.failures)
        answers = max(answers, -own.answers)
        own.failures += failures
        own.answers += answers
        self._total.failures += failures
        self._total.answers += answers


def _bad_ratio(baseline: float) -> float:
    """Return the failure ratio from which a worker is bad."""
    return max(_BAD_RATIO, (1 + baseline) / 2)
