"""State of the submitted jobs of a host, from submission to answer."""

import math
from collections.abc import Callable, Iterable, Mapping

from poplarhill.exceptions import ANSWERS, ErrorKind, Failure, RunState
from poplarhilld.decisions import LogDecision
from poplarhilld.locality import OFF
from poplarhilld.peers.messages import (
    UNKNOWN_WORKERS,
    JobEnded,
    JobOffer,
    JobProgress,
    JobReport,
    JobWithdrawn,
    OfferedJob,
)
from poplarhilld.peers.offer_limits import DEFAULT_LIMITS, OfferLimits
from poplarhilld.peers.steps import parse_task_name
from poplarhilld.submissions.answer_times import AnswerTimes
from poplarhilld.submissions.choice import choose_leader
from poplarhilld.submissions.messages import (
    AnswerCaller,
    JobAbandoned,
    JobAnswered,
    LeaderChosen,
    LeaderView,
    OfferToLeader,
    Submission,
    SubmissionAction,
    WithdrawFromLeader,
)
from poplarhilld.submissions.pending import PendingJob
from poplarhilld.submissions.succession import Succession
from poplarhilld.submissions.transfer import (
    MAX_TRANSFERS,
    JobTransferred,
    TransferCounts,
    find_targets,
)

REPEAT_INTERVAL_S = 0.3  # delay that a lost offer or report causes
_REPEATS = 3  # of an offer within its lifetime
_PAUSE_THRESHOLD_S = 0.45  # a tick this late shows that the process was paused
# 0.6 s to detect that a leader is lost, plus the time until a successor takes over.
LEADERLESS_TIMEOUT_S = 1.2
_NO_LEADER_RETRY_AFTER_S = 1.0  # a new leader is known after about a second
_SHUTTING_DOWN_RETRY_AFTER_S = 0.0  # other hosts accept at once what this one refuses


class Submissions:
    """Jobs that callers submitted to this host and that are not yet answered.

    Each submission has a number of its own; several may share a job id.

    Args:
        limits: How long an offer keeps a job at its leader.
        has_reported_all: Returns whether all reports of a former leader have arrived,
            given its name and the epoch since which it led.

    Attributes:
        remote_slowdown: Factor on run times outside the rack of the data; 1 is off.
    """

    def __init__(
        self,
        limits: OfferLimits = DEFAULT_LIMITS,
        has_reported_all: Callable[[str, int], bool] = lambda name, tenure: True,
    ) -> None:
        self._has_reported_all = has_reported_all
        self.remote_slowdown = OFF
        self._repeat_interval_s = min(REPEAT_INTERVAL_S, limits.lifetime_s / _REPEATS)
        self._jobs: dict[int, PendingJob] = {}
        self._by_id: dict[str, set[int]] = {}
        self._leaders: Mapping[str, LeaderView] = {}
        # Those that new jobs may go to: not to an evacuated one while there are others.
        self._open_leaders: Mapping[str, LeaderView] = {}
        self._leaderless_since: float | None = None
        self._stop_at = math.inf
        self._answer_times = AnswerTimes()
        self._transfers = TransferCounts()
        self._succession = Succession()
        self._ticked_at = math.inf
        self._was_late = False

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def next_deadline(self) -> float:
        """When the next job is given up, by the host's clock, s; infinite if none."""
        return min((job.deadline for job in self._jobs.values()), default=math.inf)

    @property
    def transfers(self) -> Mapping[str, int]:
        """Counts of jobs that leaders gave back untouched, by what became of them."""
        return self._transfers.counts

    def is_in_flight(self, job_id: str) -> bool:
        """Return whether a job waits for its answer here."""
        return job_id in self._by_id

    def submit(
        self, now: float, number: int, submission: Submission
    ) -> list[SubmissionAction]:
        """Accept a job, or refuse it if this host probably stops before its end."""
        job = PendingJob(number, submission, now)
        self._jobs[number] = job
        self._by_id.setdefault(submission.job_id, set()).add(number)
        if (
            job.deadline > self._stop_at
            and now + self._answer_times.longest_s(submission) > self._stop_at
        ):
            detail = f"this host stops in {self._stop_at - now:.1f} s"
            failure = Failure(
                ErrorKind.SHUTTING_DOWN, detail, _SHUTTING_DOWN_RETRY_AFTER_S
            )
            return self._answer(now, job, failure, withdraw=False)
        return self._offer_job(now, job)

    def set_stop_time(self, stop_at: float) -> None:
        """Set the time by which every job must be answered, by the host's clock, s."""
        self._stop_at = stop_at

    def drop_caller(self, now: float, number: int) -> list[SubmissionAction]:
        """Give up a submission whose caller closed its connection."""
        job = self._jobs.get(number)
        if job is None:
            return []
        failure = Failure(ErrorKind.STOPPED, "the caller closed its connection")
        return self._answer(now, job, failure, withdraw=True)

    def fail_all(self, now: float, failure: Failure) -> list[SubmissionAction]:
        """Answer every job with the same failure."""
        actions: list[SubmissionAction] = []
        for job in list(self._jobs.values()):
            actions += self._answer(now, job, failure, withdraw=False)
        return actions

    def abandon_all(self, now: float) -> list[SubmissionAction]:
        """Give up and log every remaining job, because this process ends now."""
        actions: list[SubmissionAction] = []
        for job in list(self._jobs.values()):
            submission = job.submission
            self._remove(job)
            abandoned = JobAbandoned(
                submission.job_id,
                submission.route.name,
                job.leader,
                job.offers,
                round(now - job.received_at, 4),
                round(job.deadline - now, 4),
                job.number,
            )
            actions.append(LogDecision(abandoned))
            actions += self._withdraw(job)
        return actions

    def cancel_job(self, now: float, job_id: str) -> list[SubmissionAction]:
        """Answer all callers of a cancelled job."""
        actions: list[SubmissionAction] = []
        for number in list(self._by_id.get(job_id, ())):
            failure = Failure(ErrorKind.CANCELLED, "the job was cancelled")
            actions += self._answer(now, self._jobs[number], failure, withdraw=False)
        return actions

    def apply_report(
        self, now: float, host: str, report: JobReport
    ) -> list[SubmissionAction]:
        """Apply a leader's report on a job.

        A failure counts only from the current leader of the job, a success from any.
        One that names a submission counts for that one only.
        """
        actions: list[SubmissionAction] = []
        for number in list(self._by_id.get(report.job_id, ())):
            job = self._jobs[number]
            match report:
                case JobProgress(_, done):
                    job.done.update(done)
                case JobEnded() if report.number not in (0, number):
                    continue
                case JobEnded() if job.leader == host or not report.error:
                    actions += self._apply_end(now, host, job, report)
        return actions

    def note_done(self, tasks: Iterable[str]) -> None:
        """Note done tasks by name, as far as they are of jobs that wait here."""
        for task in filter(None, map(parse_task_name, tasks)):
            for number in self._by_id.get(task.job_id, ()):
                job = self._jobs[number]
                counts = [step.count for step in job.submission.steps]
                if task.step < len(counts) and task.index < counts[task.step]:
                    job.done.add(sum(counts[: task.step]) + task.index)

    def update_leaders(
        self, now: float, leaders: Mapping[str, LeaderView]
    ) -> list[SubmissionAction]:
        """Update the known leaders and offer jobs again whose leader changed."""
        self._leaders = self._open_leaders = leaders
        if any(leader.evacuated for leader in leaders.values()):
            not_evacuated = {n: v for n, v in leaders.items() if not v.evacuated}
            self._open_leaders = not_evacuated or leaders
        if leaders:
            self._leaderless_since = None
        elif self._leaderless_since is None:
            self._leaderless_since = now
        self._succession.update(now, leaders.values())
        if self._holds_offers(now):
            return []
        actions: list[SubmissionAction] = []
        for job in list(self._jobs.values()):
            leader = leaders.get(job.leader)
            if leader is None or leader.tenure != job.tenure:
                actions += self._offer_job(now, job)
        return actions

    def tick(self, now: float) -> list[SubmissionAction]:
        """Answer jobs that are out of time and repeat offers that are due."""
        holds_offers = self._holds_offers(now)
        self._was_late = self._is_late(now)
        self._ticked_at = now
        actions: list[SubmissionAction] = []
        for job in list(self._jobs.values()):
            if now >= min(job.deadline, self._stop_at):
                failure = Failure(ErrorKind.TIMEOUT, "no outcome in time")
                if not job.offers:
                    failure = Failure(ErrorKind.EXPIRED, "no leader was found in time")
                actions += self._answer(now, job, failure, withdraw=True)
            elif now >= job.next_offer and not holds_offers:
                actions += self._offer_job(now, job)
        return actions

    def _holds_offers(self, now: float) -> bool:
        """Return whether offers wait for the next tick, after a pause of the process.

        By then it has read which callers have closed their connections. These may have
        sent their jobs again elsewhere. A process whose ticks are late in a row is
        overloaded rather than paused, and reads between them.
        """
        return self._is_late(now) and not self._was_late and bool(self._leaders)

    def _is_late(self, now: float) -> bool:
        return now - self._ticked_at > _PAUSE_THRESHOLD_S

    def _offer_job(
        self,
        now: float,
        job: PendingJob,
        targets: Mapping[str, LeaderView] | None = None,
    ) -> list[SubmissionAction]:
        """Offer a job to its leader, or to another one if it no longer leads.

        Args:
            now: The host's clock, s.
            job: The job.
            targets: Leaders to choose from, if not from all that are open.
        """
        name, reason = job.leader, "same leader"
        if name not in self._leaders:
            if job.leader and job.led_nearby and self._succession.is_awaited(now):
                return []
            leaders = targets or self._candidates(job)
            name, reason = choose_leader(
                leaders,
                job.needs_cores,
                job.submission.job_id,
                job.submission.steps,
                self.remote_slowdown,
            )
        job.next_offer = now + self._repeat_interval_s
        leader = self._leaders.get(name)
        if leader is None:
            return self._wait_for_leader(now, job)
        actions: list[SubmissionAction] = []
        repeated = (name, leader.tenure) == (job.leader, job.tenure)
        if not repeated:
            former = job.leader if job.leader != name else ""
            if job.leader:
                job.former_workers += self._former_workers(job)
            if former:
                withdrawn = JobWithdrawn(job.submission.job_id)
                actions.append(WithdrawFromLeader(former, withdrawn))
            job.leader, job.tenure = name, leader.tenure
            job.led_nearby = leader.same_data_centre
            job.handovers += 1
            actions.append(self._log_choice(now, job, leader, reason, former))
        job.offers += 1
        job.workers_digests = leader.workers_digests
        offer = self._job_offer(now, job)
        ahead_s = leader.clock_ahead_s
        offered = OfferedJob(
            job.number,
            offer,
            job.tenure,
            repeated,
            now,
            job.workers_digests,
            None if ahead_s is None else now - ahead_s,
        )
        return [*actions, OfferToLeader(name, offered)]

    def _former_workers(self, job: PendingJob) -> tuple[int, ...]:
        """Return the digests of the workers of the leader that a job is taken from.

        A leader that is only silent may have acknowledged results that were not
        reported, so its workers prove nothing to the next one.
        """
        if self._has_reported_all(job.leader, job.tenure):
            return job.workers_digests or (UNKNOWN_WORKERS,)
        return (UNKNOWN_WORKERS,)

    def _log_choice(
        self,
        now: float,
        job: PendingJob,
        leader: LeaderView,
        reason: str,
        former: str,
    ) -> LogDecision:
        chosen = LeaderChosen(
            job.submission.job_id,
            job.leader,
            job.tenure,
            job.handovers,
            reason,
            round(job.needs_cores, 1),
            round(leader.load.free_cores, 1),
            round(leader.load.queued_core_s, 1),
            job.number,
            round(now - job.received_at, 4),
            round(job.deadline - now, 4),
            former,
        )
        return LogDecision(chosen)

    def _wait_for_leader(self, now: float, job: PendingJob) -> list[SubmissionAction]:
        """Keep a job until a leader is known; refuse it after too long without one."""
        if self._leaderless_since is None:
            self._leaderless_since = now
        if now - self._leaderless_since < LEADERLESS_TIMEOUT_S:
            return []
        kind = ErrorKind.WORKER_LOST if job.offers else ErrorKind.NOT_READY
        failure = Failure(kind, "no leader is reachable", _NO_LEADER_RETRY_AFTER_S)
        return self._answer(now, job, failure, withdraw=True)

    def _job_offer(self, now: float, job: PendingJob) -> JobOffer:
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
            job.former_workers,
        )

    def _apply_end(
        self, now: float, host: str, job: PendingJob, report: JobEnded
    ) -> list[SubmissionAction]:
        if not report.error:
            self._transfers.counts["completed"] += bool(job.transfers)
            return self._answer(now, job, None, withdraw=job.leader != host)
        if report.elsewhere:
            overloaded = report.error == ErrorKind.OVERLOADED.value
            offer = self._transfer if overloaded else self._offer_elsewhere
            actions = offer(now, job, report)
            if actions:
                return actions
        kind = ErrorKind(report.error)
        if report.not_run and (job.handovers or job.may_have_run):
            # An earlier leader may have started some of its tasks.
            report = report._replace(not_run=False)
        # An answer of this kind would claim that no task was started.
        if not report.not_run and ANSWERS[kind].run_state is RunState.NOT_RUN:
            cancelled = kind is ErrorKind.CANCELLED
            kind = ErrorKind.STOPPED if cancelled else ErrorKind.WORKER_LOST
        failure = Failure(kind, report.detail, report.retry_after_s or None)
        return self._answer(now, job, failure, withdraw=False)

    def _offer_elsewhere(
        self, now: float, job: PendingJob, report: JobEnded
    ) -> list[SubmissionAction]:
        """Offer a job to another leader, if one is known that has usable workers.

        The leader that gave it back has no run of it left, so this is no handover:
        the next leader need not wait for runs that it does not know of.
        """
        job.refused_by.add(job.leader)
        job.done.update(report.done)
        job.may_have_run = job.may_have_run or not report.not_run
        others = self._leaders_beside(job.refused_by)
        if not any(leader.load.cores > 0 for leader in others.values()):
            return []
        job.leader, job.tenure = "", 0
        job.handovers -= 1  # the next offer counts one
        return self._offer_job(now, job)

    def _candidates(self, job: PendingJob) -> Mapping[str, LeaderView]:
        """Return the leaders among which to choose one for a job."""
        if job.refused_by:
            return self._leaders_beside(job.refused_by) or self._open_leaders
        if job.leader and job.led_nearby:
            # The next leader of its workers adopts its runs, and reports no capacity
            # before these have replied.
            successors = {n: v for n, v in self._leaders.items() if v.same_data_centre}
            if successors:
                return successors
        if job.handovers >= 0 and self._open_leaders is not self._leaders:
            # Its leader was lost. Runs of it on evacuated workers can finish only if
            # the next leader of these workers gets it; that one gives it back if there
            # are none.
            successors = {
                name: leader
                for name, leader in self._leaders.items()
                if leader.evacuated and leader.same_data_centre
            }
            return successors or self._open_leaders
        return self._open_leaders

    def _transfer(
        self, now: float, job: PendingJob, report: JobEnded
    ) -> list[SubmissionAction]:
        """Offer a job that was given back untouched to a leader with capacity.

        While another submission of the same job waits here, its leader may run the
        job, so the refusal stands.
        """
        job.refused_by.add(job.leader)
        targets: Mapping[str, LeaderView] = {}
        if (
            job.transfers < MAX_TRANSFERS
            and report.not_run
            and not (job.handovers or job.may_have_run or job.done)
            and len(self._by_id[job.submission.job_id]) == 1
        ):
            others = self._leaders_beside(job.refused_by)
            left_s = job.deadline - now
            targets = find_targets(
                others,
                job.needs_cores,
                left_s,
                report,
                job.submission.steps,
                self.remote_slowdown,
            )
        if not targets:
            self._transfers.counts["stands"] += 1
            return []
        self._transfers.counts["offered"] += 1
        former, job.leader, job.tenure = job.leader, "", 0
        job.transfers += 1
        job.handovers -= 1  # the next offer counts one
        offered = self._offer_job(now, job, targets)
        transferred = JobTransferred(
            job.submission.job_id,
            former,
            job.leader,
            job.transfers,
            round(report.wait_s, 4),
            round(report.run_s, 4),
            round(job.deadline - now, 4),
            len(targets),
        )
        # An offer that was repeated may still be on its way to the former leader.
        withdrawn = JobWithdrawn(job.submission.job_id)
        withdraw = WithdrawFromLeader(former, withdrawn)
        return [withdraw, LogDecision(transferred), *offered]

    def _leaders_beside(self, refused_by: set[str]) -> dict[str, LeaderView]:
        """Return the leaders that new jobs may go to, without some of them."""
        return {n: v for n, v in self._open_leaders.items() if n not in refused_by}

    def _answer(
        self, now: float, job: PendingJob, failure: Failure | None, withdraw: bool
    ) -> list[SubmissionAction]:
        submission = job.submission
        self._remove(job)
        self._answer_times.note(submission, now - job.received_at, failure)
        answered = JobAnswered(
            submission.job_id,
            submission.route.name,
            failure.kind.value if failure else "complete",
            failure.detail if failure else "",
            job.leader,
            job.offers,
            round(now - job.received_at, 4),
            round(submission.limit_s, 4),
            "caller" if submission.limited_by_caller else "route",
            job.number,
            withdraw,
        )
        actions: list[SubmissionAction] = [LogDecision(answered)]
        if withdraw:
            actions += self._withdraw(job)
        return [*actions, AnswerCaller(job.number, failure)]

    def _remove(self, job: PendingJob) -> None:
        job_id = job.submission.job_id
        del self._jobs[job.number]
        numbers = self._by_id[job_id]
        numbers.discard(job.number)
        if not numbers:
            del self._by_id[job_id]

    def _withdraw(self, job: PendingJob) -> list[SubmissionAction]:
        if not job.leader:
            return []
        withdrawn = JobWithdrawn(job.submission.job_id)
        return [WithdrawFromLeader(job.leader, withdrawn)]
