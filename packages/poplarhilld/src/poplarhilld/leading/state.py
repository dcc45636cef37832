"""What the leader of some workers decides."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from poplarhill.exceptions import ErrorKind
from poplarhill.types import Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.admission import (
    COME_BACK_S,
    Refusal,
    expected_wait_s,
    fits_in_time,
    refusal,
)
from poplarhilld.leading.demand import Demand
from poplarhilld.leading.estimates import RunTimes, SeenRun
from poplarhilld.leading.fitness import SILENT_S, Fitness
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leading.memory import Memory
from poplarhilld.leading.messages import (
    JobClosed,
    JobTaken,
    LeaderAction,
    Order,
    QueryWorker,
    RenewLease,
    ReportJob,
    RunOrdered,
    RunResolved,
    StartRun,
    StopRun,
    WorkerConfirmed,
    WorkerReleased,
    WorkerState,
    WorkerTaken,
)
from poplarhilld.leading.order import price, rank
from poplarhilld.leading.placement import (
    affords_slow,
    choose_worker,
    fastest,
    is_short,
    slowest_taken,
    without,
)
from poplarhilld.leading.runs import RunTable
from poplarhilld.leases import (
    LeasedWorker,
    LeaseReply,
    OrderOutcome,
    OrderReply,
    Renewal,
    RenewalFailure,
    Reservation,
    ReservationState,
    Run,
    RunClosed,
    RunDiscovered,
    RunOutcome,
    TokenSource,
)
from poplarhilld.peers.messages import (
    JobEnded,
    JobOffer,
    JobProgress,
    JobWithdrawn,
    Load,
)

HANDOVER_S = 1.2  # the leader before notices a cut as late, and stops what it started
_RENEWAL_RETRY_S = 0.05  # 20 tries within a lease of 1 s
_LONGEST_RETRY_S = 0.5  # a worker that is back is found within half a second
_REFUSED_RETRY_S = 0.2  # the process is gone; its successor has another name
_FENCED_PAUSE_S = 0.5  # lets the other leader's claim arrive first
_STALL_FACTOR = 4.0  # work varies by a factor of 4 at most
_STALL_S = 0.25  # shorter stalls cost less than a second start
_TOLERANCE = 1e-6  # cores are sums of thousandths


class _Listener(NamedTuple):
    host: str
    offer_number: int


class Leader:
    """Leads some workers: holds their leases, places tasks, resolves doubts.

    Args:
        tokens: Source of fencing tokens.
        lease_s: Longest lease that a worker grants, s.
    """

    def __init__(self, tokens: TokenSource, lease_s: float) -> None:
        self._tokens = tokens
        self._lease_s = lease_s
        self._workers: dict[str, LeasedWorker] = {}
        self._entries: Mapping[str, WorkerEntry] = {}
        self._elsewhere: frozenset[str] = frozenset()
        self._retry_s: dict[str, float] = {}
        self._paused: dict[str, float] = {}
        self._lost: set[str] = set()
        self._jobs: dict[str, LedJob] = {}
        self._queue: dict[str, LedJob] = {}
        self._listeners: dict[str, set[_Listener]] = {}
        self._settled = False
        self._runs = RunTable()
        self._memory = Memory()
        self._times = RunTimes()
        self._demand = Demand()
        self._fitness = Fitness()

    @property
    def workers(self) -> Mapping[str, LeasedWorker]:
        """Workers that this host leads, by name."""
        return self._workers

    @property
    def jobs(self) -> Mapping[str, LedJob]:
        """Jobs that were taken and are not closed, by id."""
        return self._jobs

    @property
    def ejected(self) -> tuple[str, ...]:
        """Names of the workers that get probes only."""
        return self._fitness.ejected

    @property
    def waiting(self) -> dict[str, int]:
        """Count of jobs of which nothing has started, by route."""
        counts: dict[str, int] = {}
        for job in self._jobs.values():
            if not job.runs and not job.stopping:
                counts[job.offer.route] = counts.get(job.offer.route, 0) + 1
        return counts

    def load(self, now: float) -> Load:
        """Return how busy this leader is."""
        cores = free = 0.0
        for worker in self._workers.values():
            if self._is_usable(worker):
                cores += worker.entry.room.cores
                free += max(0.0, worker.free_capacity().cores)
        queued = sum(job.open_room_s for job in self._jobs.values() if not job.runs)
        return Load(cores, free, queued)

    def set_workers(
        self,
        now: float,
        time_s: float,
        entries: Mapping[str, WorkerEntry],
        elsewhere: frozenset[str] = frozenset(),
    ) -> list[LeaderAction]:
        """Lead just these workers from now on.

        Args:
            now: The leader's clock, s.
            time_s: Time of day, s since the epoch.
            entries: The workers by name.
            elsewhere: Names of the workers that other hosts lead.
        """
        actions: list[LeaderAction] = []
        if entries != self._entries or elsewhere != self._elsewhere:
            self._settled = False
        self._entries = entries
        self._elsewhere = elsewhere
        for name in self._workers.keys() & elsewhere:
            if not self._workers[name].fenced:
                actions += self._fence(now, self._workers[name])
        for name, entry in entries.items():
            worker = self._workers.get(name)
            if worker is None:
                actions += self._take(now, time_s, entry)
                continue
            worker.entry = entry
            if worker.fenced and now >= self._paused[name]:
                actions += self._retake(now, time_s, worker)
        return actions + self._assign(now)

    def resign(self) -> list[LeaderAction]:
        """Lead nothing any more; what runs is the next leader's."""
        actions: list[LeaderAction] = []
        for name in list(self._workers):
            actions += self._release(name, "this host leads nothing any more")
        self._entries = {}
        for job in list(self._jobs.values()):
            self._drop(job)
        return actions

    def offer(self, now: float, host: str, number: int, offer: JobOffer) -> list:
        """Take a job from an entry host, or refuse it."""
        listener = _Listener(host, number)
        job = self._jobs.get(offer.job_id)
        if job is not None:
            return self._join(now, job, listener, offer)
        if self._memory.is_cancelled(now, offer.job_id):
            cancelled = Refusal(ErrorKind.CANCELLED, "the job was cancelled")
            return self._refuse(listener, offer, now, cancelled)
        completion = self._memory.completion(offer.job_id)
        if completion is not None:
            return [ReportJob(host, completion)]
        answered = self._memory.answer((listener, offer.job_id))
        if answered is not None:
            return [ReportJob(host, answered)]
        self._note_patience(now, offer)
        job = self._led(now, host, offer)
        for task in job.tasks:
            if self._memory.is_done(task.name):
                job.finish(task)
        self._demand.arrived(now, offer.route, job.open_room_s)
        job.price = price(now, job, self._demand)
        wait_s = self._expected_wait_s(now, job)
        refused = self._check(now, job, wait_s)
        if refused is not None and not self._runs.orphans_of(job):
            return self._refuse(listener, offer, now, refused)
        self._jobs[offer.job_id] = self._queue[offer.job_id] = job
        self._settled = False
        self._listeners[offer.job_id] = {listener}
        self._runs.add_job(job)
        self._adopt_orphans(now, job)
        actions: list[LeaderAction] = [LogDecision(self._taken(job, wait_s, "taken"))]
        if job.complete:
            return actions + self._close(now, job, JobEnded(job.job_id))
        return actions + self._assign(now)

    def withdraw(self, now: float, host: str, withdrawn: JobWithdrawn) -> list:
        """Stop a job whose caller has left or has cancelled it."""
        if withdrawn.cancelled:
            self._memory.note_cancel(now, withdrawn.job_id)
        job = self._jobs.get(withdrawn.job_id)
        if job is None or job.stopping:
            return []
        listeners = self._listeners[withdrawn.job_id]
        if withdrawn.cancelled:
            report = _ended(job, ErrorKind.CANCELLED, "the job was cancelled")
            return self._close(now, job, report)
        listeners -= {one for one in listeners if one.host == host}
        if listeners:
            return []
        report = _ended(job, ErrorKind.STOPPED, "the caller has left")
        return self._close(now, job, report)

    def host_lost(self, now: float, host: str) -> list[LeaderAction]:
        """Stop the jobs of an entry host that is not heard any more."""
        actions: list[LeaderAction] = []
        for job_id in list(self._jobs):
            actions += self.withdraw(now, host, JobWithdrawn(job_id))
        return actions

    def handle_renewal_reply(
        self,
        now: float,
        name: str,
        renewal: Renewal,
        reply: LeaseReply | RenewalFailure,
    ) -> list[LeaderAction]:
        """Take in the answer to the renewal that waits, and send the next."""
        worker = self._workers.get(name)
        if worker is None or worker.token != renewal.token:
            return []
        if not isinstance(reply, LeaseReply):
            return self._not_renewed(now, worker, reply)
        self._retry_s.pop(name, None)
        actions = self._take_state(now, worker, renewal, reply)
        actions.append(RenewLease(worker.entry, worker.next_renewal(now)))
        return actions + self._assign(now)

    def handle_state_reply(
        self,
        now: float,
        name: str,
        renewal: Renewal,
        reply: LeaseReply | RenewalFailure,
    ) -> list[LeaderAction]:
        """Take in the answer to a look beside the renewal that waits."""
        worker = self._workers.get(name)
        if worker is None or worker.token != renewal.token:
            return []
        if not isinstance(reply, LeaseReply):
            return []
        return self._take_state(now, worker, renewal, reply) + self._assign(now)

    def handle_start_reply(
        self, now: float, name: str, run: Run, reply: OrderReply
    ) -> list[LeaderAction]:
        """Take in the answer to an order to start a run."""
        worker = self._workers.get(name)
        if worker is None:
            return []
        actions: list[LeaderAction] = []
        changes = worker.apply_order_reply(now, run, reply)
        match reply.outcome:
            case OrderOutcome.OUTDATED:
                task = self._runs.task_of(name, run)
                if task is not None:
                    # The worker has seen a higher number under an earlier leader.
                    task.next_number += 8
            case OrderOutcome.UNKNOWN:
                self._fitness.suspect(now, name)
                actions += self._stop(now, worker, run)
            case OrderOutcome.UNHEALTHY | OrderOutcome.INVALID:
                if self._fitness.unhealthy(now, name):
                    actions.append(_state(now, worker, "ejected", reply.outcome.value))
            case OrderOutcome.FENCED:
                actions += self._fence(now, worker)
            case OrderOutcome.REPLACED:
                self._fitness.suspect(now, name)
        for change in changes:
            actions += self._apply(now, worker, change)
        return actions + self._assign(now)

    def handle_stop_reply(
        self, now: float, name: str, run: Run, answered: bool
    ) -> list:
        """Take in the answer to an order to stop a run."""
        worker = self._workers.get(name)
        if worker is None or not answered:
            return []
        worker.apply_stop_reply(now, run)
        if worker.find(run) is None:
            return []
        return [
            QueryWorker(worker.entry, worker.next_renewal(now)._replace(wait_s=0.0))
        ]

    def tick(self, now: float) -> list[LeaderAction]:
        """Do what time alone makes due."""
        actions: list[LeaderAction] = []
        for worker in list(self._workers.values()):
            actions += self._watch(now, worker)
        for run, name, _ in self._runs.unclaimed(now):
            if name in self._workers:
                actions += self._stop(now, self._workers[name], run)
        for job in list(self._jobs.values()):
            actions += self._expire(now, job)
        self._settled = False
        return actions + self._assign(now)

    # Workers

    def _take(self, now: float, time_s: float, entry: WorkerEntry) -> list:
        token = self._tokens.next(time_s)
        worker = LeasedWorker(entry, token, self._lease_s, now)
        self._workers[entry.name] = worker
        return self._begin(now, worker, "led here")

    def _retake(self, now: float, time_s: float, worker: LeasedWorker) -> list:
        """Take a worker back from a leader that should not lead it."""
        worker.reclaim(now, self._tokens.next(time_s))
        return self._begin(now, worker, "taken back")

    def _begin(self, now: float, worker: LeasedWorker, reason: str) -> list:
        """Renew the lease on a worker for the first time under its token."""
        entry = worker.entry
        address = f"{entry.address.host}:{entry.address.port}"
        taken = WorkerTaken(entry.name, address, worker.token, reason)
        return [LogDecision(taken), RenewLease(entry, worker.next_renewal(now))]

    def _fence(self, now: float, worker: LeasedWorker) -> list[LeaderAction]:
        """Order nothing there; what runs goes on under the other leader."""
        name = worker.entry.name
        worker.fenced = True
        self._paused[name] = now + _FENCED_PAUSE_S
        return [_state(now, worker, "fenced", "another leader has taken it")]

    def _release(self, name: str, reason: str) -> list[LeaderAction]:
        """Let a worker go."""
        worker = self._workers.pop(name)
        self._settled = False
        self._lost.discard(name)
        self._paused.pop(name, None)
        self._fitness.forget(name)
        self._times.forget(name)
        held = list(worker.reservations)
        for reservation in held:
            self._runs.closed(name, reservation.run)
            self._let_go(name, reservation.run)
        released = WorkerReleased(name, worker.token, reason, len(held))
        return [LogDecision(released)]

    def _not_renewed(
        self, now: float, worker: LeasedWorker, lost: RenewalFailure
    ) -> list[LeaderAction]:
        name = worker.entry.name
        match lost:
            case RenewalFailure.FENCED:
                return self._fence(now, worker)
            case RenewalFailure.REPLACED:
                actions = self._lose(now, worker, lost.value, dead=True)
                pause_s = _REFUSED_RETRY_S
            case RenewalFailure.REFUSED:
                # A cut may refuse connections as well: the lease decides.
                actions = self._lose(now, worker, lost.value)
                pause_s = _REFUSED_RETRY_S
            case _:
                actions = []
                pause_s = self._retry_s.get(name, _RENEWAL_RETRY_S)
                self._retry_s[name] = min(2 * pause_s, _LONGEST_RETRY_S)
        actions.append(RenewLease(worker.entry, worker.next_renewal(now), pause_s))
        return actions

    def _lose(
        self, now: float, worker: LeasedWorker, reason: str, dead: bool = False
    ) -> list[LeaderAction]:
        """Start elsewhere what cannot be running on a worker any more."""
        name = worker.entry.name
        actions: list[LeaderAction] = []
        if name not in self._lost:
            self._lost.add(name)
            actions.append(_state(now, worker, "lost", reason))
        if dead or worker.lease_has_expired(now):
            for run in worker.expired_runs():
                task = self._runs.task_of(name, run)
                if task is not None and task.run == run:
                    self._let_go(name, run)
                    task.avoid.add(name)
        return actions

    def _watch(self, now: float, worker: LeasedWorker) -> list[LeaderAction]:
        name = worker.entry.name
        if worker.fenced:
            if name not in self._entries and now - self._paused[name] > HANDOVER_S:
                # Its leader has stopped or adopted by now what ran there.
                return self._release(name, "another host leads it, or it is gone")
            return []
        idle = not any(True for _ in worker.reservations)
        if name not in self._entries and (idle or worker.lease_has_expired(now)):
            return self._release(name, "it is gone")
        if worker.confirmed and now - worker.last_reply_at > SILENT_S:
            return self._lose(now, worker, "silent")
        actions: list[LeaderAction] = []
        for held in list(worker.reservations):
            task = self._runs.task_of(name, held.run)
            if self._runs.is_stopping(name, held.run):
                actions += self._stop(now, worker, held.run)
            elif held.state is ReservationState.RUNNING and task is not None:
                actions += self._check_stall(now, worker, task, held)
        return actions

    def _check_stall(
        self, now: float, worker: LeasedWorker, task: LedTask, held: Reservation
    ) -> list[LeaderAction]:
        """Move a task that stands still, unless the worker is just slow."""
        job = self._runs.job_of(task.name)
        expected_s = job.expected_s(task)
        limit_s = max(_STALL_FACTOR * expected_s, expected_s + _STALL_S)
        if now - held.running_since < limit_s or now + expected_s > job.deadline:
            return []
        name = worker.entry.name
        self._fitness.stalled(name, held.run)
        task.avoid.add(name)
        return self._stop(now, worker, held.run)

    def _take_state(
        self, now: float, worker: LeasedWorker, renewal: Renewal, reply: LeaseReply
    ) -> list[LeaderAction]:
        name = worker.entry.name
        actions: list[LeaderAction] = []
        was_confirmed = worker.confirmed
        changes = worker.apply_renewal_reply(now, renewal, reply)
        if not was_confirmed:
            self._settled = False
            confirmed = WorkerConfirmed(
                name, worker.token, len(reply.running), now - renewal.sent_at
            )
            actions.append(LogDecision(confirmed))
        if name in self._lost:
            self._lost.discard(name)
            self._settled = False
            actions.append(_state(now, worker, "back", "it answers"))
        for change in changes:
            actions += self._apply(now, worker, change)
        return actions

    def _is_usable(self, worker: LeasedWorker) -> bool:
        entry = worker.entry
        return (
            worker.confirmed
            and not worker.fenced
            and entry.name in self._entries
            and not entry.draining
            and entry.name not in self._lost
        )

    # Runs

    def _apply(
        self, now: float, worker: LeasedWorker, change: RunClosed | RunDiscovered
    ) -> list[LeaderAction]:
        self._settled = False
        match change:
            case RunDiscovered(run):
                return self._found(now, worker, run)
            case RunClosed(run, fate):
                return self._closed(now, worker, run, fate)

    def _found(self, now: float, worker: LeasedWorker, run: Run) -> list:
        name = worker.entry.name
        task = self._runs.task_of(name, run)
        if task is not None and task.run == run:
            return []
        job = self._runs.job_of(run.task)
        if job is None:
            self._runs.found_orphan(now, run, name)
            return []
        task = next(task for task in job.tasks if task.name == run.task)
        worker.set_needs(run, task.spec.needs)
        if task.waiting and not job.stopping:
            self._runs.found(now, run, task, name)
            return []
        return self._stop(now, worker, run)

    def _adopt_orphans(self, now: float, job: LedJob) -> None:
        for (run, name, _), task in self._runs.orphans_of(job):
            worker = self._workers.get(name)
            if worker is None:
                continue
            worker.set_needs(run, task.spec.needs)
            if task.waiting:
                self._runs.closed(name, run)
                self._runs.found(now, run, task, name)
                job.runs += 1

    def _closed(
        self, now: float, worker: LeasedWorker, run: Run, fate: RunOutcome
    ) -> list[LeaderAction]:
        name = worker.entry.name
        self._runs.closed(name, run)
        task = self._runs.task_of(name, run)
        if task is None:
            if fate is RunOutcome.DONE and self._runs.job_of(run.task) is None:
                self._memory.note_done(run.task)
            return []
        job = self._runs.job_of(task.name)
        self._let_go(name, run)
        took_s = now - task.ordered_at
        resolved = RunResolved(
            task.name, run.number, name, fate.value, round(took_s, 4)
        )
        actions: list[LeaderAction] = [LogDecision(resolved)]
        match fate:
            case RunOutcome.DONE:
                job.finish(task)
                if not task.found:
                    seen = SeenRun(name, task.spec.run_time_s, took_s)
                    job.seen.append(seen)
                if self._fitness.succeeded(now, name, run):
                    actions.append(_state(now, worker, "restored", "probes were done"))
            case RunOutcome.FAILED:
                task.failures += 1
                task.avoid.add(name)
                if self._fitness.failed(now, name, run, job.job_id, len(self._workers)):
                    actions.append(_state(now, worker, "ejected", "tasks failed"))
            case RunOutcome.ENDED | RunOutcome.NEVER_STARTED:
                self._fitness.ended(now, name, run)
        return actions + self._advance(now, job, task)

    def _let_go(self, worker: str, run: Run) -> None:
        """Note that a run is not under way any more; its task may wait again."""
        task = self._runs.task_of(worker, run)
        self._runs.forget(worker, run)
        job = None if task is None else self._runs.job_of(task.name)
        if job is not None:
            self._queue[job.job_id] = job
            self._settled = False

    def _advance(self, now: float, job: LedJob, task: LedTask) -> list:
        """Report what the end of a run means for its job."""
        if job.stopping:
            if not job.under_way:
                self._drop(job)
            return []
        if job.complete:
            return self._close(now, job, JobEnded(job.job_id))
        if task.failures >= job.offer.max_attempts:
            detail = f"task {task.number} failed {task.failures} times"
            return self._close(now, job, _ended(job, ErrorKind.TASK_FAILED, detail))
        if task.done and len(job.tasks) > 1:
            return self._report(job, JobProgress(job.job_id, (task.number,)))
        return []

    def _stop(self, now: float, worker: LeasedWorker, run: Run) -> list:
        """Tell a worker to stop a run, now and again until it is closed."""
        if not self._runs.may_stop(now, worker.entry.name, run):
            return []
        return [StopRun(worker.entry, run, worker.token)]

    # Jobs

    def _join(
        self, now: float, job: LedJob, listener: _Listener, offer: JobOffer
    ) -> list[LeaderAction]:
        """Let another offer of a job share its one outcome."""
        listeners = self._listeners[job.job_id]
        if listener in listeners and not job.stopping:
            return []
        if job.stopping:
            job.stopping = False
            self._settled = False
            job.taken_at = now - offer.elapsed_s
            listeners.clear()
        listeners.add(listener)
        job.deadline = max(job.deadline, now + offer.left_s)
        joined = LogDecision(self._taken(job, 0.0, "joined"))
        return [joined, *self._assign(now)]

    def _check(self, now: float, job: LedJob, wait_s: float) -> Refusal | None:
        service = job.offer.service
        ours = [w for w in self._workers.values() if w.entry.service == service]
        answering = any(self._is_usable(w) or w.awaits_first_reply(now) for w in ours)
        return refusal(now, job, ours, answering, wait_s)

    def _led(self, now: float, host: str, offer: JobOffer) -> LedJob:
        """Return a job with what is expected of its run times."""
        step_s = [
            self._times.expected_s(offer.route, step.run_time_s) for step in offer.steps
        ]
        patience_s = offer.elapsed_s + offer.left_s
        usual_s = self._demand.usual_patience_s(now, offer.route)
        waited_s = max(0.0, usual_s - patience_s)
        return LedJob(offer, host, now, step_s, waited_s)

    def _note_patience(self, now: float, offer: JobOffer) -> None:
        """Take in how long callers wait; one that asks again has less time left."""
        patience_s = offer.elapsed_s + offer.left_s
        usual_s = self._demand.usual_patience_s(now, offer.route)
        self._demand.waits(now, offer.route, patience_s)
        if not 0 < usual_s < patience_s:
            return
        for job in self._queue.values():
            if job.offer.route == offer.route:
                job.due -= patience_s - usual_s

    def _expected_wait_s(self, now: float, job: LedJob) -> float:
        usable = [w for w in self._workers.values() if self._is_usable(w)]
        return expected_wait_s(now, job, self._queue.values(), usable)

    def _refuse(
        self, listener: _Listener, offer: JobOffer, now: float, refused: Refusal
    ) -> list[LeaderAction]:
        host = listener.host
        job = self._led(now, host, offer)
        kind, detail, retry_after_s = refused
        report = _ended(job, kind, detail, retry_after_s)
        self._memory.note_answer(now, (listener, offer.job_id), report)
        taken = self._taken(job, 0.0, f"refused: {kind.value}: {detail}")
        return [LogDecision(taken), ReportJob(host, report)]

    def _taken(self, job: LedJob, wait_s: float, outcome: str) -> JobTaken:
        offer = job.offer
        return JobTaken(
            offer.job_id,
            offer.route,
            job.host,
            len(job.tasks),
            offer.handovers,
            round(wait_s, 4),
            round(job.run_s, 4),
            len(self._jobs),
            outcome,
        )

    def _expire(self, now: float, job: LedJob) -> list[LeaderAction]:
        """Give up a job that cannot be done in time any more, at once."""
        if job.stopping:
            if not job.under_way:
                self._drop(job)
            return []
        if now >= job.deadline:
            kind = ErrorKind.EXPIRED if job.not_run else ErrorKind.TIMEOUT
            return self._close(now, job, _ended(job, kind, "its caller has left"))
        if job.not_run and not fits_in_time(now, job):
            detail = f"no room in time for work of {job.run_s:.2f} s"
            report = _ended(job, ErrorKind.OVERLOADED, detail, COME_BACK_S)
            return self._close(now, job, report)
        return []

    def _close(self, now: float, job: LedJob, report: JobEnded) -> list:
        """Report a job's outcome and stop what is left of it."""
        actions = self._report(job, report)
        self._memory.note_outcome(now, report)
        for listener in self._listeners[job.job_id]:
            self._memory.note_answer(now, (listener, job.job_id), report)
        closed = JobClosed(
            job.job_id,
            report.error or "complete",
            report.detail,
            round(now - job.taken_at, 4),
            job.runs,
        )
        actions.append(LogDecision(closed))
        self._times.ran(job.offer.route, job.seen)
        job.stopping = True
        self._listeners[job.job_id].clear()
        for task in job.under_way:
            worker = self._workers.get(task.worker)
            if worker is not None:
                actions += self._stop(now, worker, task.run)
        if not job.under_way:
            self._drop(job)
        return actions

    def _report(self, job: LedJob, report: JobEnded | JobProgress) -> list:
        hosts = {listener.host for listener in self._listeners[job.job_id]}
        return [ReportJob(host, report) for host in sorted(hosts)]

    def _drop(self, job: LedJob) -> None:
        self._jobs.pop(job.job_id, None)
        self._queue.pop(job.job_id, None)
        self._listeners.pop(job.job_id, None)
        self._runs.drop_job(job)

    # Placement

    def _assign(self, now: float) -> list[LeaderAction]:
        """Start what fits, in the order of the queue, if anything can fit anew."""
        if self._settled:
            return []
        self._settled = True
        least: dict[str, float] = {}
        for job_id, job in list(self._queue.items()):
            least[job_id] = job.least_cores
            if least[job_id] == math.inf:
                del self._queue[job_id]
        if not self._queue:
            return []
        usable = self._startable(now)
        if not usable:
            return []
        free = {worker.entry.name: worker.free_capacity() for worker in usable}
        largest = max(room.cores for room in free.values()) + _TOLERANCE
        waiting = [
            job
            for job_id, job in self._queue.items()
            if least[job_id] <= largest and self._may_run(now, job)
        ]
        if len(waiting) > 1:
            waiting.sort(key=lambda job: rank(now, job))
        short = is_short(free, usable)
        left = largest
        fast = fastest(usable, self._times)
        actions: list[LeaderAction] = []
        for job in waiting:
            if least[job.job_id] > left:
                continue
            spare_fast = short and affords_slow(now, job)
            slowest = slowest_taken(now, job, fast)
            for task in job.ready_tasks():
                if task.spec.needs.cores > largest:
                    continue
                if task.spec.needs.cores > left:
                    break
                worker = choose_worker(
                    job, task, usable, free, self._times, spare_fast, slowest
                )
                if worker is None:
                    if slowest < math.inf:
                        self._settled = False  # in a moment it takes any worker
                    break
                actions += self._start(now, job, task, worker, free, len(usable))
                left = max(room.cores for room in free.values()) + _TOLERANCE
                if not self._may_start(now, worker):
                    usable.remove(worker)  # it got its one probe
                    self._settled = False
        return actions

    def _startable(self, now: float) -> list[LeasedWorker]:
        """Return the workers that may be given tasks now."""
        usable = [w for w in self._workers.values() if self._is_usable(w)]
        found = [w for w in usable if self._fitness.may_start(now, w.entry.name)]
        if len(found) < len(usable):
            self._settled = False  # time alone may bring the others back
        return found

    def _may_start(self, now: float, worker: LeasedWorker) -> bool:
        return self._is_usable(worker) and self._fitness.may_start(
            now, worker.entry.name
        )

    def _may_run(self, now: float, job: LedJob) -> bool:
        """Return whether a job's tasks may start, wherever it was before."""
        if job.stopping:
            return False
        if not job.offer.handovers or now >= job.offered_at + HANDOVER_S:
            return True
        self._settled = False  # time alone may let it start
        if self._elsewhere:
            return False
        return all(w.confirmed and not w.fenced for w in self._workers.values())

    def _start(
        self,
        now: float,
        job: LedJob,
        task: LedTask,
        worker: LeasedWorker,
        free: dict[str, Resources],
        candidates: int,
    ) -> list[LeaderAction]:
        name = worker.entry.name
        needs = task.spec.needs
        run = Run(task.name, task.next_number)
        deadline_s = worker.reserve(now, run, needs)
        job.runs += 1
        self._runs.started(now, run, task, name)
        self._fitness.started(name, run)
        before = free[name]
        free[name] = without(before, needs)
        placed = RunOrdered(
            task.name,
            run.number,
            name,
            round(before.cores, 3),
            round(now - job.taken_at, 4),
            candidates,
        )
        order = Order(run, job.offer.body, deadline_s, worker.token)
        return [LogDecision(placed), StartRun(worker.entry, order)]


def _ended(
    job: LedJob, kind: ErrorKind, detail: str, retry_after_s: float = 0.0
) -> JobEnded:
    return JobEnded(job.job_id, kind.value, detail, retry_after_s, job.not_run)


def _state(now: float, worker: LeasedWorker, state: str, reason: str) -> LogDecision:
    heard_s = round(now - worker.last_reply_at, 3)
    return LogDecision(WorkerState(worker.entry.name, state, reason, heard_s))
