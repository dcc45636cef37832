"""Claims of one host: from a keyed job to the verdict whether it may be sent.

A claim is appended to the claims stream and read back. It has won if it holds
its key there and every record of the window before it was read. A winner may
send for a lease that begins when its append was started; the lease is much
shorter than the window, so that a host that wakes after a freeze sends nothing
on a claim that another may have followed.
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
from poplarhilld.claims.answers import KeptAnswers
from poplarhilld.claims.batch import Claim, ClaimBatch
from poplarhilld.claims.keys import fingerprint_of, key_of
from poplarhilld.claims.ledger import Ledger, Seen
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

APPENDS_PER_S = 200.0
MAX_CLAIMS_PER_RECORD = 256
_LEASES_PER_WINDOW = 10
_MAX_TRIES = 3
_POLL_S = 1.0
_UNAVAILABLE_RETRY_S = 2.0


class ClaimState:
    """Decides which keyed jobs of this host may be sent.

    Args:
        host: Name of this host.
        incarnation: Incarnation of this host.
        hosts: Entry hosts among which the appends a second are shared.
        window_s: How long a key is remembered, s.
    """

    def __init__(
        self, host: str, incarnation: int, hosts: int, window_s: float
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._interval_s = hosts / APPENDS_PER_S
        self._window_s = window_s
        self._ledger = Ledger(window_s)
        self._answers = KeptAnswers()
        self._by_key: dict[str, Claim] = {}
        self._by_job: dict[str, Claim] = {}
        self._by_number: dict[int, Claim] = {}
        self._waiting: list[Claim] = []
        self._releases: list[int] = []
        self._batch: ClaimBatch | None = None
        self._numbers = 0
        self._batches = 0
        self._next_append = 0.0
        self._woken = False
        self._reading = False
        self._read_again = False
        self._next_poll = 0.0
        self._available = False
        self._opening = True
        self._log_ahead_s = 0.0

    @property
    def available(self) -> bool:
        """Whether the log answered when it was last asked."""
        return self._available

    @property
    def lease_s(self) -> float:
        """How long after its append was started a claim is good for sending, s."""
        return self._window_s / _LEASES_PER_WINDOW

    def configure(self, window_s: float) -> None:
        """Take the window of a new configuration."""
        if window_s != self._window_s:
            self._window_s = window_s
            self._ledger.set_window(window_s)

    def claim_key(self, now: float, spec: JobSpec) -> list[Output]:
        """Claim the key of a job, join the job that has it here, or refuse."""
        key = key_of(spec)
        known = self._by_key.get(key)
        kept = self._answers.get(now, key)
        if known is not None:
            return self._join(spec, known)
        if kept is not None:
            return self._repeat(spec, key, kept.fingerprint, kept.outcome)
        refusal = self._refusal(now, key)
        if refusal is not None:
            kind = "lost" if refusal.kind is ErrorKind.DUPLICATE else "refused"
            decision = self._decision(spec.job_id, key, kind, None)
            return [decision, Ended(spec.job_id, refusal)]
        self._numbers += 1
        claim_id = ClaimId(self._host, self._incarnation, self._numbers)
        claim = Claim(spec, key, claim_id)
        self._by_key[key] = claim
        self._by_job[spec.job_id] = claim
        self._by_number[claim_id.number] = claim
        self._waiting.append(claim)
        return self._read() if self._opening else self._start_batch(now)

    def record_outcome(
        self, now: float, job_id: str, outcome: JobOutcome
    ) -> list[Output]:
        """Note a job's outcome; give it to those that joined it."""
        claim = self._by_job.pop(job_id, None)
        if claim is None:
            return []
        if claim.job_id != job_id:
            claim.joiners.remove(job_id)
            return []
        del self._by_key[claim.key]
        self._by_number.pop(claim.claim.number, None)
        outputs: list[Output] = []
        if claim in self._waiting:
            self._waiting.remove(claim)
        elif not _may_have_run(outcome):
            self._releases.append(claim.claim.number)
            outputs = self._start_batch(now)
        elif claim.won:
            self._answers.keep(now, claim.key, claim.fingerprint, outcome)
        return outputs + [Ended(joiner, outcome) for joiner in list(claim.joiners)]

    def receive(
        self, now: float, event: ClaimsAppended | ClaimsRead | ClaimsAppendDue
    ) -> list[Output]:
        """Decide on an event of the claims stream."""
        match event:
            case ClaimsAppended(batch, result):
                return self._appended(now, batch, result)
            case ClaimsRead(offset, result):
                return self._was_read(now, offset, result)
            case ClaimsAppendDue():
                self._woken = False
                return self._start_batch(now)

    def tick(self, now: float) -> list[Output]:
        """Read on, so that the window stays read and the log's state known."""
        if now < self._next_poll or self._reading:
            return []
        return self._read()

    def _appended(self, now: float, number: int, result: AppendResult) -> list[Output]:
        """Note how an append ended."""
        batch = self._batch
        if batch is None or batch.number != number:
            return []
        match result:
            case Appended(offset):
                self._batch = batch._replace(offset=offset)
                return self._read()
            case AppendRefused(detail) if not batch.uncertain:
                self._available = False
                return self._give_up(now, detail)
            case _:
                self._batch = batch._replace(uncertain=True)
                return self._read()

    def _was_read(self, now: float, offset: int, result: ReadResult) -> list[Output]:
        """Fold what was read and decide on the claims in it."""
        self._reading = False
        match result:
            case Batch() if offset != self._ledger.next_offset:
                return []
            case Batch() if result.end_offset < offset:
                self._ledger.restart(0, result.time)
                return self._read()
            case Batch():
                return self._fold(now, result)
            case Truncated(earliest):
                self._ledger.restart(earliest)
                return self._read()
            case _:
                self._available = False
                return self._give_up(now, "the log cannot be read")

    def _join(self, spec: JobSpec, known: Claim) -> list[Output]:
        if known.fingerprint != fingerprint_of(spec):
            return [Ended(spec.job_id, _OTHER_JOB)]
        known.joiners.append(spec.job_id)
        self._by_job[spec.job_id] = known
        decision = self._decision(spec.job_id, known.key, "joined", known.claim)
        return [decision, Joined(spec.job_id)]

    def _repeat(
        self, spec: JobSpec, key: str, fingerprint: str, outcome: JobOutcome
    ) -> list[Output]:
        if fingerprint != fingerprint_of(spec):
            return [Ended(spec.job_id, _OTHER_JOB)]
        decision = self._decision(spec.job_id, key, "stored", None)
        return [decision, Ended(spec.job_id, outcome)]

    def _refusal(self, now: float, key: str) -> Failure | None:
        log_time = now + self._log_ahead_s
        holder = self._ledger.holder(key, log_time)
        if holder is not None and not self._gave_up(holder):
            return _DUPLICATE
        if self._opening:
            return None
        if not self._available:
            detail = "the claims stream cannot be reached; nothing was sent"
            return _unavailable(detail, _UNAVAILABLE_RETRY_S)
        if not self._ledger.covers(log_time):
            wait_s = self._ledger.covered_from + self._window_s - log_time
            detail = "the claims of the whole key window are not known here yet"
            return _unavailable(detail, max(wait_s, _POLL_S))
        return None

    def _gave_up(self, claim: ClaimId) -> bool:
        """Return whether a claim is one of ours whose release is under way.

        The release precedes a new claim in the stream, or else that one loses.
        """
        ours = (claim.host, claim.incarnation) == (self._host, self._incarnation)
        return ours and claim.number in self._releases

    def _start_batch(self, now: float) -> list[Output]:
        if self._batch is not None or not (self._waiting or self._releases):
            return []
        if self._opening:
            return []
        if now < self._next_append:
            if self._woken:
                return []
            self._woken = True
            return [ScheduleClaimsAppend(self._next_append - now)]
        claims = self._waiting[:MAX_CLAIMS_PER_RECORD]
        del self._waiting[:MAX_CLAIMS_PER_RECORD]
        for claim in claims:
            claim.started_at = now
        released = tuple(self._releases[:MAX_CLAIMS_PER_RECORD])
        self._batches += 1
        self._batch = ClaimBatch(self._batches, self._record(claims, released))
        return self._append(now)

    def _record(self, claims: list[Claim], released: tuple[int, ...]) -> ClaimRecord:
        first = claims[0].claim.number if claims else self._numbers + 1
        by_number = {claim.claim.number: claim.key for claim in claims}
        last = claims[-1].claim.number if claims else self._numbers
        # A number whose job has ended meanwhile keeps its place with no key.
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
            for seen in self._ledger.apply(record):
                outputs += self._decide(now, seen)
        if self._ledger.next_offset < result.end_offset or self._read_again:
            return outputs + self._read()
        self._ledger.reached(result.time)
        self._log_ahead_s = result.time - now
        self._available = True
        self._opening = False
        self._next_poll = now + _POLL_S
        return outputs + self._settle(now)

    def _decide(self, now: float, seen: Seen) -> list[Output]:
        if (seen.claim.host, seen.claim.incarnation) != (self._host, self._incarnation):
            return []
        batch = self._batch
        if batch is not None and seen.claim.number >= batch.record.first:
            self._batch = batch._replace(seen=True)
        claim = self._by_number.pop(seen.claim.number, None)
        if claim is None:
            return []
        send_by = claim.started_at + self.lease_s
        if seen.holder != seen.claim:
            verdict, end = "lost", Ended(claim.job_id, _DUPLICATE)
        elif not seen.covered or now >= send_by:
            verdict, end = "refused", Ended(claim.job_id, _LATE)
        else:
            verdict, end = "won", Won(claim.job_id, send_by)
            claim.won = True
        return [self._decision(claim.job_id, claim.key, verdict, seen), end]

    def _settle(self, now: float) -> list[Output]:
        """Close the batch, or append it again, once the stream is read."""
        batch = self._batch
        if batch is None:
            return self._start_batch(now)
        read = batch.offset is not None and batch.offset < self._ledger.next_offset
        if (batch.seen or read) and self._undecided(batch):
            return self._give_up(now, "the claim is gone from the log")
        if batch.seen or read:
            self._close(batch, confirmed=True)
            return self._start_batch(now)
        if batch.offset is not None or not batch.uncertain:
            self._next_poll = now
            return []
        if batch.tries >= _MAX_TRIES:
            return self._give_up(now, "the log does not confirm the claim")
        self._batch = batch._replace(tries=batch.tries + 1)
        return self._append(now)

    def _refuse_uncovered(self, now: float) -> list[Output]:
        """Refuse claims that waited for the first read, if it was not enough."""
        log_time = now + self._log_ahead_s
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

    def _give_up(self, now: float, detail: str) -> list[Output]:
        """Refuse every claim without a verdict; ending them releases them."""
        self._opening = False
        self._next_poll = now + _POLL_S
        self._next_append = now + _POLL_S
        claims = self._waiting
        if self._batch is not None:
            claims = self._undecided(self._batch) + claims
            self._close(self._batch, confirmed=False)
        refusal = _unavailable(
            f"{detail}; nothing was sent, but the key may be taken until the "
            "claim is released",
            _UNAVAILABLE_RETRY_S,
        )
        return [Ended(claim.job_id, refusal) for claim in claims]

    def _decision(
        self, job_id: str, key: str, verdict: str, about: Seen | ClaimId | None
    ) -> ClaimDecided:
        match about:
            case Seen(claim, holder):
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


_OTHER_JOB = Failure(
    ErrorKind.BAD_REQUEST, "this Idempotency-Key was used with other tasks"
)
_DUPLICATE = Failure(
    ErrorKind.DUPLICATE, "another submission holds this Idempotency-Key"
)
_LATE = _unavailable("the claim came too late to be used", _UNAVAILABLE_RETRY_S)
