"""Keyed jobs that have no outcome yet, and the record that claims their keys."""

from typing import NamedTuple

from poplarhill.types import JobSpec
from poplarhilld.claims.keys import fingerprint_of
from poplarhilld.claims.messages import ClaimId, ClaimRecord


class Claim:
    """A keyed job of this host that has no outcome yet.

    Args:
        spec: The job.
        key: Hash of its key.
        claim_id: Id of its claim.

    Attributes:
        fingerprint: Hash of its tasks.
        joiners: Ids of the jobs with the same key that wait for its outcome.
        started_at: When its first append was started, by the host's clock, s.
        won: Whether its claim won the key.
    """

    def __init__(self, spec: JobSpec, key: str, claim_id: ClaimId) -> None:
        self.job_id = spec.job_id
        self.key = key
        self.claim_id = claim_id
        self.fingerprint = fingerprint_of(spec)
        self.joiners: list[str] = []
        self.started_at: float | None = None
        self.won = False


class ClaimBatch(NamedTuple):
    """The record that is being appended.

    Attributes:
        number: Number of the batch.
        record: Body of the record.
        attempts: Appends so far.
        offset: Offset of the record, if the log has confirmed an append.
        uncertain: Whether an append ended without a confirmation, so that it may
            still take effect.
        read_back: Whether a claim of the record was read from the stream.
    """

    number: int
    record: ClaimRecord
    attempts: int = 1
    offset: int | None = None
    uncertain: bool = False
    read_back: bool = False
