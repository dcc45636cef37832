"""Keyed jobs without an outcome, and the record that claims their keys."""

from typing import NamedTuple

from poplarhill.types import JobSpec
from poplarhilld.claims.keys import fingerprint_of
from poplarhilld.claims.messages import ClaimId, ClaimRecord


class Claim:
    """A keyed job of this host that has no outcome yet.

    Args:
        spec: The job.
        key: Hash of its key.
        claim: Its claim.

    Attributes:
        joiners: Jobs that wait for its outcome.
        started_at: When its append was started, host's own clock, s.
        won: Whether it may be sent.
    """

    def __init__(self, spec: JobSpec, key: str, claim: ClaimId) -> None:
        self.job_id = spec.job_id
        self.key = key
        self.claim = claim
        self.fingerprint = fingerprint_of(spec)
        self.joiners: list[str] = []
        self.started_at: float | None = None
        self.won = False


class ClaimBatch(NamedTuple):
    """The record that is being appended.

    Attributes:
        number: Its number.
        record: Its body.
        tries: Count of appends of it so far.
        offset: Where the log says that it is.
        uncertain: Whether an append of it may still take effect.
        seen: Whether it was read back.
    """

    number: int
    record: ClaimRecord
    tries: int = 1
    offset: int | None = None
    uncertain: bool = False
    seen: bool = False
