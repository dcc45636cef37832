"""Placement of this host's queued tasks on workers."""

from collections.abc import Iterable
from random import Random

from poplarhill.configuration import Configuration
from poplarhill.types import JobSpec, TaskId, WorkerSpec
from poplarhilld.placement.messages import Candidate, Placed
from poplarhilld.placement.policies import Shares, choose, draw, policy_from_config
from poplarhilld.placement.pool import WorkerPool
from poplarhilld.placement.queue import JobQueue
from poplarhilld.placement.shares import share_of
from poplarhilld.placement.view import WorkerView

_SWEEP_INTERVAL_S = 0.1
_SLOWDOWN_LIMIT = 2.0


class Placement:
    """Queues, outstanding tasks and policy of one host.

    Args:
        configuration: Workers and fleet defaults.
        random: Source of random choices.
        host: Name of this host.
        data_centre: Data centre that it stands in.
        hosts: Live hosts, as far as known.
    """

    def __init__(
        self,
        configuration: Configuration,
        random: Random,
        host: str = "",
        data_centre: str = "",
        hosts: Iterable[str] = (),
    ) -> None:
        self._random = random
        self._host = host
        self._data_centre = data_centre
        self._hosts = frozenset(hosts) | {host}
        self._queue = JobQueue(configuration.defaults.order)
        self._pools: dict[str, WorkerPool] = {}
        self._service_of: dict[str, str] = {}
        self._ready: set[str] = set()
        self._next_sweep = 0.0
        self.configure(configuration)

    @property
    def waiting(self) -> int:
        """Count of queued tasks."""
        return self._queue.waiting

    @property
    def outstanding(self) -> int:
        """Count of tasks sent and not ended."""
        return sum(pool.outstanding for pool in self._pools.values())

    def waiting_of(self, service: str) -> int:
        """Return the count of a service's queued tasks."""
        return self._queue.waiting_of(service)

    def slots(self, service: str) -> int:
        """Return the tasks that may be outstanding for a service."""
        pool = self._pools.get(service)
        return pool.free + pool.outstanding if pool is not None else 0

    def workers(self, service: str) -> list[WorkerSpec]:
        """Return the workers of a service."""
        pool = self._pools.get(service)
        return list(pool.specs.values()) if pool is not None else []

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration; queued and outstanding tasks stay."""
        self._defaults = configuration.defaults
        self._policy = policy_from_config(configuration.defaults)
        self._queue.reorder(configuration.defaults.order)
        by_service: dict[str, dict[str, WorkerSpec]] = {}
        for worker in configuration.workers.values():
            by_service.setdefault(worker.service, {})[worker.name] = worker
            self._service_of[worker.name] = worker.service
        for service in by_service.keys() | self._pools.keys():
            self._pool(service).configure(by_service.get(service, {}))
        self._allow()

    def set_hosts(self, live: Iterable[str]) -> None:
        """Take the names of the live hosts; shares are dealt anew."""
        hosts = frozenset(live) | {self._host}
        if hosts != self._hosts:
            self._hosts = hosts
            self._allow()

    def enqueue(self, now: float, spec: JobSpec) -> None:
        """Queue every task of a job."""
        self._queue.add(now, spec)
        self._ready.add(spec.service)

    def discard(self, job_id: str) -> None:
        """Drop the queued tasks of a job."""
        self._queue.discard(job_id)

    def release(self, worker: str) -> None:
        """Note that an outstanding task has ended."""
        service = self._service_of[worker]
        self._pool(service).release(worker)
        self._ready.add(service)

    def put_back(self, task: TaskId) -> None:
        """Queue a task again that was provably not sent."""
        self._queue.put_back(task)

    def place(self, now: float, view: WorkerView) -> list[Placed]:
        """Place every task that has a candidate now.

        Only services that something changed for are looked at; what changes
        with time alone is seen by a sweep over all of them.

        Args:
            now: The host's own clock, s.
            view: What is known of the workers.
        """
        if now >= self._next_sweep:
            self._next_sweep = now + _SWEEP_INTERVAL_S
            self._ready.update(self._queue.services)
        placed: list[Placed] = []
        for service in sorted(self._ready):
            self._place_service(now, service, view, placed)
        self._ready.clear()
        return placed

    def _place_service(
        self, now: float, service: str, view: WorkerView, placed: list[Placed]
    ) -> None:
        pool = self._pool(service)
        while waiting := self._queue.waiting_of(service):
            candidates = draw(self._policy, pool, now, view, self._random)
            if not candidates:
                candidates = self._stranded(now, pool, view)
            if not candidates:
                return
            chosen = choose(self._policy, candidates)
            if _better_to_wait(chosen, waiting, pool.outstanding):
                return
            task = self._queue.take(service)
            pool.take(chosen.worker)
            placed.append(
                Placed(task, chosen.worker, candidates, self._policy.name, waiting - 1)
            )

    def _stranded(
        self, now: float, pool: WorkerPool, view: WorkerView
    ) -> tuple[Candidate, ...]:
        """Return a usable worker for a host that can use no slot of its own.

        A host with nothing outstanding may send one task beyond its share, so
        that none waits for ever where slots are fewer than hosts, or where
        every worker that it has a share of is down.
        """
        if pool.outstanding or not isinstance(self._policy, Shares):
            return ()
        names = [n for n, spec in pool.specs.items() if view.may_use(now, spec)]
        if not names:
            return ()
        return (pool.candidate(self._random.choice(names), view),)

    def _pool(self, service: str) -> WorkerPool:
        if service not in self._pools:
            self._pools[service] = WorkerPool(self._data_centre)
        return self._pools[service]

    def _allow(self) -> None:
        """Set how many tasks this host may have outstanding on each worker."""
        for service, pool in self._pools.items():
            allowances = self._allowances(list(pool.specs.values()))
            for worker in pool.specs:
                pool.set_allowance(worker, allowances.get(worker, 0))
            self._ready.add(service)

    def _allowances(self, workers: list[WorkerSpec]) -> dict[str, int]:
        if isinstance(self._policy, Shares):
            dealt = [worker for worker in workers if not worker.draining]
            return share_of(self._host, self._hosts, dealt)
        cap = self._defaults.worker_cap
        return {worker.name: cap for worker in workers}


def _better_to_wait(chosen: Candidate, waiting: int, outstanding: int) -> bool:
    """Return whether a slow worker would take longer than the queue does.

    A slot of this host frees `outstanding` times a run time, so the last task
    waits `waiting / outstanding` run times; a slow worker adds its slowdown.
    """
    if chosen.slowdown < _SLOWDOWN_LIMIT or not outstanding:
        return False
    return waiting / outstanding < chosen.slowdown - 1.0
