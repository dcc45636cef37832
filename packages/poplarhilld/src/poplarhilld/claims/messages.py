"""Events, requests and decisions of the claims slice."""

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from poplarhill.decoding import Version
from poplarhill.platform import AppendResult, ReadResult
from poplarhilld.jobs.messages import JobOutcome


class ClaimId(NamedTuple):
    """Identifies a claim.

    Attributes:
        host: Name of the entry host that made it.
        incarnation: Incarnation of that host.
        number: Number of the claim, counted from 1 in each incarnation.
    """

    host: str
    incarnation: int
    number: int


class ClaimRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a record of the claims stream.

    Attributes:
        host: Name of the entry host that appended it.
        incarnation: Incarnation of that host.
        first: Number of the first claim; the others are numbered consecutively.
        keys: Hash of the key of each claim, in hexadecimal; empty for a number
            that claims no key.
        released: Numbers of claims that are released because their jobs did not
            run.
    """

    host: str
    incarnation: Version
    first: Version
    keys: tuple[str, ...] = ()
    released: tuple[Version, ...] = ()


@dataclass(frozen=True)
class ClaimsAppended:
    """An append to the claims stream ended.

    Attributes:
        batch: Number of the batch.
        result: Result from the log.
    """

    batch: int
    result: AppendResult


@dataclass(frozen=True)
class ClaimsRead:
    """A read of the claims stream ended.

    Attributes:
        offset: Offset from which the read started.
        result: Result from the log.
    """

    offset: int
    result: ReadResult


@dataclass(frozen=True)
class ClaimsAppendDue:
    """The minimum interval between two appends has passed."""


@dataclass(frozen=True)
class AppendClaims:
    """Append a record to the claims stream.

    Attributes:
        batch: Number of the batch, for the `ClaimsAppended` that follows.
        body: Body of the record, JSON.
    """

    batch: int
    body: str


@dataclass(frozen=True)
class ReadClaims:
    """Read the claims stream.

    Attributes:
        offset: Offset of the first record to read.
    """

    offset: int


@dataclass(frozen=True)
class ScheduleClaimsAppend:
    """Post `ClaimsAppendDue` after a delay.

    Attributes:
        delay_s: The delay, s.
    """

    delay_s: float


class Won(NamedTuple):
    """A job has won its key and may be sent.

    Attributes:
        job_id: Id of the job.
        send_by: End of the lease of its claim, by the host's clock, s. No task of
            the job may be sent from then on.
    """

    job_id: str
    send_by: float


class Joined(NamedTuple):
    """A job waits for the outcome of another job with the same key.

    Attributes:
        job_id: Id of the waiting job.
    """

    job_id: str


class Ended(NamedTuple):
    """A job has got its outcome without being sent.

    Attributes:
        job_id: Id of the job.
        outcome: The outcome.
    """

    job_id: str
    outcome: JobOutcome


class ClaimDecided(NamedTuple):
    """Decision on a keyed job.

    Attributes:
        job: Id of the job.
        key: Hash of its key.
        verdict: One of:

            - `won`: the job may be sent;
            - `lost`: another claim holds the key;
            - `joined`: the job waits for the outcome of another job;
            - `stored`: the job got a cached outcome;
            - `refused`: this host could not decide the claim.
        claim: Claim of the job, or of the job that it joined, if any.
        holder: The claim that holds the key, if known; for `joined` the same as
            `claim`.
        next_offset: Offset of the next record to read from the claims stream.
    """

    job: str
    key: str
    verdict: str
    claim: ClaimId | None
    holder: ClaimId | None
    next_offset: int


ClaimRequest = AppendClaims | ReadClaims | ScheduleClaimsAppend
Output = ClaimRequest | Won | Joined | Ended | ClaimDecided
