"""Submitted jobs, and the actions and log lines of the host that accepted them."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import NamedTuple

from poplarhill.exceptions import Failure
from poplarhilld.catalogue import Route
from poplarhilld.decisions import LogDecision
from poplarhilld.peers.messages import JobWithdrawn, Load, OfferedJob, StepSpec

ANSWER_MARGIN_S = 0.03  # lets the answer arrive before the caller gives up


class Submission(NamedTuple):
    """A job as a caller submitted it.

    Attributes:
        job_id: Id that the caller chose.
        route: Route of the request.
        body: Input of its tasks.
        steps: Its steps, in order.
        caller_timeout_s: Longest time that the caller waits for the answer, s;
            infinite if the request does not say.
    """

    job_id: str
    route: Route
    body: str
    steps: tuple[StepSpec, ...]
    caller_timeout_s: float = math.inf

    @property
    def limited_by_caller(self) -> bool:
        """Whether the caller, rather than the route, sets the time limit."""
        return self.caller_timeout_s < math.inf

    @property
    def limit_s(self) -> float:
        """Time after its arrival at which the job is given up, s."""
        if self.limited_by_caller:
            return self.caller_timeout_s - ANSWER_MARGIN_S
        return self.route.timeout_s


class LeaderView(NamedTuple):
    """What this host knows about a leader.

    Attributes:
        tenure: Epoch since which it has led without a break. If this changes, the
            leader has lost the jobs that it had.
        same_data_centre: Whether it leads workers in this host's data centre.
        load: Load that it reported last.
        evacuated: Whether all its workers are in evacuated data centres.
        racks: Cores of its workers by rack; empty where the settings give no slowdown.
        workers_digests: Digests of its workers; none if they are not known.
        clock_ahead_s: By how much this host's clock is ahead of the leader's at most,
            s; `None` if it is not known.
    """

    tenure: int
    same_data_centre: bool
    load: Load
    evacuated: bool = False
    racks: Mapping[str, float] = MappingProxyType({})
    workers_digests: tuple[int, ...] = ()
    clock_ahead_s: float | None = None


@dataclass(frozen=True)
class OfferToLeader:
    """Offer a job to a leader."""

    host: str
    offered: OfferedJob


@dataclass(frozen=True)
class WithdrawFromLeader:
    """Withdraw a job from a leader."""

    host: str
    withdrawn: JobWithdrawn


@dataclass(frozen=True)
class AnswerCaller:
    """Answer a caller, once per submission.

    Attributes:
        number: Number of the submission.
        failure: Why the job failed; `None` if it is complete.
    """

    number: int
    failure: Failure | None


SubmissionAction = OfferToLeader | WithdrawFromLeader | AnswerCaller | LogDecision


class LeaderChosen(NamedTuple):
    """Log line: the host chose a leader for a job.

    Attributes:
        job: Id of the job.
        leader: Name of the leader.
        tenure: Epoch since which the leader has led without a break.
        handovers: How often the job was handed over since its first leader.
        reason: Why this leader was chosen.
        needs_cores: Cores that all tasks of the job need together.
        free_cores: Free cores that the leader reported last.
        queued_core_s: Queued work that the leader reported last, core-seconds.
        number: Number of the submission at this host.
        age_s: Time since the job was received, s.
        left_s: Time until the deadline of the job, s.
        withdrawn_from: Leader that had it before and is told that the job is withdrawn;
            empty if there is none.
    """

    job: str
    leader: str
    tenure: int
    handovers: int
    reason: str
    needs_cores: float
    free_cores: float
    queued_core_s: float
    number: int
    age_s: float
    left_s: float
    withdrawn_from: str


class JobAnswered(NamedTuple):
    """Log line: a caller is answered.

    Attributes:
        job: Id of the job.
        route: Name of its route.
        outcome: `complete` or the kind of the failure.
        detail: Details of the failure; empty if there is none.
        leader: Leader that the job was offered to last; empty if there was none.
        offers: How often the job was offered to a leader.
        took_s: Time since the job was received, s.
        limit_s: Time after its arrival at which the job is given up, s.
        limited_by: What sets that limit: `route` or `caller`.
        number: Number of the submission at this host.
        withdrawn: Whether the leader is told that the job is withdrawn.
    """

    job: str
    route: str
    outcome: str
    detail: str
    leader: str
    offers: int
    took_s: float
    limit_s: float
    limited_by: str
    number: int
    withdrawn: bool


class JobAbandoned(NamedTuple):
    """Log line: the process ends before a caller is answered.

    Attributes:
        job: Id of the job.
        route: Name of its route.
        leader: Leader that the job was offered to last; empty if there was none.
        offers: How often the job was offered to a leader.
        age_s: Time since the job was received, s.
        left_s: Time until the deadline of the job, s.
        number: Number of the submission at this host.
    """

    job: str
    route: str
    leader: str
    offers: int
    age_s: float
    left_s: float
    number: int
