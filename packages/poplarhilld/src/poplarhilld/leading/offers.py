"""Accepts or refuses the jobs that entry hosts offer."""

import math

from poplarhill.exceptions import ErrorKind
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.admission import (
    RETRY_AFTER_S,
    Refusal,
    expected_wait_s,
    find_refusal,
    find_starved,
    fits_in_time,
)
from poplarhilld.leading.assignment import Assignment
from poplarhilld.leading.closing import JobCloser, job_ended
from poplarhilld.leading.evacuated import EvacuatedJobs
from poplarhilld.leading.handover import cannot_start, may_know_all_runs
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.late import LateOffers
from poplarhilld.leading.messages import (
    JobTaken,
    LeaderAction,
    OfferAnswered,
    OfferIgnored,
    ReportJob,
    SendClock,
)
from poplarhilld.leading.order import core_second_cost
from poplarhilld.leading.outcomes import RunOutcomes, crash_detail
from poplarhilld.leading.run_queries import RunQueries
from poplarhilld.leading.shared import LeaderState, Subscriber
from poplarhilld.leading.suspects import find_deadly_task
from poplarhilld.leading.transfer import give_back
from poplarhilld.peers.messages import (
    JobEnded,
    JobOffer,
    JobProgress,
)

_STARVED_INTERVAL_S = 0.1  # a tenth of the shortest time limits of callers
# A tick this late shows that the process was paused or overloaded, so that repeated
# offers may wait unread for as long as `_READ_TIME_S`.
_LATE_TICK_S = 0.2
_READ_TIME_S = 0.1
_LATE_OFFER_S = 0.05  # less is within what a tick adds


class Offers:
    """Accepts jobs, or refuses those that cannot be completed in time.

    Args:
        state: State of the leader.
        closer: Ends jobs.
        outcomes: Applies what workers report of runs.
        assignment: Places tasks on workers.
        evacuated: Refuses jobs that only evacuated workers could run.
        late: Refuses new jobs while the host's processor is overloaded.
        queries: Asks the workers of former leaders for their runs.
    """

    def __init__(
        self,
        state: LeaderState,
        closer: JobCloser,
        outcomes: RunOutcomes,
        assignment: Assignment,
        evacuated: EvacuatedJobs,
        late: LateOffers,
        queries: RunQueries,
    ) -> None:
        self._state = state
        self._closer = closer
        self._outcomes = outcomes
        self._assignment = assignment
        self._evacuated = evacuated
        self._late = late
        self._queries = queries
        self._starved_check_at = 0.0
        self._ticked_at = -math.inf
        self._paused_at = -math.inf
        self._read_until = -math.inf

    def handle_offer(
        self,
        now: float,
        host: str,
        number: int,
        offer: JobOffer,
        age_s: float | None,
        workers_digests: tuple[int, ...],
    ) -> list:
        """Accept a job from an entry host, or refuse it.

        Ignores an offer that lapsed on its way, or may have: the host may have answered
        its caller or have offered the job elsewhere. It repeats the offer otherwise.
        """
        if age_s is None or age_s >= self._state.limits.lifetime_s:
            known_s = None if age_s is None else round(age_s, 4)
            ignored = OfferIgnored(offer.job_id, host, known_s)
            return [LogDecision(ignored), SendClock(host)]
        lapses_at = now - age_s + self._state.limits.lifetime_s
        if age_s >= _LATE_OFFER_S:
            offer = offer._replace(
                elapsed_s=offer.elapsed_s + age_s, left_s=offer.left_s - age_s
            )
        job = self._state.jobs.get(offer.job_id)
        if job is not None:
            job.workers_digests = workers_digests
        if job is not None and not job.stopping and lapses_at > job.offer_lapses_at:
            # Most offers are repeated ones, so these take few calls.
            job.offer_lapses_at = lapses_at
            if (host, number) in self._state.subscribers[offer.job_id]:
                if len(offer.done) < job.done_count:
                    return _repeat_progress(host, job)
                return []
        subscriber = Subscriber(host, number)
        if job is not None and not job.stopping:
            return self._subscribe(now, job, subscriber, offer, lapses_at)
        answered = self._state.history.answer((subscriber, offer.job_id))
        if job is not None and answered is None:
            return self._subscribe(now, job, subscriber, offer, lapses_at)
        if self._state.history.is_cancelled(now, offer.job_id):
            cancelled = Refusal(ErrorKind.CANCELLED, "the job was cancelled")
            return self._refuse(subscriber, offer, now, cancelled)
        completion = self._state.history.completion(offer.job_id)
        if completion is not None:
            return _answer_again(subscriber, completion)
        if answered is not None:
            return _answer_again(subscriber, answered)
        job = self._make_job(now, host, offer)
        job.offer_lapses_at = lapses_at
        job.workers_digests = workers_digests
        late = self._late.find_refusal(now, host, job)
        if late is not None:
            return self._refuse(subscriber, offer, now, late)
        self._note_timeout(offer)
        self._state.suspects.add_job(job)
        deadly = find_deadly_task(job, self._outcomes.has_crashed)
        if deadly is not None:
            self._state.suspects.drop_job(offer.job_id)
            refusal = Refusal(ErrorKind.TASK_FAILED, crash_detail(deadly))
            return self._refuse(subscriber, offer, now, refusal)
        if self._state.history.any_done:
            for task in job.tasks:
                if self._state.history.is_done(task.name):
                    job.finish(task)
        self._state.demand.note_arrival(now, offer.route, job.open_core_seconds)
        self._state.demand.note_work(now, offer.service, job.open_core_seconds)
        switched = self._state.lookahead.note_offer(offer, self._state.usable_workers())
        job.set_core_second_cost(core_second_cost(now, job, self._state.demand))
        wait_s = self._expected_wait_s(now, job)
        if self._state.locality.on:
            wait_s = self._state.locality.admit(now, job, self._state, wait_s)
        refusal = self._refusal_for(now, job, wait_s)
        if refusal is not None and not self._state.runs.orphans_of(job):
            self._state.suspects.drop_job(offer.job_id)
            return switched + self._refuse(subscriber, offer, now, refusal)
        self._state.jobs[offer.job_id] = job
        self._state.queue.add(job)
        self._state.placement_up_to_date = False
        self._state.subscribers[offer.job_id] = {subscriber}
        self._state.runs.add_job(job)
        adopted = self._outcomes.adopt_orphans(now, job)
        actions: list[LeaderAction] = [
            *switched,
            LogDecision(self._offer_line(job, subscriber, offer, wait_s, "taken")),
            *adopted,
        ]
        if job.done_count > len(offer.done):
            actions += _repeat_progress(host, job)
        if job.complete:
            return actions + self._closer.close_job(now, job, JobEnded(job.job_id))
        if offer.handovers:
            actions += self._queries.ask_for(now, job)
        return actions + self._assignment.assign(now)

    def _subscribe(
        self,
        now: float,
        job: LedJob,
        subscriber: Subscriber,
        offer: JobOffer,
        lapses_at: float,
    ) -> list[LeaderAction]:
        """Add a subscriber to a job that was accepted already."""
        subscribers = self._state.subscribers[job.job_id]
        if lapses_at > job.offer_lapses_at:
            job.offer_lapses_at = lapses_at
        if subscriber in subscribers and not job.stopping:
            return []
        if job.stopping:
            # Another leader may have had it since it was withdrawn here.
            job.offer, job.offered_at, job.handed_over_at = offer, now, now
            job.stopping = False
            self._state.placement_up_to_date = False
            job.arrived_at = now - offer.elapsed_s
            self._state.queue.update(job)
            subscribers.clear()
        elif offer.handovers:
            job.note_handover(now, offer)
        subscribers.add(subscriber)
        job.deadline = max(job.deadline, now + offer.left_s)
        joined = LogDecision(self._offer_line(job, subscriber, offer, 0.0, "joined"))
        return [joined, *self._assignment.assign(now)]

    def _refusal_for(self, now: float, job: LedJob, wait_s: float) -> Refusal | None:
        refusal = self._evacuated.find_refusal(now, job)
        if refusal is not None:
            return refusal
        service = job.offer.service
        service_workers = self._state.workers_of(service)
        reachable = any(
            self._state.is_usable(w) or w.awaits_first_reply(now)
            for w in service_workers
        )
        return find_refusal(now, job, service_workers, reachable, wait_s)

    def _make_job(self, now: float, host: str, offer: JobOffer) -> LedJob:
        """Return a new job with its expected run times."""
        step_s = [
            self._state.times.expected_s(offer.route, step.run_time_s)
            for step in offer.steps
        ]
        job = LedJob(offer, host, now, step_s, self._state.spread)
        usual_s = self._state.demand.usual_timeout_s(offer.route)
        if usual_s > offer.elapsed_s + offer.left_s:
            job.set_usual_timeout(usual_s)
        job.ran_before = self._state.history.was_ordered(offer.job_id)
        return job

    def _note_timeout(self, offer: JobOffer) -> None:
        """Note the timeout of the caller of a new job.

        If this changes the usual timeout of the route, the callers of its queued jobs
        have spent more or less time on earlier attempts than was assumed.
        """
        demand, route = self._state.demand, offer.route
        if not demand.note_timeout(route, offer.elapsed_s + offer.left_s):
            return
        usual_s = demand.usual_timeout_s(route)
        for job in self._state.queue.jobs:
            if job.offer.route == route:
                job.set_usual_timeout(usual_s)

    def _expected_wait_s(self, now: float, job: LedJob) -> float:
        cores = self._state.capacity().of_service(job.offer.service)
        return expected_wait_s(
            now, job, self._state.queue, self._state.suspects.job_ids, cores
        )

    def _refuse(
        self, subscriber: Subscriber, offer: JobOffer, now: float, refusal: Refusal
    ) -> list[LeaderAction]:
        host = subscriber.host
        job = self._make_job(now, host, offer)
        kind, detail, retry_after_s, elsewhere, wait_s = refusal
        report = job_ended(job, kind, detail, retry_after_s)
        report = report._replace(number=subscriber.offer_number)
        report = give_back(now, self._state, job, (subscriber,), report, wait_s)
        if elsewhere:
            report = report._replace(elsewhere=True, done=offer.done)
        self._state.history.note_answer(
            now, (subscriber, offer.job_id), report, job.deadline
        )
        refused = f"refused: {kind.value}: {detail}"
        line = self._offer_line(job, subscriber, offer, 0.0, refused)
        return [LogDecision(line), ReportJob(host, report)]

    def _offer_line(
        self,
        job: LedJob,
        subscriber: Subscriber,
        offer: JobOffer,
        wait_s: float,
        outcome: str,
    ) -> JobTaken:
        """Return the log line on an offer that was taken, joined or refused."""
        return JobTaken(
            offer.job_id,
            offer.route,
            job.host,
            len(job.tasks),
            offer.handovers,
            round(wait_s, 4),
            round(job.run_s, 4),
            len(self._state.jobs),
            outcome,
            subscriber.host,
            subscriber.offer_number,
            round(offer.elapsed_s, 4),
            round(offer.left_s, 4),
            job.ran_before,
            not offer.handovers or may_know_all_runs(offer, self._state.worker_sets),
        )

    def check_deadlines(self, now: float) -> list[LeaderAction]:
        """Close the jobs that can't meet their deadline or are not offered any more."""
        if now - self._ticked_at > _LATE_TICK_S:
            self._paused_at, self._read_until = self._ticked_at, now + _READ_TIME_S
        self._ticked_at = now
        actions: list[LeaderAction] = []
        for job in list(self._state.jobs.values()):
            # On most ticks nothing is due for most jobs, so this calls no function.
            if (
                job.stopping
                or job.offer.handovers
                or now >= job.offer_lapses_at
                or now + job.least_run_s >= job.deadline
            ):
                actions += self._check_deadline(now, job)
        return actions

    def _check_deadline(self, now: float, job: LedJob) -> list[LeaderAction]:
        if job.stopping:
            if not job.under_way:
                self._closer.forget_job(job)
            return []
        if now >= job.deadline:
            kind = ErrorKind.EXPIRED if job.not_run else ErrorKind.TIMEOUT
            return self._closer.close_job(
                now, job, job_ended(job, kind, "the deadline of the job has passed")
            )
        if now >= job.offer_lapses_at and not self._may_be_unread(now, job):
            return self._close_lapsed(now, job)
        if job.offer.handovers and cannot_start(now, job, self._state):
            detail = "its leader was lost, and its tasks may have run there"
            report = job_ended(job, ErrorKind.WORKER_LOST, detail)
            return self._closer.close_job(now, job, report)
        if job.offer.handovers:
            return self._queries.ask_for(now, job)
        if not fits_in_time(now, job) and job.not_run:
            detail = f"no free capacity in time for a run time of {job.run_s:.2f} s"
            report = job_ended(job, ErrorKind.OVERLOADED, detail, RETRY_AFTER_S)
            return self._closer.close_job(now, job, report)
        return []

    def _may_be_unread(self, now: float, job: LedJob) -> bool:
        """Return whether the repeated offer of a lapsed job may wait in a connection.

        That is so right after a pause of this process, unless repeats were missing
        before the pause.
        """
        lifetime_s = self._state.limits.lifetime_s
        offered_at = job.offer_lapses_at - lifetime_s
        return now < self._read_until and offered_at > self._paused_at - lifetime_s / 2

    def _close_lapsed(self, now: float, job: LedJob) -> list[LeaderAction]:
        """Close a job whose offer no host has repeated in time.

        If nothing of it was ordered, an offer that arrives later is taken as a new one.
        """
        detail = "its entry host has not repeated the offer"
        if job.not_run:
            self._state.subscribers[job.job_id].clear()
        report = job_ended(job, ErrorKind.WORKER_LOST, detail)
        return self._closer.close_job(now, job, report)

    def refuse_starved(self, now: float) -> list[LeaderAction]:
        """Refuse the jobs that wait and that will not start in time."""
        if now < self._starved_check_at or not self._state.queue:
            return []
        self._starved_check_at = now + _STARVED_INTERVAL_S
        by_service: dict[str, list[LedJob]] = {}
        for job in self._state.unsuspected_jobs():
            by_service.setdefault(job.offer.service, []).append(job)
        actions: list[LeaderAction] = []
        for service, jobs in by_service.items():
            cores = self._state.capacity().of_service(service).total
            arriving_cores = self._state.demand.work_rate(now, service)
            for job in find_starved(now, jobs, cores, arriving_cores):
                detail = (
                    f"late, and {arriving_cores:.0f} of {cores:.0f} cores are asked"
                )
                report = job_ended(job, ErrorKind.OVERLOADED, detail, RETRY_AFTER_S)
                # It would not start before its deadline.
                left_s = job.deadline - now
                waiting = self._state.subscribers[job.job_id]
                report = give_back(now, self._state, job, waiting, report, left_s)
                actions += self._closer.close_job(now, job, report)
        return actions


def _repeat_progress(host: str, job: LedJob) -> list[LeaderAction]:
    """Report the done tasks of a job to a host whose offer does not name all of them.

    If this leader is lost, only that host can tell the next one.
    """
    done = tuple(task.number for task in job.tasks if task.done)
    return [ReportJob(host, JobProgress(job.job_id, done))]


def _answer_again(subscriber: Subscriber, report: JobEnded) -> list[LeaderAction]:
    """Return the recorded outcome of a job to one that offers it again."""
    host, number = subscriber
    outcome = report.error or "complete"
    line = OfferAnswered(report.job_id, host, number, outcome)
    return [LogDecision(line), ReportJob(host, report)]
