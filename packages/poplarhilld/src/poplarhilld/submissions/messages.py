"""Jobs at the host that took them, and what it does with them."""

from dataclasses import dataclass
from typing import NamedTuple

from poplarhill.exceptions import Failure
from poplarhilld.catalogue import Route
from poplarhilld.decisions import LogDecision
from poplarhilld.peers.messages import JobWithdrawn, Load, OfferedJob, StepSpec


class Submission(NamedTuple):
    """A job as a caller submitted it.

    Attributes:
        job_id: Id that the caller chose.
        route: Its route.
        body: What its tasks are given.
        steps: Its steps.
        timeout_s: Longest time that the caller waits, s.
    """

    job_id: str
    route: Route
    body: str
    steps: tuple[StepSpec, ...]
    timeout_s: float


class LeaderView(NamedTuple):
    """A leader, as this host sees it.

    Attributes:
        tenure: Epoch since which it leads; an earlier one knew other jobs.
        near: Whether it leads workers of this host's data centre.
        load: How busy it is.
    """

    tenure: int
    same_data_centre: bool
    load: Load


@dataclass(frozen=True)
class OfferToLeader:
    """Offer a job to a leader."""

    host: str
    offered: OfferedJob


@dataclass(frozen=True)
class WithdrawFromLeader:
    """Take a job back from a leader."""

    host: str
    withdrawn: JobWithdrawn


@dataclass(frozen=True)
class AnswerCaller:
    """Give a caller its one answer; no failure means that the job is complete."""

    number: int
    failure: Failure | None


SubmissionAction = OfferToLeader | WithdrawFromLeader | AnswerCaller | LogDecision


class LeaderChosen(NamedTuple):
    """Log line: a job goes to a leader."""

    job: str
    leader: str
    tenure: int
    handovers: int
    reason: str
    needs_cores: float
    free_cores: float
    queued_core_s: float


class JobAnswered(NamedTuple):
    """Log line: a caller gets its answer."""

    job: str
    route: str
    outcome: str
    detail: str
    leader: str
    offers: int
    took_s: float


class JobAbandoned(NamedTuple):
    """Log line: the process ends before a caller has its answer."""

    job: str
    route: str
    leader: str
    offers: int
    age_s: float
    left_s: float
