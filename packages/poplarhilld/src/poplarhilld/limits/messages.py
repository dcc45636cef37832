"""The input of the admission rules, and the decision to refuse a job."""

from typing import NamedTuple

from poplarhill.exceptions import Failure
from poplarhill.types import JobSpec


class Backlog(NamedTuple):
    """The queued work ahead of a new job.

    Attributes:
        tasks_queued: Tasks queued on this host for all services.
        tasks_ahead: Queued tasks of the service that go before those of the job.
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
        """Return the expected time until the last of `tasks` tasks has its result, s.

        The tasks of the job share the slots. To the wait for the first of them are
        added the time in which earlier tasks of the job occupy the slots, and one run
        time for the last task.
        """
        preceding_tasks = max(0, tasks - max(1, self.slots))
        return (
            self.wait_s()
            + preceding_tasks * self.run_time_s / max(1, self.slots)
            + self.run_time_s
        )


class Refused(NamedTuple):
    """The decision to refuse a job, as it is logged.

    Attributes:
        job: Id of the job.
        customer: Customer whose quota the job counts against.
        tasks: Number of tasks of the job.
        kind: Value of the `ErrorKind` of the refusal.
        detail: Reason in one sentence, for a human reader.
        retry_after_s: Time after which the caller may retry, s; None if a retry is
            not suggested.
    """

    job: str
    customer: str
    tasks: int
    kind: str
    detail: str
    retry_after_s: float | None


def refused(spec: JobSpec, failure: Failure) -> Refused:
    """Return the log entry for the refusal of a job."""
    return Refused(
        job=spec.job_id,
        customer=spec.customer,
        tasks=len(spec.tasks),
        kind=failure.kind.value,
        detail=failure.detail,
        retry_after_s=failure.retry_after_s,
    )
