"""Jobs at the host that took them, and what it does with them."""

from dataclasses import dataclass
from typing import NamedTuple

from poplarhill.exceptions import Failure
from poplarhilld.catalogue import Route
from poplarhilld.decisions import LogDecision
from poplarhilld.peers.messages import JobWithdrawn, OfferedJob, StepSpec


class Submission(NamedTuple):
    """A job as a caller submitted it.

    Attributes:
        job_id: Id that the caller chose.
        route: Its route.
        body: What its tasks are given.
        steps: Its steps.
        patience_s: Longest time that the caller waits, s.
    """

    job_id: str
    route: Route
    body: str
    steps: tuple[StepSpec, ...]
    patience_s: float


class ShardView(NamedTuple):
    """A shard, as this host sees it.

    Attributes:
        leader: Host that leads it.
        epoch: Rises with each change of leader.
        near: Whether it lies in this host's data centre.
        cores: Cores of its workers in use.
        free_cores: Cores that nothing holds.
        queued_core_s: Room that waiting jobs will take, core-seconds.
    """

    leader: str
    epoch: int
    near: bool
    cores: float
    free_cores: float
    queued_core_s: float


@dataclass(frozen=True)
class OfferToLeader:
    """Offer a job to the leader of a shard."""

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


class ShardChosen(NamedTuple):
    """Log line: a job goes to a shard."""

    job: str
    shard: str
    leader: str
    epoch: int
    handovers: int
    reason: str
    free_cores: float
    queued_core_s: float


class JobAnswered(NamedTuple):
    """Log line: a caller gets its answer."""

    job: str
    route: str
    outcome: str
    detail: str
    shard: str
    leader: str
    offers: int
    took_s: float
