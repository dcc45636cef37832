"""The queued jobs of a host: one queue per service."""

from collections.abc import Mapping

from poplarhill.configuration import CustomerSpec
from poplarhill.types import JobSpec, TaskId
from poplarhilld.placement.service_queue import QueuedJob, ServiceQueue


class JobQueue:
    """Queues the jobs of all services, and counts running tasks by customer.

    Args:
        order: `first_come` or `fewest_tasks`.
        customers: Weights of the customers, by name.
    """

    def __init__(self, order: str, customers: Mapping[str, CustomerSpec]) -> None:
        self._order = order
        self._customers = customers
        self._jobs: dict[str, QueuedJob] = {}
        self._services: dict[str, ServiceQueue] = {}
        self._running: dict[TaskId, JobSpec] = {}
        self._arrivals = 0

    @property
    def waiting(self) -> int:
        """Count of queued tasks of all services."""
        return sum(queue.waiting for queue in self._services.values())

    @property
    def services(self) -> tuple[str, ...]:
        """Services with queued tasks."""
        return tuple(name for name, q in self._services.items() if q.waiting)

    def waiting_tasks(self, service: str) -> int:
        """Return the count of a service's queued tasks."""
        queue = self._services.get(service)
        return queue.waiting if queue is not None else 0

    def configure(self, order: str, customers: Mapping[str, CustomerSpec]) -> None:
        """Apply a new order and new weights."""
        if (order, customers) == (self._order, self._customers):
            return
        self._order, self._customers = order, customers
        for queue in self._services.values():
            queue.configure(order, customers)

    def add(self, now: float, spec: JobSpec) -> None:
        """Queue every task of a job."""
        self._arrivals += 1
        job = QueuedJob(spec, now, self._arrivals)
        self._jobs[spec.job_id] = job
        self._queue(spec.service).put(job)

    def tasks_before(self, now: float, spec: JobSpec, limit: int) -> int:
        """Estimate the tasks that would go before those of a job.

        Counting may stop once `limit` is reached.
        """
        job = QueuedJob(spec, now, self._arrivals + 1)
        return self._queue(spec.service).tasks_before(job, limit)

    def put_back(self, task: TaskId) -> None:
        """Requeue a task that was taken and provably not sent."""
        job = self._jobs.get(task.job)
        if job is not None:
            queue = self._queue(job.spec.service)
            queue.remove(job)
            job.waiting_indexes.appendleft(task.index)
            queue.put(job)

    def discard(self, job_id: str) -> None:
        """Remove the queued tasks of a job."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._queue(job.spec.service).remove(job)

    def next_job(self, service: str) -> JobSpec | None:
        """Return the job of a service whose task is next, or None if none is queued."""
        queue = self._queue(service)
        return queue.next_job() if queue.waiting else None

    def take_task(self, service: str) -> TaskId:
        """Remove the next task of a service and count it as running.

        The service must have a queued task.
        """
        spec, index = self._queue(service).take_task()
        task = TaskId(spec.job_id, index)
        self._running[task] = spec
        return task

    def end_task(self, task: TaskId) -> None:
        """Record that a task that was taken has ended."""
        spec = self._running.pop(task, None)
        if spec is not None:
            self._queue(spec.service).end_task(spec.customer)

    def _queue(self, service: str) -> ServiceQueue:
        if service not in self._services:
            self._services[service] = ServiceQueue(self._order, self._customers)
        return self._services[service]
