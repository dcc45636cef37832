"""Limits of a document that contradict each other or those of the product."""

from collections.abc import Iterator

from poplarhill.configuration.check.findings import Finding, warning
from poplarhill.configuration.check.source import excerpt
from poplarhill.configuration.document import Configuration
from poplarhill.types import MAX_TASKS_PER_JOB

LONGEST_TIMEOUT_S = 3600.0  # hosts refuse a request with a longer one
_LARGEST = f"set it to at least {MAX_TASKS_PER_JOB}, the size of the largest job"


def limit_warnings(configuration: Configuration) -> Iterator[Finding]:
    """Yield a warning for each limit that contradicts another one."""
    defaults = configuration.defaults
    for name, customer in configuration.customers.items():
        quota = customer.quota_tasks
        if quota < MAX_TASKS_PER_JOB:
            message = (
                f"jobs of {name!r} with more than {quota} tasks are always refused,"
                f" as they exceed quota_tasks; {_LARGEST}"
            )
            yield warning(("customers", name, "quota_tasks"), message)
    bound = defaults.queue_tasks
    if bound < MAX_TASKS_PER_JOB:
        message = (
            f"jobs with more than {bound} tasks are always refused, as they exceed"
            f" queue_tasks; {_LARGEST}"
        )
        yield warning(("defaults", "queue_tasks"), message)
    if defaults.queue_wait_s is not None:
        yield from _wait_warnings(defaults.queue_wait_s, defaults.key_window_s)


def _wait_warnings(wait_s: float, key_window_s: float) -> Iterator[Finding]:
    path = ("defaults", "queue_wait_s")
    waiting = f"jobs may wait {excerpt(wait_s)} s, but"
    if wait_s > LONGEST_TIMEOUT_S:
        message = (
            f"{waiting} no caller waits longer than {LONGEST_TIMEOUT_S:g} s;"
            " set queue_wait_s to less"
        )
        yield warning(path, message)
    elif wait_s > key_window_s:
        message = (
            f"{waiting} idempotency keys are forgotten after {excerpt(key_window_s)} s,"
            " before such a job ends; set queue_wait_s to at most key_window_s"
        )
        yield warning(path, message)
