"""Placement of this host's queued tasks on workers."""

from collections.abc import Iterable
from random import Random

from poplarhill.configuration import Configuration
from poplarhill.types import JobSpec, TaskId, WorkerSpec
from poplarhilld.peers.messages import (
    Heartbeat,
    Message,
    SlotGrant,
    SlotRequest,
    SlotReturn,
)
from poplarhilld.placement.lending import DEFAULT_TERMS, Lending, LendingTerms, Loan
from poplarhilld.placement.messages import Candidate, Placed
from poplarhilld.placement.policies import Shares, choose, draw, policy_from_config
from poplarhilld.placement.pool import WorkerPool
from poplarhilld.placement.queue import JobQueue
from poplarhilld.placement.shares import share_of
from poplarhilld.placement.view import FittingView, WorkerView, fits

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
        terms: When slots are asked for and lent.
    """

    def __init__(
        self,
        configuration: Configuration,
        random: Random,
        host: str = "",
        data_centre: str = "",
        hosts: Iterable[str] = (),
        terms: LendingTerms = DEFAULT_TERMS,
    ) -> None:
        self._random = random
        self._host = host
        self._data_centre = data_centre
        self._live: tuple[str, ...] = tuple(hosts)
        self._hosts = frozenset(self._live) | {host}
        self._queue = JobQueue(configuration.defaults.order, configuration.customers)
        self._pools: dict[str, WorkerPool] = {}
        self._service_of: dict[str, str] = {}
        self._ready: set[str] = set()
        self._next_sweep = 0.0
        self._lending = Lending(random, terms)
        self._messages: list[tuple[str, Message]] = []
        self.configure(configuration)

    @property
    def waiting(self) -> int:
        """Count of queued tasks."""
        return self._queue.waiting

    @property
    def outstanding(self) -> int:
        """Count of tasks sent and not ended."""
        return sum(pool.outstanding for pool in self._pools.values())

    @property
    def idle_slots(self) -> int:
        """Slots that this host could lend now, over all services."""
        return sum(
            pool.idle_slots
            for service, pool in self._pools.items()
            if not self._queue.waiting_of(service)
        )

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Take a frame of another host; those of other slices change nothing.

        Args:
            now: The host's own clock, s.
            sender: Name of the peer.
            message: What it says.
        """
        match message:
            case Heartbeat(idle_slots=idle):
                self._lending.observe(sender, idle)
            case SlotRequest():
                self._lend(now, sender, message)
            case SlotGrant():
                loan = self._lending.accept(now, sender, message)
                self._allow_loan(loan, 1)
            case SlotReturn():
                loan = self._lending.give_back(sender, message)
                self._allow_loan(loan, 1)

    def take_messages(self) -> list[tuple[str, Message]]:
        """Take the frames to send, each with its peer."""
        messages, self._messages = self._messages, []
        return messages

    def waiting_of(self, service: str) -> int:
        """Return the count of a service's queued tasks."""
        return self._queue.waiting_of(service)

    def tasks_ahead(self, now: float, spec: JobSpec, enough: int) -> int:
        """Count the queued tasks that would go before a job's.

        Args:
            now: The host's own clock, s.
            spec: A job that is not queued.
            enough: Count from which on an exact one does not matter.
        """
        return self._queue.tasks_before(now, spec, enough)

    def slots(self, service: str) -> int:
        """Return the slots of a service in this host's share."""
        pool = self._pools.get(service)
        return pool.slots if pool is not None else 0

    def share(self, worker: str) -> int:
        """Return the slots of a worker that this host may always use."""
        return self._pool(self._service_of[worker]).share(worker)

    def workers(self, service: str) -> list[WorkerSpec]:
        """Return the workers of a service."""
        pool = self._pools.get(service)
        return list(pool.specs.values()) if pool is not None else []

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration; queued and outstanding tasks stay."""
        self._defaults = configuration.defaults
        self._policy = policy_from_config(configuration.defaults)
        self._queue.configure(configuration.defaults.order, configuration.customers)
        by_service: dict[str, dict[str, WorkerSpec]] = {}
        for worker in configuration.workers.values():
            by_service.setdefault(worker.service, {})[worker.name] = worker
            self._service_of[worker.name] = worker.service
        for service in by_service.keys() | self._pools.keys():
            self._pool(service).configure(by_service.get(service, {}))
        self._allow()

    def set_hosts(self, live: Iterable[str]) -> None:
        """Take the names of the live hosts; shares are dealt anew."""
        if self._live == (live := tuple(live)):
            return
        self._live = live
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

    def release(self, worker: str, task: TaskId) -> None:
        """Note that an outstanding task has ended on its worker."""
        self._queue.end(task)
        service = self._service_of[worker]
        self._pool(service).release(worker)
        self._ready.add(service)

    def note_free_slots(self, now: float, worker: str, free_slots: int | None) -> None:
        """Take the free slots that a worker showed with a response, if it did.

        Args:
            now: The host's own clock, s.
            worker: Name of the worker.
            free_slots: Slots free just after the response; negative when tasks wait.
        """
        if free_slots is None or not isinstance(self._policy, Shares):
            return
        pool = self._pool(self._service_of[worker])
        pool.report(now, worker, free_slots, self._defaults.beyond_share)

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
        self._expire(now)
        placed: list[Placed] = []
        for service in sorted(self._ready):
            self._place_service(now, service, view, placed)
        self._ready.clear()
        return placed

    def place_probe(self, worker: str) -> Placed | None:
        """Place the next task on a worker out of use, if its job is idempotent."""
        service = self._service_of[worker]
        spec = self._queue.first_of(service)
        if spec is None or not spec.idempotent:
            return None
        if not fits(self._pool(service).specs[worker], spec.resources):
            return None
        task = self._queue.take(service)
        self._pool(service).take(worker)
        return Placed(task, worker, (), "probe", self._queue.waiting_of(service))

    def _place_service(
        self, now: float, service: str, view: WorkerView, placed: list[Placed]
    ) -> None:
        pool = self._pool(service)
        pool.expire(now)
        while waiting := self._queue.waiting_of(service):
            fitting = self._fitting(service, view)
            candidates = draw(self._policy, pool, now, fitting, self._random)
            if not candidates:
                candidates = self._stranded(now, pool, fitting)
            if not candidates:
                self._borrow(now, service, waiting)
                return
            chosen = choose(self._policy, candidates)
            if _better_to_wait(chosen, waiting, pool.outstanding):
                return
            task = self._queue.take(service)
            pool.take(chosen.worker)
            placed.append(
                Placed(task, chosen.worker, candidates, self._policy.name, waiting - 1)
            )

    def _fitting(self, service: str, view: WorkerView) -> WorkerView:
        """Return the view of the workers that fit the task that is next."""
        resources = self._queue.first_of(service).resources
        return FittingView(view, resources) if any(resources) else view

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

    def _expire(self, now: float) -> None:
        held, given = self._lending.expire(now)
        for loan in held:
            self._allow_loan(loan, -1)
        for loan in given:
            self._allow_loan(loan, 1)

    def _borrow(self, now: float, service: str, waiting: int) -> None:
        if self._lends(service) and isinstance(self._policy, Shares):
            peers = self._hosts - {self._host}
            self._messages += self._lending.ask(now, service, waiting, peers)

    def _lends(self, service: str) -> bool:
        """Return whether to ask for slots: by default where workers show none."""
        if self._defaults.lending is not None:
            return self._defaults.lending
        return not self._pool(service).shows_free_slots

    def _lend(self, now: float, peer: str, request: SlotRequest) -> None:
        """Lend what is idle, and say nothing when nothing is."""
        pool = self._pools.get(request.service)
        if pool is None or self._queue.waiting_of(request.service):
            return
        count = min(request.wanted, pool.idle_slots - self._lending.terms.reserve)
        slots = pool.idle(count)
        if not slots or peer not in self._hosts:
            return
        left = pool.idle_slots - sum(item.count for item in slots)
        grant = self._lending.lend(now, peer, request, slots, left)
        if grant is not None:
            self._allow_loan(self._lending.lent[-1], -1)
            self._messages.append((peer, grant))

    def _allow_loan(self, loan: Loan | None, sign: int) -> None:
        """Change allowances by the slots of a loan."""
        if loan is None:
            return
        pool = self._pool(loan.service)
        for worker, count in loan.slots:
            if worker in pool.specs:
                pool.add_share(worker, sign * count)
        self._ready.add(loan.service)

    def _pool(self, service: str) -> WorkerPool:
        if service not in self._pools:
            self._pools[service] = WorkerPool(self._data_centre)
        return self._pools[service]

    def _allow(self) -> None:
        """Set how many tasks this host may have outstanding on each worker."""
        for service, pool in self._pools.items():
            allowances = self._allowances(list(pool.specs.values()))
            for worker in pool.specs:
                pool.set_share(worker, allowances.get(worker, 0))
            self._ready.add(service)
        for loan in self._lending.borrowed:
            self._allow_loan(loan, 1)
        for loan in self._lending.lent:
            self._allow_loan(loan, -1)

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
