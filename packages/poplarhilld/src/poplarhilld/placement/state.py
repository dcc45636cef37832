"""Placement of this host's queued tasks on workers, by its own view."""

from random import Random

from poplarhill.configuration import Configuration
from poplarhill.types import JobSpec, TaskId, WorkerSpec
from poplarhilld.placement.messages import Placed
from poplarhilld.placement.policies import Candidate, choose, policy_from_config
from poplarhilld.placement.queue import JobQueue
from poplarhilld.placement.view import WorkerView


class Placement:
    """Queue, outstanding tasks and policy of one host.

    Args:
        configuration: Workers and fleet defaults.
        random: Source of random choices.
    """

    def __init__(self, configuration: Configuration, random: Random) -> None:
        self._random = random
        self._queue = JobQueue(configuration.defaults.order)
        self._outstanding: dict[str, int] = {}
        self.configure(configuration)

    @property
    def waiting(self) -> int:
        """Count of queued tasks."""
        return self._queue.waiting

    @property
    def outstanding(self) -> dict[str, int]:
        """Count of tasks sent and not ended, by worker."""
        return dict(self._outstanding)

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration; queued and outstanding tasks stay."""
        self._defaults = configuration.defaults
        self._policy = policy_from_config(configuration.defaults)
        self._by_service: dict[str, list[WorkerSpec]] = {}
        for worker in configuration.workers.values():
            self._by_service.setdefault(worker.service, []).append(worker)

    def workers(self, service: str) -> list[WorkerSpec]:
        """Return the workers of a service."""
        return self._by_service.get(service, [])

    def enqueue(self, spec: JobSpec) -> None:
        """Queue every task of a job."""
        self._queue.add(spec)

    def discard(self, job_id: str) -> None:
        """Drop the queued tasks of a job."""
        self._queue.discard(job_id)

    def release(self, worker: str) -> None:
        """Note that an outstanding task has ended."""
        self._outstanding[worker] = self._outstanding.get(worker, 1) - 1

    def put_back(self, task: TaskId) -> None:
        """Queue a task again that was provably not sent."""
        self._queue.put_back(task)

    def place(self, now: float, view: WorkerView) -> list[Placed]:
        """Place every task that has a candidate now.

        Args:
            now: The host's own clock, s.
            view: What is known of the workers.
        """
        placed: list[Placed] = []
        blocked: set[str] = set()
        while (spec := self._queue.next_job(blocked)) is not None:
            candidates = self._candidates(now, spec, view)
            if not candidates:
                blocked.add(spec.service)
                continue
            chosen = choose(self._policy, candidates, self._random)
            task = self._queue.take(spec.job_id)
            self._outstanding[chosen.worker] = chosen.outstanding + 1
            weighed = tuple((c.worker, c.outstanding) for c in candidates)
            placed.append(Placed(task, chosen.worker, weighed, self._policy.name))
        return placed

    def _candidates(
        self, now: float, spec: JobSpec, view: WorkerView
    ) -> list[Candidate]:
        cap = self._defaults.worker_cap
        candidates = []
        for worker in self.workers(spec.service):
            outstanding = self._outstanding.get(worker.name, 0)
            if outstanding < cap and view.may_use(now, worker):
                candidates.append(Candidate(worker.name, outstanding))
        return candidates
