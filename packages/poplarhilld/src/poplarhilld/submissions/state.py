"""What the host that took a job does until the job has its answer."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from poplarhill.exceptions import ANSWERS, ErrorKind, Failure, RunState
from poplarhilld.decisions import LogDecision
from poplarhilld.peers.messages import (
    JobEnded,
    JobOffer,
    JobProgress,
    JobReport,
    JobWithdrawn,
    OfferedJob,
)
from poplarhilld.submissions.messages import (
    AnswerCaller,
    JobAnswered,
    OfferToLeader,
    ShardChosen,
    ShardView,
    Submission,
    SubmissionAction,
    WithdrawFromLeader,
)

REPEAT_S = 0.3  # a lost offer or report costs this much
LEADERLESS_S = 1.2  # 0.6 s to notice a lost leader, and the time to follow it
_BUSY_S = 0.05  # expected wait from which another data centre is looked at, s
_FAR_FACTOR = 2.0  # another data centre must promise less than half of the wait
_RETRY_S = 1.0  # a leader is found within about a second


@dataclass
class _Job:
    number: int
    submission: Submission
    received_at: float
    shard: str = ""
    leader: str = ""
    epoch: int = 0
    offers: int = 0
    handovers: int = -1
    next_offer: float = 0.0
    leaderless_since: float | None = None
    done: set[int] = field(default_factory=set)

    @property
    def deadline(self) -> float:
        return self.received_at + self.submission.patience_s


class Submissions:
    """Jobs taken from callers, by the count of the submission."""

    def __init__(self) -> None:
        self._jobs: dict[int, _Job] = {}
        self._by_id: dict[str, set[int]] = {}
        self._shards: Mapping[str, ShardView] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def knows(self, job_id: str) -> bool:
        """Return whether a job is in flight here."""
        return job_id in self._by_id

    def submit(
        self, now: float, number: int, submission: Submission
    ) -> list[SubmissionAction]:
        """Take a job from a caller."""
        job = _Job(number, submission, now)
        self._jobs[number] = job
        self._by_id.setdefault(submission.job_id, set()).add(number)
        return self._place(now, job)

    def caller_left(self, now: float, number: int) -> list[SubmissionAction]:
        """Give a job up whose caller has closed its connection."""
        job = self._jobs.get(number)
        if job is None:
            return []
        failure = Failure(ErrorKind.STOPPED, "the caller has left")
        return self._answer(now, job, failure, withdraw=True)

    def cancelled(self, now: float, job_id: str) -> list[SubmissionAction]:
        """Answer the callers of a job that was cancelled."""
        actions: list[SubmissionAction] = []
        for number in list(self._by_id.get(job_id, ())):
            failure = Failure(ErrorKind.CANCELLED, "the job was cancelled")
            actions += self._answer(now, self._jobs[number], failure, withdraw=False)
        return actions

    def reported(
        self, now: float, host: str, report: JobReport
    ) -> list[SubmissionAction]:
        """Take in what a leader says of a job."""
        actions: list[SubmissionAction] = []
        for number in list(self._by_id.get(report.job_id, ())):
            job = self._jobs[number]
            match report:
                case JobProgress(_, done):
                    job.done.update(done)
                case JobEnded() if job.leader == host or not report.error:
                    actions += self._end(now, job, report)
        return actions

    def view(
        self, now: float, shards: Mapping[str, ShardView]
    ) -> list[SubmissionAction]:
        """Take in who leads which shard now."""
        self._shards = shards
        actions: list[SubmissionAction] = []
        for job in list(self._jobs.values()):
            shard = shards.get(job.shard)
            if shard is None or (shard.leader, shard.epoch) != (job.leader, job.epoch):
                actions += self._place(now, job)
        return actions

    def tick(self, now: float) -> list[SubmissionAction]:
        """Do what time alone makes due."""
        actions: list[SubmissionAction] = []
        for job in list(self._jobs.values()):
            if now >= job.deadline:
                failure = Failure(ErrorKind.TIMEOUT, "no outcome in time")
                if not job.offers:
                    failure = Failure(ErrorKind.EXPIRED, "no leader in time")
                actions += self._answer(now, job, failure, withdraw=True)
            elif now >= job.next_offer:
                actions += self._place(now, job)
        return actions

    def _place(self, now: float, job: _Job) -> list[SubmissionAction]:
        """Offer a job to the leader of its shard, or of another one."""
        shard = self._shards.get(job.shard)
        reason = "same shard"
        if shard is None and not (job.shard and self._keeps_waiting(now, job)):
            name, reason = self._choose()
            shard = self._shards.get(name)
            if shard is not None:
                job.shard = name
        job.next_offer = now + REPEAT_S
        if shard is None:
            return self._wait_for_leader(now, job)
        job.leaderless_since = None
        actions: list[SubmissionAction] = []
        if (shard.leader, shard.epoch) != (job.leader, job.epoch):
            job.leader, job.epoch = shard.leader, shard.epoch
            job.handovers += 1
            chosen = ShardChosen(
                job.submission.job_id,
                job.shard,
                shard.leader,
                shard.epoch,
                job.handovers,
                reason,
                round(shard.free_cores, 1),
                round(shard.queued_core_s, 1),
            )
            actions.append(LogDecision(chosen))
        job.offers += 1
        offered = OfferedJob(job.shard, job.number, self._offer(now, job))
        return [*actions, OfferToLeader(shard.leader, offered)]

    def _keeps_waiting(self, now: float, job: _Job) -> bool:
        """Return whether a job's shard may soon have a leader again."""
        since = job.leaderless_since
        return since is None or now - since < LEADERLESS_S

    def _wait_for_leader(self, now: float, job: _Job) -> list[SubmissionAction]:
        if job.leaderless_since is None:
            job.leaderless_since = now
        if now - job.leaderless_since < LEADERLESS_S:
            return []
        kind = ErrorKind.WORKER_LOST if job.offers else ErrorKind.NOT_READY
        failure = Failure(kind, "no leader is reached", _RETRY_S)
        return self._answer(now, job, failure, withdraw=True)

    def _choose(self) -> tuple[str, str]:
        """Return the shard for a new job, and why."""
        best, best_key, reason = "", None, "no leader is known"
        for name, shard in self._shards.items():
            wait_s = shard.queued_core_s / shard.cores if shard.cores else 60.0
            if shard.near:
                key = (wait_s if wait_s > _BUSY_S else 0.0, -shard.free_cores, name)
            else:
                key = (_BUSY_S + _FAR_FACTOR * wait_s, -shard.free_cores, name)
            if best_key is None or key < best_key:
                best, best_key = name, key
                reason = "near" if shard.near else "less waiting far away"
        return best, reason

    def _offer(self, now: float, job: _Job) -> JobOffer:
        submission = job.submission
        route = submission.route
        return JobOffer(
            submission.job_id,
            route.name,
            route.service,
            submission.body,
            submission.steps,
            route.priority,
            route.max_attempts,
            route.stretch,
            route.allowance_s,
            now - job.received_at,
            job.deadline - now,
            job.handovers,
            tuple(sorted(job.done)),
        )

    def _end(self, now: float, job: _Job, report: JobEnded) -> list[SubmissionAction]:
        if not report.error:
            return self._answer(now, job, None, withdraw=False)
        kind = ErrorKind(report.error)
        if report.not_run and job.handovers:
            # An earlier leader may have started some of it.
            report = report._replace(not_run=False)
        if not report.not_run and ANSWERS[kind].run_state is RunState.NOT_RUN:
            cancelled = kind is ErrorKind.CANCELLED
            kind = ErrorKind.STOPPED if cancelled else ErrorKind.WORKER_LOST
        failure = Failure(kind, report.detail, report.retry_after_s or None)
        return self._answer(now, job, failure, withdraw=False)

    def _answer(
        self, now: float, job: _Job, failure: Failure | None, withdraw: bool
    ) -> list[SubmissionAction]:
        submission = job.submission
        del self._jobs[job.number]
        numbers = self._by_id[submission.job_id]
        numbers.discard(job.number)
        if not numbers:
            del self._by_id[submission.job_id]
        answered = JobAnswered(
            submission.job_id,
            submission.route.name,
            failure.kind.value if failure else "complete",
            failure.detail if failure else "",
            job.shard,
            job.leader,
            job.offers,
            round(now - job.received_at, 4),
        )
        actions: list[SubmissionAction] = [LogDecision(answered)]
        if withdraw and job.leader:
            withdrawn = JobWithdrawn(submission.job_id)
            actions.append(WithdrawFromLeader(job.leader, withdrawn))
        return [*actions, AnswerCaller(job.number, failure)]
