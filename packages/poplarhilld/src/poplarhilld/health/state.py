"""Which workers may be used, learned from the answers to this host's tasks."""

from poplarhill.configuration import Configuration
from poplarhill.types import TaskId, WorkerSpec
from poplarhilld.health.messages import (
    Decision,
    WorkerEjected,
    WorkerProbed,
    WorkerRestored,
)
from poplarhilld.health.suspicions import Suspicions
from poplarhilld.health.times import RunTimes
from poplarhilld.outliers.ejection import FIRST_PAUSE_S, LONGEST_PAUSE_S, Ejection
from poplarhilld.outliers.failures import (
    EVIDENCE_THRESHOLD,
    MIN_FAILED_JOBS,
    OutlierDetector,
)
from poplarhilld.peers.messages import Suspicion

_SUSPECTED_FACTOR = 0.5
_SUSPECTED_FEWEST_JOBS = 2
_SHARED_LEVEL = 0.3
_MOST_SHARED = 32
_TRUSTED_S = 60.0


class Health:
    """Run times, failures and ejections, as this host sees them.

    Args:
        configuration: Workers and the part of them that may be ejected.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._times = RunTimes()
        self._failures: dict[str, OutlierDetector] = {}
        self._ejections: dict[str, Ejection] = {}
        self._last_pauses: dict[str, tuple[float, float]] = {}
        self._suspicions = Suspicions()
        self._now = 0.0
        self.configure(configuration)

    @property
    def times(self) -> RunTimes:
        """Run times of services and workers."""
        return self._times

    @property
    def ejected(self) -> tuple[str, ...]:
        """Names of the workers that are out of use."""
        return tuple(self._ejections)

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration; what was learned stays."""
        self._workers = configuration.workers
        self._fraction = configuration.defaults.eject_fraction
        self._sizes: dict[str, int] = {}
        for worker in configuration.workers.values():
            if not worker.draining:
                self._sizes[worker.service] = self._sizes.get(worker.service, 0) + 1
        self._times.keep(frozenset(self._workers))
        for name in self._ejections.keys() - self._workers.keys():
            del self._ejections[name]

    def advance(self, now: float) -> None:
        """Note the time, by which `slowdown` answers."""
        self._now = now

    def resumed(self) -> None:
        """Note that this host had stood still.

        What answers now may have ended long ago: nothing is learned of its time.
        """
        self._times.forget_running()

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""
        return not worker.draining and worker.name not in self._ejections

    def slowdown(self, worker: str) -> float:
        """Return how slow a worker runs against its service; 1 is normal."""
        spec = self._workers.get(worker)
        if spec is None:
            return 1.0
        return self._times.slowdown(self._now, spec.service, worker)

    def due_probes(self, now: float) -> list[WorkerSpec]:
        """Return the ejected workers that one task may try now."""
        return [
            self._workers[name]
            for name, ejection in self._ejections.items()
            if ejection.due(now) and not self._workers[name].draining
        ]

    def probe_sent(self, task: TaskId, worker: str) -> list[Decision]:
        """Note that a task tries an ejected worker."""
        ejection = self._ejections[worker]
        ejection.probe = task
        return [WorkerProbed(worker, task, ejection.successes)]

    def sent(self, now: float, task: TaskId, worker: str) -> None:
        """Note that a task was sent to a worker."""
        self._times.sent(now, task, worker)

    def unsent(self, now: float, task: TaskId, worker: str) -> None:
        """Note that a task did not start on a worker."""
        self._times.ended(task, worker)
        ejection = self._ejections.get(worker)
        if ejection is not None and ejection.probe == task:
            ejection.probe_unsent(now)

    def succeeded(self, now: float, task: TaskId, worker: str) -> list[Decision]:
        """Take the result of a task."""
        sent_at = self._times.ended(task, worker)
        spec = self._workers.get(worker)
        if spec is None:
            return []
        if sent_at is not None:
            self._times.answered(now, spec.service, worker, now - sent_at)
        self._of(spec.service).succeeded(worker)
        ejection = self._ejections.get(worker)
        if ejection is None or ejection.probe != task:
            return []
        if not ejection.probe_succeeded():
            return []
        return self._restore(now, spec, ejection)

    def failed(
        self, now: float, task: TaskId, worker: str, stopped: bool
    ) -> list[Decision]:
        """Take the failure of a task.

        Args:
            now: The host's own clock, s.
            task: The task.
            worker: Where it ran.
            stopped: Whether the worker stopped it because it was asked to.
        """
        self._times.ended(task, worker)
        spec = self._workers.get(worker)
        if spec is None:
            return []
        ejection = self._ejections.get(worker)
        probed = ejection is not None and ejection.probe == task
        if stopped:
            if probed:
                ejection.probe_unsent(now)
            return []
        self._of(spec.service).failed(worker, task.job)
        if probed:
            ejection.probe_failed(now)
        if ejection is not None:
            return []
        return self._judge(now, spec)

    def suspicions_received(
        self, now: float, sender: str, suspicions: tuple[Suspicion, ...]
    ) -> None:
        """Take what a peer suspects; it replaces what it said before."""
        self._suspicions.take(now, sender, suspicions)

    def shared_suspicions(self) -> tuple[Suspicion, ...]:
        """Return what this host suspects by its own evidence, worst first."""
        levels = []
        for failures in self._failures.values():
            for name, evidence in failures.workers():
                level = min(1.0, evidence.score / EVIDENCE_THRESHOLD)
                if name in self._ejections:
                    level = 1.0
                if level >= _SHARED_LEVEL and name in self._workers:
                    levels.append(Suspicion(name, level))
        levels.sort(key=lambda suspicion: suspicion.level, reverse=True)
        return tuple(levels[:_MOST_SHARED])

    def _judge(self, now: float, spec: WorkerSpec) -> list[Decision]:
        failures = self._of(spec.service)
        evidence = failures.evidence(spec.name)
        peers = self._suspicions.of(now, spec.name)
        threshold = EVIDENCE_THRESHOLD * (_SUSPECTED_FACTOR if peers else 1.0)
        fewest = _SUSPECTED_FEWEST_JOBS if peers else MIN_FAILED_JOBS
        if len(evidence.jobs) < fewest or evidence.score < threshold - 1e-9:
            return []
        if not self._may_eject(spec.service):
            return []
        pause_s = self._next_pause(now, spec.name)
        self._ejections[spec.name] = Ejection(now + pause_s, pause_s)
        return [
            WorkerEjected(
                spec.name,
                round(evidence.score, 3),
                round(threshold, 3),
                round(failures.baseline(spec.name), 4),
                len(evidence.jobs),
                peers,
                pause_s,
            )
        ]

    def _may_eject(self, service: str) -> bool:
        """Return whether one more worker may be ejected; one always stays."""
        size = self._sizes.get(service, 0)
        out = sum(self._workers[n].service == service for n in self._ejections)
        if not self._fraction:
            return False
        return out < min(size - 1, max(1, int(self._fraction * size)))

    def _next_pause(self, now: float, worker: str) -> float:
        """Return a longer pause for a worker that was restored lately."""
        restored_at, pause_s = self._last_pauses.get(worker, (now, FIRST_PAUSE_S / 2))
        if now - restored_at > _TRUSTED_S:
            return FIRST_PAUSE_S
        return min(2 * pause_s, LONGEST_PAUSE_S)

    def _restore(
        self, now: float, spec: WorkerSpec, ejection: Ejection
    ) -> list[Decision]:
        del self._ejections[spec.name]
        self._of(spec.service).forget(spec.name)
        self._last_pauses[spec.name] = (now, ejection.pause_s)
        return [WorkerRestored(spec.name, ejection.successes)]

    def _of(self, service: str) -> OutlierDetector:
        return self._failures.setdefault(service, OutlierDetector())
