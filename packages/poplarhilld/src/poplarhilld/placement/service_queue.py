"""The queue of one service: fair between customers, few tasks first in each."""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from sortedcontainers import SortedDict, SortedSet

from poplarhill.configuration import CustomerSpec
from poplarhill.types import JobSpec

AGING_S_PER_TASK = 0.05
FAIR_STEP_TASKS = 16
_SLACK_FRACTION = 0.5
_DEFAULT_CUSTOMER = CustomerSpec()


class _Rank(NamedTuple):
    """Position of a job among its customer's; lower goes first."""

    start_by: float
    arrival: int


class _Turn(NamedTuple):
    """Position of a customer; lower goes first."""

    level: float
    rank: _Rank
    customer: str


class QueuedJob:
    """A queued job and the tasks of it that are not placed.

    Args:
        spec: The job as submitted.
        now: When it was queued, s.
        arrival: Count of the jobs queued before it.
    """

    def __init__(self, spec: JobSpec, now: float, arrival: int) -> None:
        self.spec = spec
        self.queued_at = now
        self.arrival = arrival
        self.waiting = deque(range(len(spec.tasks)))
        self.rank = _Rank(now, arrival)


class _Customer:
    """A customer's queued jobs, and its counts of queued and running tasks."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.running = 0
        self.waiting = 0
        self.jobs: SortedDict = SortedDict()
        self.turn: _Turn | None = None


class ServiceQueue:
    """Jobs of one service.

    The customer with the fewest running tasks for its weight goes first, counted
    in steps of `FAIR_STEP_TASKS`. Between customers in one step jobs go by rank, so
    that a job of a customer does not hold its next small ones.

    With `fewest_tasks` a job is ranked by a time to start by: its arrival plus an
    allowance for each of its remaining tasks, and never later than half way to its
    deadline. Small jobs so pass large ones, but a large job that waits is passed
    only by jobs that come within its allowance.

    Args:
        order: `first_come` or `fewest_tasks`.
        customers: Weights of the customers, by name.
    """

    def __init__(self, order: str, customers: Mapping[str, CustomerSpec]) -> None:
        self._order = order
        self._specs = customers
        self._customers: dict[str, _Customer] = {}
        self._turns: SortedSet = SortedSet()
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Count of tasks to place."""
        return self._waiting

    def configure(self, order: str, customers: Mapping[str, CustomerSpec]) -> None:
        """Take another order and other weights for the jobs queued."""
        self._order, self._specs = order, customers
        for name, customer in list(self._customers.items()):
            customer.weight = customers.get(name, _DEFAULT_CUSTOMER).weight
            jobs = list(customer.jobs.values())
            customer.jobs.clear()
            for job in jobs:
                self._insert(customer, job)
            self._refresh(name, customer)

    def put(self, job: QueuedJob) -> None:
        """Put a job in."""
        name = job.spec.customer
        customer = self._customer(name)
        self._insert(customer, job)
        self._waiting += len(job.waiting)
        customer.waiting += len(job.waiting)
        self._refresh(name, customer)

    def remove(self, job: QueuedJob) -> None:
        """Take a job out, if it is in."""
        name = job.spec.customer
        customer = self._customer(name)
        if customer.jobs.pop(job.rank, None) is not None:
            self._waiting -= len(job.waiting)
            customer.waiting -= len(job.waiting)
        self._refresh(name, customer)

    def first(self) -> JobSpec:
        """Return the job whose task is next; there is one."""
        return self._customers[self._turns[0].customer].jobs.peekitem(0)[1].spec

    def take(self) -> tuple[JobSpec, int]:
        """Take the next task, which runs from now; there is one."""
        name = self._turns[0].customer
        customer = self._customers[name]
        _, job = customer.jobs.popitem(0)
        index = job.waiting.popleft()
        self._waiting -= 1
        customer.waiting -= 1
        if job.waiting:
            self._insert(customer, job)
        customer.running += 1
        self._refresh(name, customer)
        return job.spec, index

    def end(self, name: str) -> None:
        """Note that a running task of a customer has ended."""
        customer = self._customer(name)
        customer.running -= 1
        self._refresh(name, customer)

    def tasks_before(self, job: QueuedJob, enough: int) -> int:
        """Estimate the queued tasks that go before those of a job not queued.

        Those are the customer's own that rank before it and, while they and the
        job's first are served, as many of each other customer as its weight is
        to this one's.

        Args:
            job: The job.
            enough: Count from which on an exact one does not matter.
        """
        own = self._customers.get(job.spec.customer)
        weight = self._specs.get(job.spec.customer, _DEFAULT_CUSTOMER).weight
        mine = _tasks_before(own.jobs, self._rank(job), enough) if own else 0
        others = (other for other in self._customers.values() if other is not own)
        return mine + sum(
            min(other.waiting, round((mine + 1) * other.weight / weight))
            for other in others
        )

    def _customer(self, name: str) -> _Customer:
        if name not in self._customers:
            weight = self._specs.get(name, _DEFAULT_CUSTOMER).weight
            self._customers[name] = _Customer(weight)
        return self._customers[name]

    def _insert(self, customer: _Customer, job: QueuedJob) -> None:
        job.rank = self._rank(job)
        customer.jobs[job.rank] = job

    def _refresh(self, name: str, customer: _Customer) -> None:
        """Give a customer its new turn, or forget one that has nothing here."""
        if customer.turn is not None:
            self._turns.remove(customer.turn)
            customer.turn = None
        if customer.jobs:
            level = customer.running // (customer.weight * FAIR_STEP_TASKS)
            customer.turn = _Turn(level, customer.jobs.keys()[0], name)
            self._turns.add(customer.turn)
        elif not customer.running:
            del self._customers[name]

    def _rank(self, job: QueuedJob) -> _Rank:
        if self._order == "first_come":
            return _Rank(0.0, job.arrival)
        slack_s = max(0.0, job.spec.deadline - job.queued_at)
        aging_s = AGING_S_PER_TASK * len(job.waiting)
        start_by = job.queued_at + min(aging_s, _SLACK_FRACTION * slack_s)
        return _Rank(start_by, job.arrival)


def _tasks_before(jobs: SortedDict, rank: _Rank, enough: int) -> int:
    """Count the tasks of jobs up to a rank, and stop when there are enough."""
    count = 0
    for each in jobs.irange(maximum=rank):
        count += len(jobs[each].waiting)
        if count >= enough:
            break
    return count
