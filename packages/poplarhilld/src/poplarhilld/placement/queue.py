"""The queues of jobs with tasks to place, one a service, in serving order."""

from collections.abc import Mapping

from poplarhill.configuration import CustomerSpec
from poplarhill.types import JobSpec, TaskId
from poplarhilld.placement.service_queue import QueuedJob, ServiceQueue


class JobQueue:
    """Jobs with tasks to place, and whose tasks run.

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
        """Count of tasks to place."""
        return sum(queue.waiting for queue in self._services.values())

    @property
    def services(self) -> tuple[str, ...]:
        """Services with tasks to place."""
        return tuple(name for name, q in self._services.items() if q.waiting)

    def waiting_of(self, service: str) -> int:
        """Return the count of a service's tasks to place."""
        queue = self._services.get(service)
        return queue.waiting if queue is not None else 0

    def configure(self, order: str, customers: Mapping[str, CustomerSpec]) -> None:
        """Take another order and other weights."""
        if (order, customers) == (self._order, self._customers):
            return
        self._order, self._customers = order, customers
        for queue in self._services.values():
            queue.configure(order, customers)

    def add(self, now: float, spec: JobSpec) -> None:
        """Put a job in the queue."""
        self._arrivals += 1
        job = QueuedJob(spec, now, self._arrivals)
        self._jobs[spec.job_id] = job
        self._queue(spec.service).put(job)

    def tasks_before(self, now: float, spec: JobSpec, enough: int) -> int:
        """Count the tasks that would go before a job's, up to about `enough`."""
        job = QueuedJob(spec, now, self._arrivals + 1)
        return self._queue(spec.service).tasks_before(job, enough)

    def put_back(self, task: TaskId) -> None:
        """Put a task back that was taken and provably not sent."""
        job = self._jobs.get(task.job)
        if job is not None:
            queue = self._queue(job.spec.service)
            queue.remove(job)
            job.waiting.appendleft(task.index)
            queue.put(job)

    def discard(self, job_id: str) -> None:
        """Drop what is left of a job."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._queue(job.spec.service).remove(job)

    def first_of(self, service: str) -> JobSpec | None:
        """Return the job of a service whose task is next, if there is one."""
        queue = self._queue(service)
        return queue.first() if queue.waiting else None

    def take(self, service: str) -> TaskId:
        """Take the next task of a service that has one; it runs from now."""
        spec, index = self._queue(service).take()
        task = TaskId(spec.job_id, index)
        self._running[task] = spec
        return task

    def end(self, task: TaskId) -> None:
        """Note that a task that was taken no longer runs."""
        spec = self._running.pop(task, None)
        if spec is not None:
            self._queue(spec.service).end(spec.customer)

    def _queue(self, service: str) -> ServiceQueue:
        if service not in self._services:
            self._services[service] = ServiceQueue(self._order, self._customers)
        return self._services[service]
