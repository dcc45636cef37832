"""Decides which workers may be used, from the outcomes of this host's tasks."""

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

_SUSPECTED_THRESHOLD_FACTOR = 0.5
_SUSPECTED_MIN_FAILED_JOBS = 2
_MIN_SHARED_LEVEL = 0.3
_MAX_SHARED_SUSPICIONS = 32
_REPEATED_EJECTION_S = 60.0


class Health:
    """Run times, failures and ejections of the workers, as observed by this host.

    Args:
        configuration: The workers, and the fraction of them that may be ejected.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._times = RunTimes()
        self._detectors: dict[str, OutlierDetector] = {}
        self._ejections: dict[str, Ejection] = {}
        self._last_pauses: dict[str, tuple[float, float]] = {}
        self._suspicions = Suspicions()
        self._now = 0.0
        self.configure(configuration)

    @property
    def times(self) -> RunTimes:
        """Run times of the services and workers."""
        return self._times

    @property
    def ejected(self) -> tuple[str, ...]:
        """Names of the ejected workers."""
        return tuple(self._ejections)

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration; what was observed of its workers is kept."""
        self._workers = configuration.workers
        self._eject_fraction = configuration.defaults.eject_fraction
        self._service_sizes: dict[str, int] = {}
        for worker in configuration.workers.values():
            if not worker.draining:
                self._service_sizes[worker.service] = (
                    self._service_sizes.get(worker.service, 0) + 1
                )
        self._times.retain(frozenset(self._workers))
        for name in self._ejections.keys() - self._workers.keys():
            del self._ejections[name]

    def set_now(self, now: float) -> None:
        """Set the current time, which `slowdown` uses."""
        self._now = now

    def resumed(self) -> None:
        """Record that this host's process was paused and runs again.

        A response that is read now may have been sent long ago, so the run times of
        the tasks in flight are not recorded.
        """
        self._times.forget_running()

    def may_use(self, now: float, worker: WorkerSpec) -> bool:
        """Return whether new tasks may go to a worker."""
        return not worker.draining and worker.name not in self._ejections

    def slowdown(self, worker: str) -> float:
        """Return a worker's run time relative to its service; 1 is normal."""
        spec = self._workers.get(worker)
        if spec is None:
            return 1.0
        return self._times.slowdown(self._now, spec.service, worker)

    def due_probes(self, now: float) -> list[WorkerSpec]:
        """Return the ejected workers that are due for a probe."""
        return [
            self._workers[name]
            for name, ejection in self._ejections.items()
            if ejection.due(now) and not self._workers[name].draining
        ]

    def probe_sent(self, task: TaskId, worker: str) -> list[Decision]:
        """Record that a task was sent to an ejected worker as a probe."""
        ejection = self._ejections[worker]
        ejection.probe = task
        return [WorkerProbed(worker, task, ejection.successes)]

    def sent(self, now: float, task: TaskId, worker: str) -> None:
        """Record that a task was sent to a worker."""
        self._times.sent(now, task, worker)

    def unsent(self, now: float, task: TaskId, worker: str) -> None:
        """Record that a task did not start on a worker."""
        self._times.ended(task, worker)
        ejection = self._ejections.get(worker)
        if ejection is not None and ejection.probe == task:
            ejection.probe_unsent(now)

    def succeeded(self, now: float, task: TaskId, worker: str) -> list[Decision]:
        """Record the success of a task."""
        sent_at = self._times.ended(task, worker)
        spec = self._workers.get(worker)
        if spec is None:
            return []
        if sent_at is not None:
            self._times.record_success(now, spec.service, worker, now - sent_at)
        self._detector(spec.service).succeeded(worker)
        ejection = self._ejections.get(worker)
        if ejection is None or ejection.probe != task:
            return []
        if not ejection.probe_succeeded():
            return []
        return self._restore(now, spec, ejection)

    def failed(
        self, now: float, task: TaskId, worker: str, stopped: bool
    ) -> list[Decision]:
        """Record the failure of a task.

        Args:
            now: The host's own clock, s.
            task: The task.
            worker: The worker that it was sent to.
            stopped: Whether the worker stopped it at this host's request; that does
                not count against the worker.
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
        self._detector(spec.service).failed(worker, task.job)
        if probed:
            ejection.probe_failed(now)
        if ejection is not None:
            return []
        return self._eject_if_failing(now, spec)

    def suspicions_received(
        self, now: float, sender: str, suspicions: tuple[Suspicion, ...]
    ) -> None:
        """Replace the suspicions of a peer by those of its last heartbeat."""
        self._suspicions.update(now, sender, suspicions)

    def shared_suspicions(self) -> tuple[Suspicion, ...]:
        """Return the suspicions from this host's own evidence, strongest first."""
        levels = []
        for detector in self._detectors.values():
            for name, evidence in detector.workers():
                level = min(1.0, evidence.score / EVIDENCE_THRESHOLD)
                if name in self._ejections:
                    level = 1.0
                if level >= _MIN_SHARED_LEVEL and name in self._workers:
                    levels.append(Suspicion(name, level))
        levels.sort(key=lambda suspicion: suspicion.level, reverse=True)
        return tuple(levels[:_MAX_SHARED_SUSPICIONS])

    def _eject_if_failing(self, now: float, spec: WorkerSpec) -> list[Decision]:
        detector = self._detector(spec.service)
        evidence = detector.evidence(spec.name)
        peers = self._suspicions.suspecting_peers(now, spec.name)
        threshold = EVIDENCE_THRESHOLD * (_SUSPECTED_THRESHOLD_FACTOR if peers else 1.0)
        min_failed_jobs = _SUSPECTED_MIN_FAILED_JOBS if peers else MIN_FAILED_JOBS
        if len(evidence.jobs) < min_failed_jobs or evidence.score < threshold - 1e-9:
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
                round(detector.baseline(spec.name), 4),
                len(evidence.jobs),
                peers,
                pause_s,
            )
        ]

    def _may_eject(self, service: str) -> bool:
        """Return whether one more worker of a service may be ejected.

        At least one worker of each service stays in use.
        """
        size = self._service_sizes.get(service, 0)
        ejected_count = sum(
            self._workers[n].service == service for n in self._ejections
        )
        if not self._eject_fraction:
            return False
        return ejected_count < min(size - 1, max(1, int(self._eject_fraction * size)))

    def _next_pause(self, now: float, worker: str) -> float:
        """Return the pause of an ejection.

        It is twice the last one if the worker was restored only recently.
        """
        restored_at, pause_s = self._last_pauses.get(worker, (now, FIRST_PAUSE_S / 2))
        if now - restored_at > _REPEATED_EJECTION_S:
            return FIRST_PAUSE_S
        return min(2 * pause_s, LONGEST_PAUSE_S)

    def _restore(
        self, now: float, spec: WorkerSpec, ejection: Ejection
    ) -> list[Decision]:
        del self._ejections[spec.name]
        self._detector(spec.service).forget(spec.name)
        self._last_pauses[spec.name] = (now, ejection.pause_s)
        return [WorkerRestored(spec.name, ejection.successes)]

    def _detector(self, service: str) -> OutlierDetector:
        return self._detectors.setdefault(service, OutlierDetector())
