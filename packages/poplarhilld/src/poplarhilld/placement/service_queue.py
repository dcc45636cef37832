"""The queue of one service: weighted fair between customers, by rank among jobs."""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from sortedcontainers import SortedDict, SortedSet

from poplarhill.configuration import CustomerSpec
from poplarhill.types import JobSpec

RANK_DELAY_S_PER_TASK = 0.05
FAIRNESS_STEP_TASKS = 16
_MAX_RANK_DELAY_FRACTION = 0.5
_DEFAULT_CUSTOMER = CustomerSpec()


class _JobRank(NamedTuple):
    """Sort key of a job among the jobs of its customer; lower goes first.

    Attributes:
        sort_time: With `fewest_tasks`, the time of arrival plus the rank delay, s;
            with `first_come`, 0.
        arrival: Sequence number in order of arrival.
    """

    sort_time: float
    arrival: int


class _CustomerRank(NamedTuple):
    """Sort key of a customer; lower goes first.

    Attributes:
        running_steps: Count of running tasks divided by the weight, in whole steps of
            `FAIRNESS_STEP_TASKS`.
        first_job: Rank of the customer's first job.
        customer: Name of the customer.
    """

    running_steps: float
    first_job: _JobRank
    customer: str


class QueuedJob:
    """A queued job and those of its tasks that are not placed yet.

    Args:
        spec: The job as submitted.
        now: When it was queued, s.
        arrival: Sequence number in order of arrival.
    """

    def __init__(self, spec: JobSpec, now: float, arrival: int) -> None:
        self.spec = spec
        self.queued_at = now
        self.arrival = arrival
        self.waiting_indexes = deque(range(len(spec.tasks)))
        self.rank = _JobRank(now, arrival)


class _Customer:
    """The queued jobs of a customer, and its numbers of queued and running tasks."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.running = 0
        self.waiting = 0
        self.jobs: SortedDict = SortedDict()
        self.rank: _CustomerRank | None = None


class ServiceQueue:
    """The queued jobs of one service, in the order in which they are served.

    The customer with the fewest running tasks relative to its weight goes first,
    counted in steps of `FAIRNESS_STEP_TASKS`. Customers within the same step are
    ordered by the rank of their first jobs, so that a large job of one customer
    does not delay small jobs that come after it.

    With `fewest_tasks` a job is ranked by its arrival plus a rank delay. The delay is
    `RANK_DELAY_S_PER_TASK` for each remaining task, but at most half of the time
    from the arrival to the deadline. Small jobs therefore overtake large ones, but a
    waiting large job is overtaken only by jobs that arrive within its rank delay.

    Args:
        order: `first_come` or `fewest_tasks`.
        customers: Weights of the customers, by name.
    """

    def __init__(self, order: str, customers: Mapping[str, CustomerSpec]) -> None:
        self._order = order
        self._specs = customers
        self._customers: dict[str, _Customer] = {}
        self._customer_ranks: SortedSet = SortedSet()
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Count of queued tasks."""
        return self._waiting

    def configure(self, order: str, customers: Mapping[str, CustomerSpec]) -> None:
        """Apply a new order and new weights to the queued jobs."""
        self._order, self._specs = order, customers
        for name, customer in list(self._customers.items()):
            customer.weight = customers.get(name, _DEFAULT_CUSTOMER).weight
            jobs = list(customer.jobs.values())
            customer.jobs.clear()
            for job in jobs:
                self._insert(customer, job)
            self._update_rank(name, customer)

    def put(self, job: QueuedJob) -> None:
        """Add a job."""
        name = job.spec.customer
        customer = self._customer(name)
        self._insert(customer, job)
        self._waiting += len(job.waiting_indexes)
        customer.waiting += len(job.waiting_indexes)
        self._update_rank(name, customer)

    def remove(self, job: QueuedJob) -> None:
        """Remove a job, if it is queued."""
        name = job.spec.customer
        customer = self._customer(name)
        if customer.jobs.pop(job.rank, None) is not None:
            self._waiting -= len(job.waiting_indexes)
            customer.waiting -= len(job.waiting_indexes)
        self._update_rank(name, customer)

    def next_job(self) -> JobSpec:
        """Return the job whose task is next; the queue must not be empty."""
        return (
            self._customers[self._customer_ranks[0].customer].jobs.peekitem(0)[1].spec
        )

    def take_task(self) -> tuple[JobSpec, int]:
        """Remove the next task, count it as running, and return its job and index.

        The queue must not be empty.
        """
        name = self._customer_ranks[0].customer
        customer = self._customers[name]
        _, job = customer.jobs.popitem(0)
        index = job.waiting_indexes.popleft()
        self._waiting -= 1
        customer.waiting -= 1
        if job.waiting_indexes:
            self._insert(customer, job)
        customer.running += 1
        self._update_rank(name, customer)
        return job.spec, index

    def end_task(self, customer_name: str) -> None:
        """Record that a running task of a customer has ended."""
        customer = self._customer(customer_name)
        customer.running -= 1
        self._update_rank(customer_name, customer)

    def tasks_before(self, job: QueuedJob, limit: int) -> int:
        """Estimate the queued tasks that go before those of a job not queued yet.

        These are the tasks of the same customer that rank before the job, and tasks
        of the other customers. For each of the former, and for the job's first task,
        every other customer is taken to start tasks in the ratio of its weight to
        that of the job's customer, at most those that it has queued.

        Args:
            job: The job.
            limit: Counting may stop once this number is reached.
        """
        own = self._customers.get(job.spec.customer)
        weight = self._specs.get(job.spec.customer, _DEFAULT_CUSTOMER).weight
        own_tasks = _tasks_before(own.jobs, self._job_rank(job), limit) if own else 0
        others = (other for other in self._customers.values() if other is not own)
        return own_tasks + sum(
            min(other.waiting, round((own_tasks + 1) * other.weight / weight))
            for other in others
        )

    def _customer(self, name: str) -> _Customer:
        if name not in self._customers:
            weight = self._specs.get(name, _DEFAULT_CUSTOMER).weight
            self._customers[name] = _Customer(weight)
        return self._customers[name]

    def _insert(self, customer: _Customer, job: QueuedJob) -> None:
        job.rank = self._job_rank(job)
        customer.jobs[job.rank] = job

    def _update_rank(self, name: str, customer: _Customer) -> None:
        """Update a customer's rank; remove a customer with no jobs or running tasks."""
        if customer.rank is not None:
            self._customer_ranks.remove(customer.rank)
            customer.rank = None
        if customer.jobs:
            running_steps = customer.running // (customer.weight * FAIRNESS_STEP_TASKS)
            customer.rank = _CustomerRank(running_steps, customer.jobs.keys()[0], name)
            self._customer_ranks.add(customer.rank)
        elif not customer.running:
            del self._customers[name]

    def _job_rank(self, job: QueuedJob) -> _JobRank:
        if self._order == "first_come":
            return _JobRank(0.0, job.arrival)
        slack_s = max(0.0, job.spec.deadline - job.queued_at)
        rank_delay_s = RANK_DELAY_S_PER_TASK * len(job.waiting_indexes)
        sort_time = job.queued_at + min(
            rank_delay_s, _MAX_RANK_DELAY_FRACTION * slack_s
        )
        return _JobRank(sort_time, job.arrival)


def _tasks_before(jobs: SortedDict, rank: _JobRank, limit: int) -> int:
    """Count the tasks of jobs up to a rank; stop once `limit` is reached."""
    count = 0
    for each in jobs.irange(maximum=rank):
        count += len(jobs[each].waiting_indexes)
        if count >= limit:
            break
    return count
