"""What the claims slice decides on, asks for, and logs."""

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from poplarhill.platform import AppendResult, ReadResult
from poplarhilld.jobs.messages import JobOutcome


class ClaimId(NamedTuple):
    """One claim of one run of one entry host."""

    host: str
    incarnation: int
    number: int


class ClaimRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a record of the claims stream.

    Attributes:
        host: Name of the entry host that wrote it.
        incarnation: Incarnation of that host.
        first: Number of the first claim; the others follow in order.
        keys: Hash of the key of each claim, in hexadecimal; empty for a number
            that is not claimed.
        released: Numbers of claims that were given up with nothing sent.
    """

    host: str
    incarnation: int
    first: int
    keys: tuple[str, ...] = ()
    released: tuple[int, ...] = ()


@dataclass(frozen=True)
class ClaimsAppended:
    """An append to the claims stream ended.

    Attributes:
        batch: Number of the batch.
        result: The log's answer.
    """

    batch: int
    result: AppendResult


@dataclass(frozen=True)
class ClaimsRead:
    """A read of the claims stream ended.

    Attributes:
        offset: Offset that was asked for.
        result: The log's answer.
    """

    offset: int
    result: ReadResult


@dataclass(frozen=True)
class ClaimsAppendDue:
    """The pause between two appends is over."""


@dataclass(frozen=True)
class AppendClaims:
    """Append a record to the claims stream."""

    batch: int
    body: str


@dataclass(frozen=True)
class ReadClaims:
    """Read the claims stream from an offset."""

    offset: int


@dataclass(frozen=True)
class ScheduleClaimsAppend:
    """Report `ClaimsDue` after a time.

    Attributes:
        delay_s: The time, s.
    """

    delay_s: float


class Won(NamedTuple):
    """A job may be sent.

    Attributes:
        job_id: The job.
        send_by: Time by which its tasks have to be sent, host's own clock, s.
    """

    job_id: str
    send_by: float


class Joined(NamedTuple):
    """A job waits for the outcome of another one with its key."""

    job_id: str


class Ended(NamedTuple):
    """A job has its outcome without being sent."""

    job_id: str
    outcome: JobOutcome


class ClaimDecided(NamedTuple):
    """Decision on a keyed job.

    Attributes:
        job: The job.
        key: Hash of its key.
        verdict: `won`, `lost`, `joined`, `stored`, `refused`.
        claim: Its claim, if it made one.
        holder: The claim that holds the key, if any.
        next_offset: Offset up to which the stream was read.
    """

    job: str
    key: str
    verdict: str
    claim: ClaimId | None
    holder: ClaimId | None
    next_offset: int


ClaimRequest = AppendClaims | ReadClaims | ScheduleClaimsAppend
Output = ClaimRequest | Won | Joined | Ended | ClaimDecided
