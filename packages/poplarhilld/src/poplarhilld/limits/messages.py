"""What admission weighs and decides."""

from typing import NamedTuple

from poplarhill.exceptions import Failure
from poplarhill.types import JobSpec


class Backlog(NamedTuple):
    """What stands before a job in the queue of its service.

    Attributes:
        tasks_queued: Tasks queued on this host, for every service.
        tasks_ahead: Queued tasks of the service that go before the job's.
        slots: Slots that this host may use for the service.
        run_time_s: Expected run time of a task of the service, s.
    """

    tasks_queued: int
    tasks_ahead: int
    slots: int
    run_time_s: float

    def wait_s(self) -> float:
        """Return the expected wait until the job's first task starts, s."""
        return self.tasks_ahead * self.run_time_s / max(1, self.slots)

    def response_s(self, tasks: int) -> float:
        """Return the expected time until the last of `tasks` has its result, s.

        The job's own tasks share the slots: one run time for the last of them,
        and the time that the others keep the slots busy before.
        """
        before = max(0, tasks - max(1, self.slots))
        return (
            self.wait_s()
            + before * self.run_time_s / max(1, self.slots)
            + self.run_time_s
        )


class Refused(NamedTuple):
    """Decision to refuse a job, for the log.

    Attributes:
        job: Id of the job.
        customer: Customer that it counts against.
        tasks: Its size.
        kind: Why, one of the closed list of kinds.
        detail: Why, in a sentence.
        retry_after_s: When to come back, s.
    """

    job: str
    customer: str
    tasks: int
    kind: str
    detail: str
    retry_after_s: float | None


def refused(spec: JobSpec, failure: Failure) -> Refused:
    """Return the decision to refuse a job."""
    return Refused(
        job=spec.job_id,
        customer=spec.customer,
        tasks=len(spec.tasks),
        kind=failure.kind.value,
        detail=failure.detail,
        retry_after_s=failure.retry_after_s,
    )
