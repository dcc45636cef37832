"""Admission of jobs on one host.

A quota applies to the whole fleet. Each host grants an equal part of it, but at
least one job of the maximum size if the quota permits one. Hosts therefore need no
agreement on who grants which part.
"""

from collections import Counter

import xxhash

from poplarhill.configuration import Configuration, CustomerSpec
from poplarhill.exceptions import ErrorKind, Failure
from poplarhill.types import MAX_TASKS_PER_JOB, JobSpec
from poplarhilld.limits.messages import Backlog

_DEFAULT_CUSTOMER = CustomerSpec()
_MIN_BASE_DELAY_S = 0.1
_MAX_BASE_DELAY_S = 30.0
_HASH_RANGE = 2.0**32


class Limits:
    """Applies the admission rules, and counts the tasks in flight by customer.

    Args:
        configuration: Quotas and fleet defaults.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._host_count = 1
        self._in_flight: Counter[str] = Counter()

    @property
    def in_flight(self) -> Counter[str]:
        """Count of tasks of unanswered jobs, by customer."""
        return self._in_flight

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration; the counts of tasks in flight are kept."""
        self._configuration = configuration

    def set_host_count(self, host_count: int) -> None:
        """Set the number of live entry hosts among which quotas are divided."""
        self._host_count = max(1, host_count)

    def admit(self, now: float, spec: JobSpec, backlog: Backlog) -> Failure | None:
        """Return why a job is refused, or count it as in flight and return None.

        Args:
            now: The host's own clock, s.
            spec: The job.
            backlog: The queued work ahead of it.
        """
        failure = (
            self._check_quota(spec, backlog)
            or self._check_queue(spec, backlog)
            or self._check_wait(spec, backlog)
            or self._check_deadline(now, spec, backlog)
        )
        if failure is None:
            self._in_flight[spec.customer] += len(spec.tasks)
        return failure

    def release(self, spec: JobSpec) -> None:
        """Record that an admitted job has been answered."""
        self._in_flight[spec.customer] -= len(spec.tasks)
        if not self._in_flight[spec.customer]:
            del self._in_flight[spec.customer]

    def _check_quota(self, spec: JobSpec, backlog: Backlog) -> Failure | None:
        customers = self._configuration.customers
        quota = customers.get(spec.customer, _DEFAULT_CUSTOMER).quota_tasks
        size = len(spec.tasks)
        if size > quota:
            detail = f"{size} tasks are over the customer's quota of {quota}"
            return Failure(ErrorKind.IMPOSSIBLE, detail)
        host_quota = max(quota // self._host_count, min(quota, MAX_TASKS_PER_JOB))
        in_flight = self._in_flight[spec.customer]
        if in_flight + size <= host_quota:
            return None
        detail = f"{in_flight} tasks in flight of {host_quota} allowed on this host"
        return _refuse(ErrorKind.QUOTA_EXCEEDED, detail, spec, backlog.run_time_s)

    def _check_queue(self, spec: JobSpec, backlog: Backlog) -> Failure | None:
        max_queued = self._configuration.defaults.queue_tasks
        if backlog.tasks_queued + len(spec.tasks) <= max_queued:
            return None
        detail = f"{backlog.tasks_queued} tasks queued of {max_queued} allowed"
        return _refuse(ErrorKind.OVERLOADED, detail, spec, backlog.wait_s())

    def _check_wait(self, spec: JobSpec, backlog: Backlog) -> Failure | None:
        max_wait_s = self._configuration.defaults.queue_wait_s
        if max_wait_s is None or backlog.wait_s() <= max_wait_s:
            return None
        excess_s = backlog.wait_s() - max_wait_s
        detail = f"the wait is expected to be {backlog.wait_s():.3f} s"
        return _refuse(ErrorKind.OVERLOADED, detail, spec, excess_s)

    def _check_deadline(
        self, now: float, spec: JobSpec, backlog: Backlog
    ) -> Failure | None:
        response_s = backlog.response_s(len(spec.tasks))
        excess_s = now + response_s - spec.deadline
        if excess_s <= 0 or not backlog.tasks_ahead:
            return None
        detail = f"an answer is expected in {response_s:.3f} s, after the deadline"
        return _refuse(ErrorKind.OVERLOADED, detail, spec, excess_s)


def _refuse(
    kind: ErrorKind, detail: str, spec: JobSpec, base_delay_s: float
) -> Failure:
    """Return a refusal whose retry time is one to two times a base delay.

    The base delay is limited first. A hash of the job id spreads the retry times, so
    that refused jobs do not all return at once.
    """
    spread = 1.0 + xxhash.xxh32_intdigest(spec.job_id.encode()) / _HASH_RANGE
    retry_s = min(max(base_delay_s, _MIN_BASE_DELAY_S), _MAX_BASE_DELAY_S) * spread
    return Failure(kind, detail, round(retry_s, 3))
