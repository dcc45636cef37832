"""Decides which keyed jobs of one entry host may be sent.

The host appends a claim on the job's key to the claims stream and reads it back.
The key window is the time for which a claim holds its key. The claim has won if it
holds the key in the stream and the host has read every record of the key window
that precedes it. The winner may send for the length of a lease, which starts when
the append is started. The lease is much shorter than the window, so a host that
resumes after a long pause cannot send on a claim whose key another host may have
claimed since.
"""

import msgspec

from poplarhill.exceptions import ErrorKind, Failure, RunState
from poplarhill.platform import (
    Appended,
    AppendRefused,
    AppendResult,
    Batch,
    ReadResult,
    Truncated,
)
from poplarhill.types import JobSpec
from poplarhilld.claims.answers import OutcomeCache
from poplarhilld.claims.batch import Claim, ClaimBatch
from poplarhilld.claims.keys import fingerprint_of, hash_key
from poplarhilld.claims.ledger import AppliedClaim, Ledger
from poplarhilld.claims.messages import (
    AppendClaims,
    ClaimDecided,
    ClaimId,
    ClaimRecord,
    ClaimsAppendDue,
    ClaimsAppended,
    ClaimsRead,
    Ended,
    Joined,
    Output,
    ReadClaims,
    ScheduleClaimsAppend,
    Won,
)
from poplarhilld.jobs.messages import Completed, JobOutcome

APPENDS_PER_S = 200.0  # of all hosts together
MAX_CLAIMS_PER_RECORD = 256
_LEASES_PER_WINDOW = 10
_MAX_APPEND_ATTEMPTS = 3  # of one batch of claims
_POLL_S = 1.0
_UNAVAILABLE_RETRY_S = 2.0


class ClaimState:
    """State machine of the claims of one entry host.

    Args:
        host: Name of this host.
        incarnation: Incarnation of this host.
        host_count: Number of entry hosts that share `APPENDS_PER_S`.
        window_s: How long a claim holds its key, s.
    """

    def __init__(
        self, host: str, incarnation: int, host_count: int, window_s: float
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._interval_s = host_count / APPENDS_PER_S
        self._window_s = window_s
        self._ledger = Ledger(window_s)
        self._outcomes = OutcomeCache()
        self._by_key: dict[str, Claim] = {}
        self._by_job: dict[str, Claim] = {}
        self._by_number: dict[int, Claim] = {}
        self._waiting: list[Claim] = []
        self._releases: list[int] = []
        self._batch: ClaimBatch | None = None
        self._last_number = 0
        self._last_batch = 0
        self._next_append = 0.0
        self._append_scheduled = False
        self._reading = False
        self._read_again = False
        self._next_poll = 0.0
        self._available = False
        # Claims wait until a first read has reached the end of the stream or failed.
        self._awaiting_first_read = True
        self._log_clock_offset_s = 0.0

    @property
    def available(self) -> bool:
        """Whether the claims stream is available.

        False at the start, and after a failed read or a refused append, until a read
        reaches the end of the stream.
        """
        return self._available

    @property
    def lease_s(self) -> float:
        """How long a winner may send, from the start of its append, s."""
        return self._window_s / _LEASES_PER_WINDOW

    def configure(self, window_s: float) -> None:
        """Apply the key window of a new configuration."""
        if window_s != self._window_s:
            self._window_s = window_s
            self._ledger.set_window(window_s)

    def claim_key(self, now: float, spec: JobSpec) -> list[Output]:
        """Start to claim the key of a job.

        A job whose key is in use on this host joins the job that uses it, and one
        whose key has a cached outcome gets that outcome, unless its tasks differ. A
        job is refused if another claim holds its key, or while this host cannot
        decide claims.
        """
        key = hash_key(spec)
        known = self._by_key.get(key)
        kept = self._outcomes.get(now, key)
        if known is not None:
            return self._join(spec, known)
        if kept is not None:
            return self._reuse_outcome(spec, key, kept.fingerprint, kept.outcome)
        refusal = self._refusal(now, key)
        if refusal is not None:
            verdict = "lost" if refusal.kind is ErrorKind.DUPLICATE else "refused"
            decision = self._decision(spec.job_id, key, verdict, None)
            return [decision, Ended(spec.job_id, refusal)]
        self._last_number += 1
        claim_id = ClaimId(self._host, self._incarnation, self._last_number)
        claim = Claim(spec, key, claim_id)
        self._by_key[key] = claim
        self._by_job[spec.job_id] = claim
        self._by_number[claim_id.number] = claim
        self._waiting.append(claim)
        return self._read() if self._awaiting_first_read else self._start_batch(now)

    def record_outcome(
        self, now: float, job_id: str, outcome: JobOutcome
    ) -> list[Output]:
        """Process the end of a job; give its outcome to the jobs that joined it.

        A claim that was appended is released if its job has not run. If the job
        won its key and may have run, the outcome is cached for later submissions
        of the key.
        """
        claim = self._by_job.pop(job_id, None)
        if claim is None:
            return []
        if claim.job_id != job_id:
            claim.joiners.remove(job_id)
            return []
        del self._by_key[claim.key]
        self._by_number.pop(claim.claim_id.number, None)
        outputs: list[Output] = []
        if claim in self._waiting:
            self._waiting.remove(claim)
        elif not _may_have_run(outcome):
            self._releases.append(claim.claim_id.number)
            outputs = self._start_batch(now)
        elif claim.won:
            self._outcomes.keep(now, claim.key, claim.fingerprint, outcome)
        return outputs + [Ended(joiner, outcome) for joiner in list(claim.joiners)]

    def receive(
        self, now: float, event: ClaimsAppended | ClaimsRead | ClaimsAppendDue
    ) -> list[Output]:
        """Process the end of an append or a read, or of the append interval."""
        match event:
            case ClaimsAppended(batch, result):
                return self._handle_append(now, batch, result)
            case ClaimsRead(offset, result):
                return self._handle_read(now, offset, result)
            case ClaimsAppendDue():
                self._append_scheduled = False
                return self._start_batch(now)

    def tick(self, now: float) -> list[Output]:
        """Poll the stream if a poll is due.

        Polls ensure that every record of the key window is read, and detect outages
        of the log.
        """
        if now < self._next_poll or self._reading:
            return []
        return self._read()

    def _handle_append(
        self, now: float, number: int, result: AppendResult
    ) -> list[Output]:
        """Process the result of an append."""
        batch = self._batch
        if batch is None or batch.number != number:
            return []
        match result:
            case Appended(offset):
                self._batch = batch._replace(offset=offset)
                return self._read()
            case AppendRefused(detail) if not batch.uncertain:
                self._available = False
                return self._refuse_pending(now, detail)
            case _:
                self._batch = batch._replace(uncertain=True)
                return self._read()

    def _handle_read(self, now: float, offset: int, result: ReadResult) -> list[Output]:
        """Process the result of a read."""
        self._reading = False
        match result:
            case Batch() if offset != self._ledger.next_offset:
                return []
            case Batch() if result.end_offset < offset:
                # The log has lost its records and started again at offset 0.
                self._ledger.skip_to(0, result.time)
                return self._read()
            case Batch():
                return self._fold(now, result)
            case Truncated(earliest):
                self._ledger.skip_to(earliest)
                return self._read()
            case _:
                self._available = False
                return self._refuse_pending(now, "the claims stream cannot be read")

    def _join(self, spec: JobSpec, known: Claim) -> list[Output]:
        if known.fingerprint != fingerprint_of(spec):
            return [Ended(spec.job_id, _KEY_REUSED)]
        known.joiners.append(spec.job_id)
        self._by_job[spec.job_id] = known
        decision = self._decision(spec.job_id, known.key, "joined", known.claim_id)
        return [decision, Joined(spec.job_id)]

    def _reuse_outcome(
        self, spec: JobSpec, key: str, fingerprint: str, outcome: JobOutcome
    ) -> list[Output]:
        if fingerprint != fingerprint_of(spec):
            return [Ended(spec.job_id, _KEY_REUSED)]
        decision = self._decision(spec.job_id, key, "stored", None)
        return [decision, Ended(spec.job_id, outcome)]

    def _refusal(self, now: float, key: str) -> Failure | None:
        log_time = now + self._log_clock_offset_s
        holder = self._ledger.holder(key, log_time)
        if holder is not None and not self._is_being_released(holder):
            return _DUPLICATE
        if self._awaiting_first_read:
            return None
        if not self._available:
            detail = "the claims stream is unavailable; nothing was sent"
            return _unavailable(detail, _UNAVAILABLE_RETRY_S)
        if not self._ledger.covers(log_time):
            wait_s = self._ledger.covered_from + self._window_s - log_time
            detail = "this host has not read the claims of the whole key window yet"
            return _unavailable(detail, max(wait_s, _POLL_S))
        return None

    def _is_being_released(self, claim: ClaimId) -> bool:
        """Return whether a claim is one of this host whose release is pending.

        The key may then be claimed again: either the release precedes the new
        claim in the stream, or the new claim loses.
        """
        own = (claim.host, claim.incarnation) == (self._host, self._incarnation)
        return own and claim.number in self._releases

    def _start_batch(self, now: float) -> list[Output]:
        if self._batch is not None or not (self._waiting or self._releases):
            return []
        if self._awaiting_first_read:
            return []
        if now < self._next_append:
            if self._append_scheduled:
                return []
            self._append_scheduled = True
            return [ScheduleClaimsAppend(self._next_append - now)]
        claims = self._waiting[:MAX_CLAIMS_PER_RECORD]
        del self._waiting[:MAX_CLAIMS_PER_RECORD]
        for claim in claims:
            claim.started_at = now
        released = tuple(self._releases[:MAX_CLAIMS_PER_RECORD])
        self._last_batch += 1
        self._batch = ClaimBatch(self._last_batch, self._record(claims, released))
        return self._append(now)

    def _record(self, claims: list[Claim], released: tuple[int, ...]) -> ClaimRecord:
        first = claims[0].claim_id.number if claims else self._last_number + 1
        by_number = {claim.claim_id.number: claim.key for claim in claims}
        last = claims[-1].claim_id.number if claims else self._last_number
        # Keys are listed by position, so the number of a job that has ended in the
        # meantime gets an empty key.
        keys = tuple(by_number.get(n, "") for n in range(first, last + 1))
        return ClaimRecord(self._host, self._incarnation, first, keys, released)

    def _append(self, now: float) -> list[Output]:
        self._next_append = now + self._interval_s
        body = msgspec.json.encode(self._batch.record).decode()
        return [AppendClaims(self._batch.number, body)]

    def _read(self) -> list[Output]:
        if self._reading:
            self._read_again = True
            return []
        self._reading = True
        self._read_again = False
        return [ReadClaims(self._ledger.next_offset)]

    def _fold(self, now: float, result: Batch) -> list[Output]:
        outputs: list[Output] = []
        for record in result.records:
            for applied in self._ledger.apply(record):
                outputs += self._decide(now, applied)
        if self._ledger.next_offset < result.end_offset or self._read_again:
            return outputs + self._read()
        self._ledger.observe_time(result.time)
        self._log_clock_offset_s = result.time - now
        self._available = True
        self._awaiting_first_read = False
        self._next_poll = now + _POLL_S
        return outputs + self._finish_batch(now)

    def _decide(self, now: float, applied: AppliedClaim) -> list[Output]:
        """Return the verdict on a claim, if it is one of this host."""
        if (applied.claim.host, applied.claim.incarnation) != (
            self._host,
            self._incarnation,
        ):
            return []
        batch = self._batch
        if batch is not None and applied.claim.number >= batch.record.first:
            self._batch = batch._replace(read_back=True)
        claim = self._by_number.pop(applied.claim.number, None)
        if claim is None:
            return []
        send_by = claim.started_at + self.lease_s
        if applied.holder != applied.claim:
            verdict, end = "lost", Ended(claim.job_id, _DUPLICATE)
        elif not applied.covered or now >= send_by:
            verdict, end = "refused", Ended(claim.job_id, _UNUSABLE)
        else:
            verdict, end = "won", Won(claim.job_id, send_by)
            claim.won = True
        return [self._decision(claim.job_id, claim.key, verdict, applied), end]

    def _finish_batch(self, now: float) -> list[Output]:
        """Close the batch or append it again, after a read up to the end."""
        batch = self._batch
        if batch is None:
            return self._start_batch(now)
        # The stream has been read past the confirmed offset of the record.
        passed = batch.offset is not None and batch.offset < self._ledger.next_offset
        if (batch.read_back or passed) and self._undecided(batch):
            return self._refuse_pending(
                now, "the claim is missing from the claims stream"
            )
        if batch.read_back or passed:
            self._close(batch, confirmed=True)
            return self._start_batch(now)
        if batch.offset is not None or not batch.uncertain:
            self._next_poll = now
            return []
        if batch.attempts >= _MAX_APPEND_ATTEMPTS:
            return self._refuse_pending(
                now, "the append of the claim was not confirmed"
            )
        self._batch = batch._replace(attempts=batch.attempts + 1)
        return self._append(now)

    def _refuse_uncovered(self, now: float) -> list[Output]:
        """Refuse waiting claims if a record of the key window has not been read."""
        log_time = now + self._log_clock_offset_s
        if self._ledger.covers(log_time):
            return []
        refusals = [(c.job_id, self._refusal(now, c.key)) for c in self._waiting]
        return [Ended(job_id, refusal) for job_id, refusal in refusals if refusal]

    def _undecided(self, batch: ClaimBatch) -> list[Claim]:
        first = batch.record.first
        numbers = range(first, first + len(batch.record.keys))
        return [self._by_number[n] for n in numbers if n in self._by_number]

    def _close(self, batch: ClaimBatch, confirmed: bool) -> None:
        self._batch = None
        if confirmed:
            released = set(batch.record.released)
            self._releases = [n for n in self._releases if n not in released]

    def _refuse_pending(self, now: float, detail: str) -> list[Output]:
        """Refuse every claim without a verdict.

        `record_outcome` then releases the claims that were being appended.
        """
        self._awaiting_first_read = False
        self._next_poll = now + _POLL_S
        self._next_append = now + _POLL_S
        claims = self._waiting
        if self._batch is not None:
            claims = self._undecided(self._batch) + claims
            self._close(self._batch, confirmed=False)
        refusal = _unavailable(
            f"{detail}; nothing was sent, but the key may stay claimed until the "
            "claim is released",
            _UNAVAILABLE_RETRY_S,
        )
        return [Ended(claim.job_id, refusal) for claim in claims]

    def _decision(
        self,
        job_id: str,
        key: str,
        verdict: str,
        subject: AppliedClaim | ClaimId | None,
    ) -> ClaimDecided:
        """Return the log entry of a decision on a keyed job.

        Args:
            job_id: Id of the job.
            key: Hash of its key.
            verdict: The verdict, see `ClaimDecided`.
            subject: The job's claim as read from the stream; the id of the claim
                that the job joined, which is then also logged as the holder; or
                None if the job has no claim.
        """
        match subject:
            case AppliedClaim(claim, holder):
                pass
            case claim:
                holder = claim
        next_offset = self._ledger.next_offset
        return ClaimDecided(job_id, key, verdict, claim, holder, next_offset)


def _may_have_run(outcome: JobOutcome) -> bool:
    if isinstance(outcome, Completed):
        return True
    return outcome.answer.run_state is RunState.MAY_HAVE_RUN


def _unavailable(detail: str, retry_after_s: float) -> Failure:
    return Failure(ErrorKind.CLAIM_UNAVAILABLE, detail, retry_after_s)


_KEY_REUSED = Failure(
    ErrorKind.BAD_REQUEST, "this Idempotency-Key was used with other tasks"
)
_DUPLICATE = Failure(
    ErrorKind.DUPLICATE, "another submission holds this Idempotency-Key"
)
_UNUSABLE = _unavailable(
    "the claim was decided after its lease, or with part of the key window unread",
    _UNAVAILABLE_RETRY_S,
)
