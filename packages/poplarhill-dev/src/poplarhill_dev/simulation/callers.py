"""Simulated callers, which send a job again after a failed attempt."""

from dataclasses import dataclass, field
from typing import NamedTuple

from poplarhill.exceptions import Failure, RunState
from poplarhill_dev.leased import SimulatedJob
from poplarhilld.catalogue import Route
from poplarhilld.submissions import Submission

RESEND_DELAY_S = 1.3
CALLER_TIMEOUT_S = 1.54
MAX_ATTEMPTS = 4
ROUTE = Route("deposit", "one.example", "/r/", "booking", 1.53, 0.06, 1.6, 0, 2)
_HTTP_SERVER_ERRORS_RESENT = (502, 504)


class Attempt(NamedTuple):
    """One request of a caller.

    Attributes:
        process: Name of the process that received it; empty if none did.
        number: Number of the submission there.
    """

    process: str
    number: int


@dataclass
class Caller:
    """A caller of one job.

    Attributes:
        job: The job.
        data_centre: Data centre of the caller.
        attempts: Its requests so far.
        waiting: Whether the last one awaits its answer.
        outcome: Answer that ended the job for the caller; empty before that.
        not_run_at: When the caller was told that nothing had run, s.
    """

    job: SimulatedJob
    data_centre: str
    attempts: list[Attempt] = field(default_factory=list)
    waiting: bool = False
    outcome: str = ""
    not_run_at: float | None = None

    @property
    def submission(self) -> Submission:
        """The job as it is submitted."""
        offer = self.job.offer
        return Submission(offer.job_id, ROUTE, "{}", offer.steps, 1.56)

    def is_resent_after(self, failure: Failure | None) -> bool:
        """Return whether the caller sends the job again after an answer."""
        if failure is None or failure.answer.run_state is RunState.NOT_RUN:
            return False
        return failure.answer.status in _HTTP_SERVER_ERRORS_RESENT
