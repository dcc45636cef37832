"""The placement of one host: its task queues, worker pools and slot loans."""

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
from poplarhilld.placement.policies import (
    Shares,
    choose_candidate,
    draw_candidates,
    policy_from_config,
)
from poplarhilld.placement.pool import WorkerPool
from poplarhilld.placement.queue import JobQueue
from poplarhilld.placement.shares import slot_shares
from poplarhilld.placement.view import FittingView, WorkerView, fits

_SWEEP_INTERVAL_S = 0.1
_SLOWDOWN_THRESHOLD = 2.0


class Placement:
    """Places the queued tasks of one host on workers.

    Args:
        configuration: Workers and fleet defaults.
        random: Source of random choices.
        host: Name of this host.
        data_centre: Data centre of this host.
        hosts: Names of the live hosts that are known.
        terms: Rules for borrowing and lending slots.
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
        self._service_by_worker: dict[str, str] = {}
        self._changed_services: set[str] = set()
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
        """Count of tasks that were sent and have not ended."""
        return sum(pool.outstanding for pool in self._pools.values())

    @property
    def idle_slots(self) -> int:
        """Slots of the share that are not in use, over services without queued tasks.

        Of each service, the last `LendingTerms.reserve` idle slots are not lent.
        """
        return sum(
            pool.idle_slots
            for service, pool in self._pools.items()
            if not self._queue.waiting_tasks(service)
        )

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Process a frame from another host.

        Messages that do not concern placement are ignored.

        Args:
            now: The host's own clock, s.
            sender: Name of the peer.
            message: The message.
        """
        match message:
            case Heartbeat(idle_slots=idle):
                self._lending.note_idle_slots(sender, idle)
            case SlotRequest():
                self._lend(now, sender, message)
            case SlotGrant():
                loan = self._lending.accept_grant(now, sender, message)
                self._apply_loan(loan, 1)
            case SlotReturn():
                loan = self._lending.accept_return(sender, message)
                self._apply_loan(loan, 1)

    def take_messages(self) -> list[tuple[str, Message]]:
        """Return the frames to send, each with its peer, and clear the list."""
        messages, self._messages = self._messages, []
        return messages

    def waiting_tasks(self, service: str) -> int:
        """Return the count of a service's queued tasks."""
        return self._queue.waiting_tasks(service)

    def tasks_ahead(self, now: float, spec: JobSpec, limit: int) -> int:
        """Estimate the queued tasks that would be placed before those of a job.

        Args:
            now: The host's own clock, s.
            spec: A job that is not queued.
            limit: Counting may stop once this number is reached.
        """
        return self._queue.tasks_before(now, spec, limit)

    def slots(self, service: str) -> int:
        """Return how many slots of a service are in this host's share."""
        pool = self._pools.get(service)
        return pool.slots if pool is not None else 0

    def share(self, worker: str) -> int:
        """Return this host's share of a worker's slots, loans included."""
        return self._pool(self._service_by_worker[worker]).share(worker)

    def workers(self, service: str) -> list[WorkerSpec]:
        """Return the workers of a service."""
        pool = self._pools.get(service)
        return list(pool.specs.values()) if pool is not None else []

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration; queued and outstanding tasks are kept."""
        self._defaults = configuration.defaults
        self._policy = policy_from_config(configuration.defaults)
        self._queue.configure(configuration.defaults.order, configuration.customers)
        by_service: dict[str, dict[str, WorkerSpec]] = {}
        for worker in configuration.workers.values():
            by_service.setdefault(worker.service, {})[worker.name] = worker
            self._service_by_worker[worker.name] = worker.service
        for service in by_service.keys() | self._pools.keys():
            self._pool(service).configure(by_service.get(service, {}))
        self._update_shares()

    def set_hosts(self, live: Iterable[str]) -> None:
        """Set the names of the live hosts and recompute the shares."""
        if self._live == (live := tuple(live)):
            return
        self._live = live
        hosts = frozenset(live) | {self._host}
        if hosts != self._hosts:
            self._hosts = hosts
            self._update_shares()

    def enqueue(self, now: float, spec: JobSpec) -> None:
        """Queue every task of a job."""
        self._queue.add(now, spec)
        self._changed_services.add(spec.service)

    def discard(self, job_id: str) -> None:
        """Remove the queued tasks of a job."""
        self._queue.discard(job_id)

    def release(self, worker: str, task: TaskId) -> None:
        """Record that an outstanding task has ended on its worker."""
        self._queue.end_task(task)
        service = self._service_by_worker[worker]
        self._pool(service).release(worker)
        self._changed_services.add(service)

    def note_free_slots(self, now: float, worker: str, free_slots: int | None) -> None:
        """Record the free slots that a worker reported in a response.

        Args:
            now: The host's own clock, s.
            worker: Name of the worker.
            free_slots: Slots free right after the response. It is negative when
                tasks wait on the worker, and None if the worker reported nothing.
        """
        if free_slots is None or not isinstance(self._policy, Shares):
            return
        pool = self._pool(self._service_by_worker[worker])
        pool.report(now, worker, free_slots, self._defaults.beyond_share)

    def put_back(self, task: TaskId) -> None:
        """Requeue a task that was provably not sent."""
        self._queue.put_back(task)

    def place(self, now: float, view: WorkerView) -> list[Placed]:
        """Place every task that has a candidate now.

        Only services with a change since the last call are examined. A periodic
        sweep over all services catches changes that come with time alone.

        Args:
            now: The host's own clock, s.
            view: What this host knows about the workers.
        """
        if now >= self._next_sweep:
            self._next_sweep = now + _SWEEP_INTERVAL_S
            self._changed_services.update(self._queue.services)
        self._expire_loans(now)
        placed: list[Placed] = []
        for service in sorted(self._changed_services):
            self._place_service(now, service, view, placed)
        self._changed_services.clear()
        return placed

    def place_probe(self, worker: str) -> Placed | None:
        """Place the next task on an ejected worker, if its job is idempotent."""
        service = self._service_by_worker[worker]
        spec = self._queue.next_job(service)
        if spec is None or not spec.idempotent:
            return None
        if not fits(self._pool(service).specs[worker], spec.resources):
            return None
        task = self._queue.take_task(service)
        self._pool(service).acquire(worker)
        return Placed(task, worker, (), "probe", self._queue.waiting_tasks(service))

    def _place_service(
        self, now: float, service: str, view: WorkerView, placed: list[Placed]
    ) -> None:
        pool = self._pool(service)
        pool.expire(now)
        while waiting := self._queue.waiting_tasks(service):
            fitting_view = self._fitting_view(service, view)
            candidates = draw_candidates(
                self._policy, pool, now, fitting_view, self._random
            )
            if not candidates:
                candidates = self._fallback_candidates(now, pool, fitting_view)
            if not candidates:
                self._request_slots(now, service, waiting)
                return
            chosen = choose_candidate(self._policy, candidates)
            if _better_to_wait(chosen, waiting, pool.outstanding):
                return
            task = self._queue.take_task(service)
            pool.acquire(chosen.worker)
            placed.append(
                Placed(task, chosen.worker, candidates, self._policy.name, waiting - 1)
            )

    def _fitting_view(self, service: str, view: WorkerView) -> WorkerView:
        """Return a view that admits only workers large enough for the next task."""
        resources = self._queue.next_job(service).resources
        return FittingView(view, resources) if any(resources) else view

    def _fallback_candidates(
        self, now: float, pool: WorkerPool, view: WorkerView
    ) -> tuple[Candidate, ...]:
        """Return a usable worker outside the share, if the host is otherwise stuck.

        A host with no outstanding task of the service may send one task beyond its
        share. Otherwise its tasks could wait forever when there are fewer slots
        than hosts, or when every worker in its share is down.
        """
        if pool.outstanding or not isinstance(self._policy, Shares):
            return ()
        names = [n for n, spec in pool.specs.items() if view.may_use(now, spec)]
        if not names:
            return ()
        return (pool.candidate(self._random.choice(names), view),)

    def _expire_loans(self, now: float) -> None:
        borrowed, lent = self._lending.expire(now)
        for loan in borrowed:
            self._apply_loan(loan, -1)
        for loan in lent:
            self._apply_loan(loan, 1)

    def _request_slots(self, now: float, service: str, waiting: int) -> None:
        if self._may_borrow(service) and isinstance(self._policy, Shares):
            peers = self._hosts - {self._host}
            self._messages += self._lending.request_slots(now, service, waiting, peers)

    def _may_borrow(self, service: str) -> bool:
        """Return whether this host may borrow slots for a service.

        The setting `lending` decides. By default, a host borrows only where the
        workers do not report their free slots.
        """
        if self._defaults.lending is not None:
            return self._defaults.lending
        return not self._pool(service).reports_free_slots

    def _lend(self, now: float, peer: str, request: SlotRequest) -> None:
        """Grant idle slots to a peer; send no reply if there are none."""
        pool = self._pools.get(request.service)
        if pool is None or self._queue.waiting_tasks(request.service):
            return
        count = min(request.wanted, pool.idle_slots - self._lending.terms.reserve)
        slots = pool.idle_share(count)
        if not slots or peer not in self._hosts:
            return
        left = pool.idle_slots - sum(item.count for item in slots)
        grant = self._lending.lend(now, peer, request, slots, left)
        if grant is not None:
            self._apply_loan(self._lending.lent[-1], -1)
            self._messages.append((peer, grant))

    def _apply_loan(self, loan: Loan | None, sign: int) -> None:
        """Add the slots of a loan to the shares, or subtract them if sign is -1."""
        if loan is None:
            return
        pool = self._pool(loan.service)
        for worker, count in loan.slots:
            if worker in pool.specs:
                pool.add_share(worker, sign * count)
        self._changed_services.add(loan.service)

    def _pool(self, service: str) -> WorkerPool:
        if service not in self._pools:
            self._pools[service] = WorkerPool(self._data_centre)
        return self._pools[service]

    def _update_shares(self) -> None:
        """Recompute this host's share of each worker, loans included."""
        for service, pool in self._pools.items():
            shares = self._base_shares(list(pool.specs.values()))
            for worker in pool.specs:
                pool.set_share(worker, shares.get(worker, 0))
            self._changed_services.add(service)
        for loan in self._lending.borrowed:
            self._apply_loan(loan, 1)
        for loan in self._lending.lent:
            self._apply_loan(loan, -1)

    def _base_shares(self, workers: list[WorkerSpec]) -> dict[str, int]:
        """Return this host's share of each worker before loans.

        With any policy other than `shares`, it is the worker cap.
        """
        if isinstance(self._policy, Shares):
            active = [worker for worker in workers if not worker.draining]
            return slot_shares(self._host, self._hosts, active)
        cap = self._defaults.worker_cap
        return {worker.name: cap for worker in workers}


def _better_to_wait(chosen: Candidate, waiting: int, outstanding: int) -> bool:
    """Return whether waiting for a slot is faster than using a slow worker.

    This host's `outstanding` tasks each end within about one run time, so the last
    queued task waits `waiting / outstanding` run times. A slow worker takes
    `slowdown - 1` run times more than a normal one.
    """
    if chosen.slowdown < _SLOWDOWN_THRESHOLD or not outstanding:
        return False
    return waiting / outstanding < chosen.slowdown - 1.0
