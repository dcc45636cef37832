"""The decisions of a host that leads a group of workers.

The leader holds the leases on its workers, accepts or refuses the jobs that entry
hosts offer, places their tasks on workers and reports outcomes. It does no I/O:
each event returns the actions to take.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from poplarhill.exceptions import ErrorKind
from poplarhill.types import Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.admission import (
    RETRY_AFTER_S,
    Refusal,
    expected_wait_s,
    find_refusal,
    find_starved,
    fits_in_time,
)
from poplarhilld.leading.demand import Demand
from poplarhilld.leading.estimates import CompletedRun, RunTimes
from poplarhilld.leading.fitness import SILENCE_TIMEOUT_S, WorkerHealth
from poplarhilld.leading.handover import HANDOVER_WAIT_S, must_wait, waits_too_long
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leading.memory import JobHistory
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
    ShareLosses,
    StartRun,
    StopRun,
    WorkerConfirmed,
    WorkerReleased,
    WorkerState,
    WorkerTaken,
)
from poplarhilld.leading.order import core_second_cost, rank
from poplarhilld.leading.placement import (
    choose_worker,
    fast_slowdown,
    is_capacity_short,
    max_slowdown_for,
    subtract,
    tolerates_slow_worker,
)
from poplarhilld.leading.runs import RunTable
from poplarhilld.leading.spread import RunTimeSpread
from poplarhilld.leading.suspects import Suspects, find_deadly_task
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
    LostWorker,
    TaskLosses,
)

_RENEWAL_RETRY_S = 0.05  # 20 tries within a lease of 1 s
_MAX_RENEWAL_RETRY_S = 0.5  # notices within half a second that a worker is back
# After a refused connection or a reply by another worker: the process has probably
# ended, and it may restart under a new name.
_REFUSED_RETRY_S = 0.2
_STARVED_INTERVAL_S = 0.1  # a tenth of the shortest time limits of callers
_RECLAIM_DELAY_S = 0.5  # lets the claim of the other leader reach this host first
# Apart from degraded workers, run times vary by a factor of 4 at most.
_STALL_FACTOR = 4.0
_MIN_STALL_S = 0.25  # a shorter stall costs less than running the task again
_TOLERANCE = 1e-6  # rounding error of sums of cores, which are given in thousandths


class _Subscriber(NamedTuple):
    """An entry host that gets the reports on a job, and the number of its offer."""

    host: str
    offer_number: int


class Leader:
    """Leads a group of workers: holds their leases and places tasks on them.

    Args:
        tokens: Source of fencing tokens.
        lease_s: Longest lease that a worker grants, s.
    """

    def __init__(self, tokens: TokenSource, lease_s: float) -> None:
        self._tokens = tokens
        self._lease_s = lease_s
        self._workers: dict[str, LeasedWorker] = {}
        self._entries: Mapping[str, WorkerEntry] = {}
        self._not_led_here: frozenset[str] = frozenset()
        self._renewal_backoff_s: dict[str, float] = {}
        self._reclaim_at: dict[str, float] = {}
        self._lost: set[str] = set()
        # Lost workers whose address refused a connection: their process has ended,
        # or a partition refuses connections.
        self._refused: set[str] = set()
        # Workers that may run tasks; None after a change of a worker.
        self._usable: list[LeasedWorker] | None = None
        self._jobs: dict[str, LedJob] = {}
        self._queue: dict[str, LedJob] = {}
        self._subscribers: dict[str, set[_Subscriber]] = {}
        # Whether no task can start until an event or the time changes that.
        self._placement_up_to_date = False
        self._runs = RunTable()
        self._history = JobHistory()
        self._times = RunTimes()
        self._spread = RunTimeSpread()
        self._demand = Demand()
        self._starved_check_at = 0.0
        self._health = WorkerHealth()
        self._suspects = Suspects()

    @property
    def workers(self) -> Mapping[str, LeasedWorker]:
        """Workers that this host leads, by name."""
        return self._workers

    @property
    def jobs(self) -> Mapping[str, LedJob]:
        """Accepted jobs by id, until they are closed and none of their runs is left."""
        return self._jobs

    @property
    def ejected(self) -> tuple[str, ...]:
        """Names of the ejected workers; they get probes only."""
        return self._health.ejected

    @property
    def waiting(self) -> dict[str, int]:
        """Count of jobs without any run so far, by route."""
        counts: dict[str, int] = {}
        for job in self._jobs.values():
            if not job.run_count and not job.stopping:
                counts[job.offer.route] = counts.get(job.offer.route, 0) + 1
        return counts

    def load(self, now: float) -> Load:
        """Return the capacity, free capacity and queued work of this leader."""
        cores = free = 0.0
        for worker in self._usable_workers():
            cores += worker.entry.room.cores
            free += max(0.0, worker.free_capacity().cores)
        queued = sum(
            job.open_core_seconds for job in self._jobs.values() if not job.run_count
        )
        return Load(cores, free, queued)

    def set_workers(
        self,
        now: float,
        time_s: float,
        entries: Mapping[str, WorkerEntry],
        not_led_here: frozenset[str] = frozenset(),
    ) -> list[LeaderAction]:
        """Set the workers that this host leads.

        A worker that is no longer among them is released by a later tick, once it is
        idle, its lease has expired, or it has been fenced for some time.

        Args:
            now: The leader's clock, s.
            time_s: Time of day, s since the Unix epoch.
            entries: The workers by name.
            not_led_here: Names of the registered workers of the shards that this
                host does not lead.
        """
        actions: list[LeaderAction] = []
        if entries != self._entries or not_led_here != self._not_led_here:
            self._placement_up_to_date = False
            self._usable = None
        self._entries = entries
        self._not_led_here = not_led_here
        for name in self._workers.keys() & not_led_here:
            if not self._workers[name].fenced:
                actions += self._mark_fenced(now, self._workers[name])
        for name, entry in entries.items():
            worker = self._workers.get(name)
            if worker is None:
                actions += self._claim(now, time_s, entry)
                continue
            worker.entry = entry
            if worker.fenced and now >= self._reclaim_at[name]:
                actions += self._reclaim(now, time_s, worker)
        return actions + self._assign(now)

    def resign(self) -> list[LeaderAction]:
        """Release all workers and drop all jobs; the next leader adopts the runs."""
        actions: list[LeaderAction] = []
        for name in list(self._workers):
            actions += self._release(name, "this host no longer leads any workers")
        self._entries = {}
        self._usable = None
        for job in list(self._jobs.values()):
            self._forget_job(job)
        return actions

    def handle_offer(self, now: float, host: str, number: int, offer: JobOffer) -> list:
        """Accept a job from an entry host, or refuse it."""
        subscriber = _Subscriber(host, number)
        job = self._jobs.get(offer.job_id)
        if job is not None:
            return self._subscribe(now, job, subscriber, offer)
        if self._history.is_cancelled(now, offer.job_id):
            cancelled = Refusal(ErrorKind.CANCELLED, "the job was cancelled")
            return self._refuse(subscriber, offer, now, cancelled)
        completion = self._history.completion(offer.job_id)
        if completion is not None:
            return [ReportJob(host, completion)]
        answered = self._history.answer((subscriber, offer.job_id))
        if answered is not None:
            return [ReportJob(host, answered)]
        self._note_timeout(now, offer)
        job = self._make_job(now, host, offer)
        self._suspects.add_job(job)
        deadly = find_deadly_task(job, self._has_crashed)
        if deadly is not None:
            self._suspects.drop_job(offer.job_id)
            refusal = Refusal(ErrorKind.TASK_FAILED, _crash_detail(deadly))
            return self._refuse(subscriber, offer, now, refusal)
        for task in job.tasks:
            if self._history.is_done(task.name):
                job.finish(task)
        self._demand.note_arrival(now, offer.route, job.open_core_seconds)
        self._demand.note_work(now, offer.service, job.open_core_seconds)
        job.core_second_cost = core_second_cost(now, job, self._demand)
        wait_s = self._expected_wait_s(now, job)
        refusal = self._refusal_for(now, job, wait_s)
        if refusal is not None and not self._runs.orphans_of(job):
            self._suspects.drop_job(offer.job_id)
            return self._refuse(subscriber, offer, now, refusal)
        self._jobs[offer.job_id] = self._queue[offer.job_id] = job
        self._placement_up_to_date = False
        self._subscribers[offer.job_id] = {subscriber}
        self._runs.add_job(job)
        self._adopt_orphans(now, job)
        actions: list[LeaderAction] = [
            LogDecision(self._offer_line(job, wait_s, "taken"))
        ]
        if job.complete:
            return actions + self._close_job(now, job, JobEnded(job.job_id))
        return actions + self._assign(now)

    def handle_withdrawal(self, now: float, host: str, withdrawn: JobWithdrawn) -> list:
        """Stop a job that was cancelled or whose last caller has left."""
        if withdrawn.cancelled:
            self._history.note_cancel(now, withdrawn.job_id)
        job = self._jobs.get(withdrawn.job_id)
        if job is None or job.stopping:
            return []
        subscribers = self._subscribers[withdrawn.job_id]
        if withdrawn.cancelled:
            report = _job_ended(job, ErrorKind.CANCELLED, "the job was cancelled")
            return self._close_job(now, job, report)
        subscribers -= {one for one in subscribers if one.host == host}
        if subscribers:
            return []
        report = _job_ended(job, ErrorKind.STOPPED, "the caller has left")
        return self._close_job(now, job, report)

    def handle_lost_host(self, now: float, host: str) -> list[LeaderAction]:
        """Stop the jobs of an entry host that has stopped responding."""
        actions: list[LeaderAction] = []
        for job_id in list(self._jobs):
            actions += self.handle_withdrawal(now, host, JobWithdrawn(job_id))
        return actions

    def handle_losses(self, now: float, losses: Iterable[TaskLosses]) -> None:
        """Note the workers that another leader has lost under tasks."""
        self._suspects.note_shared(now, losses)
        for one in losses:
            job = self._runs.job_of(one.task)
            if job is not None:
                self._suspects.add_job(job)

    def handle_renewal_reply(
        self,
        now: float,
        name: str,
        renewal: Renewal,
        reply: LeaseReply | RenewalFailure,
    ) -> list[LeaderAction]:
        """Handle the reply to a lease renewal, and send the next renewal."""
        worker = self._workers.get(name)
        if worker is None or worker.token != renewal.token:
            return []
        if not isinstance(reply, LeaseReply):
            return self._handle_renewal_failure(now, worker, reply)
        self._renewal_backoff_s.pop(name, None)
        actions = self._apply_reply(now, worker, renewal, reply)
        actions.append(RenewLease(worker.entry, worker.next_renewal(now)))
        return actions + self._assign(now)

    def handle_state_reply(
        self,
        now: float,
        name: str,
        renewal: Renewal,
        reply: LeaseReply | RenewalFailure,
    ) -> list[LeaderAction]:
        """Handle the reply to a state query that was sent beside a renewal."""
        worker = self._workers.get(name)
        if worker is None or worker.token != renewal.token:
            return []
        if not isinstance(reply, LeaseReply):
            return []
        return self._apply_reply(now, worker, renewal, reply) + self._assign(now)

    def handle_start_reply(
        self, now: float, name: str, run: Run, reply: OrderReply
    ) -> list[LeaderAction]:
        """Handle the reply to an order to start a run."""
        worker = self._workers.get(name)
        if worker is None:
            return []
        actions: list[LeaderAction] = []
        changes = worker.apply_order_reply(now, run, reply)
        match reply.outcome:
            case OrderOutcome.OUTDATED:
                task = self._runs.task_of(name, run)
                if task is not None:
                    # The worker has seen this run number or a higher one, ordered by an
                    # earlier leader. Skip the next 8 numbers.
                    task.next_number += 8
            case OrderOutcome.UNKNOWN:
                self._health.note_no_reply(now, name)
                actions += self._stop_run(now, worker, run)
            case OrderOutcome.UNHEALTHY | OrderOutcome.INVALID:
                if self._health.note_unhealthy(now, name):
                    actions.append(
                        _worker_state(now, worker, "ejected", reply.outcome.value)
                    )
            case OrderOutcome.FENCED:
                actions += self._mark_fenced(now, worker)
            case OrderOutcome.REPLACED:
                self._health.note_no_reply(now, name)
        for change in changes:
            actions += self._apply_change(now, worker, change)
        return actions + self._assign(now)

    def handle_stop_reply(
        self, now: float, name: str, run: Run, answered: bool
    ) -> list:
        """Handle the reply to an order to stop a run."""
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
        """Do what is due because time has passed: timeouts, retries, deadlines."""
        actions: list[LeaderAction] = []
        for worker in list(self._workers.values()):
            actions += self._check_worker(now, worker)
        for run, name, _ in self._runs.unclaimed(now):
            if name in self._workers:
                actions += self._stop_run(now, self._workers[name], run)
        for job in list(self._jobs.values()):
            actions += self._check_deadline(now, job)
        for job in self._suspects.jobs:
            actions += self._check_suspects(now, job)
        losses = self._suspects.take_unshared()
        if losses:
            actions.append(ShareLosses(JobProgress("", losses=losses)))
        self._placement_up_to_date = False
        return actions + self._assign(now) + self._refuse_starved(now)

    # Workers

    def _claim(self, now: float, time_s: float, entry: WorkerEntry) -> list:
        token = self._tokens.next(time_s)
        worker = LeasedWorker(entry, token, self._lease_s, now)
        self._workers[entry.name] = worker
        self._usable = None
        return self._request_lease(now, worker, "first claimed by this host")

    def _reclaim(self, now: float, time_s: float, worker: LeasedWorker) -> list:
        """Claim a fenced worker again, because this host leads its shard."""
        worker.reclaim(now, self._tokens.next(time_s))
        self._usable = None
        return self._request_lease(now, worker, "claimed again after it was fenced")

    def _request_lease(self, now: float, worker: LeasedWorker, reason: str) -> list:
        """Send the first lease renewal to a worker under a new token."""
        entry = worker.entry
        address = f"{entry.address.host}:{entry.address.port}"
        taken = WorkerTaken(entry.name, address, worker.token, reason)
        return [LogDecision(taken), RenewLease(entry, worker.next_renewal(now))]

    def _mark_fenced(self, now: float, worker: LeasedWorker) -> list[LeaderAction]:
        """Start no more runs on a worker; its runs go on.

        The worker has accepted a newer token, or this host no longer leads it.
        """
        name = worker.entry.name
        worker.fenced = True
        self._usable = None
        self._reclaim_at[name] = now + _RECLAIM_DELAY_S
        return [
            _worker_state(
                now, worker, "fenced", "it refused this token, or is no longer led here"
            )
        ]

    def _release(self, name: str, reason: str) -> list[LeaderAction]:
        """Remove a worker that this host no longer leads."""
        worker = self._workers.pop(name)
        self._usable = None
        self._placement_up_to_date = False
        self._lost.discard(name)
        self._refused.discard(name)
        self._reclaim_at.pop(name, None)
        self._health.forget(name)
        self._suspects.forget_worker(name)
        self._times.forget(name)
        reservations = list(worker.reservations)
        for reservation in reservations:
            self._runs.note_closed(name, reservation.run)
            self._forget_run(name, reservation.run)
        released = WorkerReleased(name, worker.token, reason, len(reservations))
        return [LogDecision(released)]

    def _handle_renewal_failure(
        self, now: float, worker: LeasedWorker, failure: RenewalFailure
    ) -> list[LeaderAction]:
        name = worker.entry.name
        match failure:
            case RenewalFailure.FENCED:
                return self._mark_fenced(now, worker)
            case RenewalFailure.REPLACED:
                self._refused.add(name)
                actions = self._mark_lost(
                    now, worker, failure.value, process_ended=True
                )
                pause_s = _REFUSED_RETRY_S
            case RenewalFailure.REFUSED:
                # A network partition can refuse connections too, so wait for the lease.
                self._refused.add(name)
                actions = self._mark_lost(now, worker, failure.value)
                pause_s = _REFUSED_RETRY_S
            case _:
                actions = []
                pause_s = self._renewal_backoff_s.get(name, _RENEWAL_RETRY_S)
                self._renewal_backoff_s[name] = min(2 * pause_s, _MAX_RENEWAL_RETRY_S)
        actions.append(RenewLease(worker.entry, worker.next_renewal(now), pause_s))
        return actions

    def _mark_lost(
        self, now: float, worker: LeasedWorker, reason: str, process_ended: bool = False
    ) -> list[LeaderAction]:
        """Mark a worker as lost.

        If its process has ended or its lease has expired, its runs have ended too,
        and their tasks wait for another worker.
        """
        name = worker.entry.name
        actions: list[LeaderAction] = []
        if name not in self._lost:
            self._lost.add(name)
            self._usable = None
            actions.append(_worker_state(now, worker, "lost", reason))
        if process_ended or worker.lease_has_expired(now):
            for run in worker.presumed_ended_runs():
                task = self._runs.task_of(name, run)
                if task is not None and task.run == run:
                    if name in self._refused:
                        actions += self._note_loss(now, worker, worker.incarnation, run)
                    self._forget_run(name, run)
                    task.avoid.add(name)
        return actions

    def _check_worker(self, now: float, worker: LeasedWorker) -> list[LeaderAction]:
        name = worker.entry.name
        if worker.fenced:
            if (
                name not in self._entries
                and now - self._reclaim_at[name] > HANDOVER_WAIT_S
            ):
                # By now the other leader has stopped or adopted the runs there.
                return self._release(
                    name, "led by another host or no longer registered"
                )
            return []
        idle = not any(True for _ in worker.reservations)
        if name not in self._entries and (idle or worker.lease_has_expired(now)):
            return self._release(
                name, "this host no longer leads it, or it is no longer registered"
            )
        if worker.confirmed and now - worker.last_reply_at > SILENCE_TIMEOUT_S:
            return self._mark_lost(now, worker, "silent")
        actions: list[LeaderAction] = []
        for reservation in list(worker.reservations):
            task = self._runs.task_of(name, reservation.run)
            if self._runs.is_stopping(name, reservation.run):
                actions += self._stop_run(now, worker, reservation.run)
            elif reservation.state is ReservationState.RUNNING and task is not None:
                actions += self._check_stall(now, worker, task, reservation)
        return actions

    def _check_stall(
        self, now: float, worker: LeasedWorker, task: LedTask, reservation: Reservation
    ) -> list[LeaderAction]:
        """Stop a stalled run so that its task moves, if that can meet the deadline."""
        job = self._runs.job_of(task.name)
        expected_s = job.expected_s(task)
        limit_s = max(_STALL_FACTOR * expected_s, expected_s + _MIN_STALL_S)
        if now - reservation.running_since < limit_s or now + expected_s > job.deadline:
            return []
        name = worker.entry.name
        self._health.note_stall(name, reservation.run)
        task.avoid.add(name)
        return self._stop_run(now, worker, reservation.run)

    def _apply_reply(
        self, now: float, worker: LeasedWorker, renewal: Renewal, reply: LeaseReply
    ) -> list[LeaderAction]:
        name = worker.entry.name
        actions: list[LeaderAction] = []
        was_confirmed = worker.confirmed
        incarnation = worker.incarnation
        changes = worker.apply_renewal_reply(now, renewal, reply)
        if not was_confirmed:
            self._placement_up_to_date = False
            self._usable = None
            confirmed = WorkerConfirmed(
                name, worker.token, len(reply.running), now - renewal.sent_at
            )
            actions.append(LogDecision(confirmed))
        if name in self._lost:
            self._lost.discard(name)
            self._refused.discard(name)
            self._placement_up_to_date = False
            self._usable = None
            actions.append(_worker_state(now, worker, "back", "responds again"))
        for change in changes:
            if isinstance(change, RunClosed) and change.outcome is RunOutcome.LOST:
                actions += self._note_loss(now, worker, incarnation, change.run)
            actions += self._apply_change(now, worker, change)
        return actions

    def _is_usable(self, worker: LeasedWorker) -> bool:
        """Return whether a worker is led here, responds and is not draining."""
        entry = worker.entry
        return (
            worker.confirmed
            and not worker.fenced
            and entry.name in self._entries
            and not entry.draining
            and entry.name not in self._lost
        )

    def _usable_workers(self) -> list[LeasedWorker]:
        """Return the workers that are usable; the list must not be changed."""
        if self._usable is None:
            self._usable = [w for w in self._workers.values() if self._is_usable(w)]
        return self._usable

    # Runs

    def _apply_change(
        self, now: float, worker: LeasedWorker, change: RunClosed | RunDiscovered
    ) -> list[LeaderAction]:
        self._placement_up_to_date = False
        match change:
            case RunDiscovered(run):
                return self._handle_discovered_run(now, worker, run)
            case RunClosed(run, outcome):
                return self._handle_closed_run(now, worker, run, outcome)

    def _handle_discovered_run(
        self, now: float, worker: LeasedWorker, run: Run
    ) -> list:
        name = worker.entry.name
        task = self._runs.task_of(name, run)
        if task is not None and task.run == run:
            return []
        job = self._runs.job_of(run.task)
        if job is None:
            self._runs.add_orphan(now, run, name)
            return []
        task = job.task(run.task)
        worker.set_needs(run, task.spec.needs)
        if task.waiting and not job.stopping:
            self._runs.adopt(now, run, task, name)
            return []
        return self._stop_run(now, worker, run)

    def _adopt_orphans(self, now: float, job: LedJob) -> None:
        for (run, name, _), task in self._runs.orphans_of(job):
            worker = self._workers.get(name)
            if worker is None:
                continue
            worker.set_needs(run, task.spec.needs)
            if task.waiting:
                self._runs.note_closed(name, run)
                self._runs.adopt(now, run, task, name)
                job.run_count += 1

    def _handle_closed_run(
        self, now: float, worker: LeasedWorker, run: Run, outcome: RunOutcome
    ) -> list[LeaderAction]:
        name = worker.entry.name
        self._runs.note_closed(name, run)
        task = self._runs.task_of(name, run)
        if task is None:
            if outcome is RunOutcome.DONE:
                return self._handle_unknown_done(now, run)
            return []
        job = self._runs.job_of(task.name)
        self._forget_run(name, run)
        took_s = now - task.ordered_at
        resolved = RunResolved(
            task.name, run.number, name, outcome.value, round(took_s, 4)
        )
        actions: list[LeaderAction] = [LogDecision(resolved)]
        match outcome:
            case RunOutcome.DONE:
                job.finish(task)
                if not task.adopted:
                    task.took_s = took_s
                    completed = CompletedRun(name, task.spec.run_time_s, took_s)
                    job.completed_runs.append(completed)
                if self._health.note_success(now, name, run):
                    actions.append(
                        _worker_state(now, worker, "restored", "probes succeeded")
                    )
            case RunOutcome.FAILED:
                task.failures += 1
                task.avoid.add(name)
                if self._health.note_failure(
                    now, name, run, job.job_id, len(self._workers)
                ):
                    actions.append(
                        _worker_state(now, worker, "ejected", "tasks failed")
                    )
            case RunOutcome.ENDED | RunOutcome.LOST | RunOutcome.NEVER_STARTED:
                self._health.note_end(now, name, run)
        return actions + self._update_job(now, job, task)

    def _handle_unknown_done(self, now: float, run: Run) -> list[LeaderAction]:
        """Note that a run which this leader has neither ordered nor adopted is done.

        An earlier leader ordered it, and it ended before this one led its worker.
        """
        job = self._runs.job_of(run.task)
        if job is None:
            self._history.note_done(run.task)
            return []
        task = job.task(run.task)
        if task.done:
            return []
        job.finish(task)
        actions: list[LeaderAction] = []
        worker = self._workers.get(task.worker)
        if task.run is not None and worker is not None:
            actions += self._stop_run(now, worker, task.run)
        return actions + self._update_job(now, job, task)

    def _forget_run(self, worker: str, run: Run) -> None:
        """Remove a run that is no longer under way; its task may wait again."""
        task = self._runs.task_of(worker, run)
        self._runs.forget(worker, run)
        self._suspects.note_closed(worker, run)
        job = None if task is None else self._runs.job_of(task.name)
        if job is not None:
            self._queue[job.job_id] = job
            self._placement_up_to_date = False

    def _update_job(self, now: float, job: LedJob, task: LedTask) -> list:
        """Close a job or report its progress after one of its runs has ended."""
        if job.stopping:
            if not job.under_way:
                self._forget_job(job)
            return []
        if job.complete:
            return self._close_job(now, job, JobEnded(job.job_id))
        if task.failures >= job.offer.max_attempts:
            detail = f"task {task.number} failed {task.failures} times"
            return self._close_job(
                now, job, _job_ended(job, ErrorKind.TASK_FAILED, detail)
            )
        if task.done and len(job.tasks) > 1:
            return self._report(job, JobProgress(job.job_id, (task.number,)))
        return []

    def _stop_run(self, now: float, worker: LeasedWorker, run: Run) -> list:
        """Order a worker to stop a run, unless such an order was sent just now."""
        if not self._runs.note_stop_if_due(now, worker.entry.name, run):
            return []
        return [StopRun(worker.entry, run, worker.token)]

    # Crashes of workers

    def _note_loss(
        self, now: float, worker: LeasedWorker, incarnation: int | None, run: Run
    ) -> list[LeaderAction]:
        """Suspect the task of a run whose worker was lost."""
        job = self._runs.job_of(run.task)
        if job is None or incarnation is None or worker.entry.draining:
            return []
        lost = LostWorker(worker.entry.name, incarnation)
        return self._suspects.note_loss(now, job, run, lost)

    def _check_suspects(self, now: float, job: LedJob) -> list[LeaderAction]:
        """Clear the tasks whose lost workers are back; give up a deadly job."""
        cleared = self._suspects.clear(job, lambda lost: self._is_back(now, lost))
        if cleared:
            self._placement_up_to_date = False
        deadly = find_deadly_task(job, self._has_crashed)
        if deadly is None or job.stopping:
            return cleared
        report = _job_ended(job, ErrorKind.TASK_FAILED, _crash_detail(deadly))
        return cleared + self._close_job(now, job, report)

    def _is_back(self, now: float, lost: LostWorker) -> bool:
        """Return whether the lost process of a worker responds again."""
        worker = self._workers.get(lost.worker)
        return (
            worker is not None
            and lost.worker not in self._lost
            and worker.incarnation == lost.incarnation
            and worker.is_responsive(now)
        )

    def _has_crashed(self, lost: LostWorker) -> bool:
        """Return whether the lost process of a worker is known to have ended."""
        worker = self._workers.get(lost.worker)
        if worker is not None and worker.incarnation not in (None, lost.incarnation):
            return True
        registered = lost.worker in self._entries or lost.worker in self._not_led_here
        return not registered

    # Jobs

    def _subscribe(
        self, now: float, job: LedJob, subscriber: _Subscriber, offer: JobOffer
    ) -> list[LeaderAction]:
        """Add a subscriber to a job that was accepted already."""
        subscribers = self._subscribers[job.job_id]
        if subscriber in subscribers and not job.stopping:
            return []
        if job.stopping:
            job.stopping = False
            self._placement_up_to_date = False
            job.arrived_at = now - offer.elapsed_s
            subscribers.clear()
        subscribers.add(subscriber)
        job.deadline = max(job.deadline, now + offer.left_s)
        joined = LogDecision(self._offer_line(job, 0.0, "joined"))
        return [joined, *self._assign(now)]

    def _refusal_for(self, now: float, job: LedJob, wait_s: float) -> Refusal | None:
        service = job.offer.service
        service_workers = [
            w for w in self._workers.values() if w.entry.service == service
        ]
        reachable = any(
            self._is_usable(w) or w.awaits_first_reply(now) for w in service_workers
        )
        return find_refusal(now, job, service_workers, reachable, wait_s)

    def _make_job(self, now: float, host: str, offer: JobOffer) -> LedJob:
        """Return a new job with its expected run times."""
        step_s = [
            self._times.expected_s(offer.route, step.run_time_s) for step in offer.steps
        ]
        timeout_s = offer.elapsed_s + offer.left_s
        longest_timeout_s = self._demand.longest_timeout_s(now, offer.route)
        # Time that the caller has spent on earlier attempts.
        earlier_wait_s = max(0.0, longest_timeout_s - timeout_s)
        job = LedJob(offer, host, now, step_s, earlier_wait_s, self._spread)
        job.ran_before = self._history.was_ordered(offer.job_id)
        return job

    def _note_timeout(self, now: float, offer: JobOffer) -> None:
        """Update the longest recent timeout of callers of a route from a new offer.

        A caller that retries has less time left than usual. If this offer raises the
        longest timeout, the callers of queued jobs of the route have spent more time on
        earlier attempts than was assumed, so these jobs become due earlier.
        """
        timeout_s = offer.elapsed_s + offer.left_s
        longest_timeout_s = self._demand.longest_timeout_s(now, offer.route)
        self._demand.note_timeout(now, offer.route, timeout_s)
        if not 0 < longest_timeout_s < timeout_s:
            return
        for job in self._queue.values():
            if job.offer.route == offer.route:
                job.due -= timeout_s - longest_timeout_s

    def _expected_wait_s(self, now: float, job: LedJob) -> float:
        usable = self._usable_workers()
        return expected_wait_s(now, job, self._unsuspected_jobs(), usable)

    def _unsuspected_jobs(self) -> list[LedJob]:
        """Return the queued jobs without suspects, which wait for their own workers."""
        return [job for job in self._queue.values() if job.job_id not in self._suspects]

    def _refuse(
        self, subscriber: _Subscriber, offer: JobOffer, now: float, refusal: Refusal
    ) -> list[LeaderAction]:
        host = subscriber.host
        job = self._make_job(now, host, offer)
        kind, detail, retry_after_s = refusal
        report = _job_ended(job, kind, detail, retry_after_s)
        self._history.note_answer(now, (subscriber, offer.job_id), report)
        line = self._offer_line(job, 0.0, f"refused: {kind.value}: {detail}")
        return [LogDecision(line), ReportJob(host, report)]

    def _offer_line(self, job: LedJob, wait_s: float, outcome: str) -> JobTaken:
        """Return the log line on an offer that was taken, joined or refused."""
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

    def _check_deadline(self, now: float, job: LedJob) -> list[LeaderAction]:
        """Close a job as soon as it can no longer meet its deadline."""
        if job.stopping:
            if not job.under_way:
                self._forget_job(job)
            return []
        if now >= job.deadline:
            kind = ErrorKind.EXPIRED if job.not_run else ErrorKind.TIMEOUT
            return self._close_job(
                now, job, _job_ended(job, kind, "the deadline of the job has passed")
            )
        if waits_too_long(now, job, bool(self._not_led_here), self._workers.values()):
            detail = "its leader was lost, and its tasks may still run there"
            report = _job_ended(job, ErrorKind.WORKER_LOST, detail)
            return self._close_job(now, job, report)
        if job.not_run and not fits_in_time(now, job):
            detail = f"no free capacity in time for a run time of {job.run_s:.2f} s"
            report = _job_ended(job, ErrorKind.OVERLOADED, detail, RETRY_AFTER_S)
            return self._close_job(now, job, report)
        return []

    def _refuse_starved(self, now: float) -> list[LeaderAction]:
        """Refuse the jobs that wait and that will not start in time."""
        if now < self._starved_check_at or not self._queue:
            return []
        self._starved_check_at = now + _STARVED_INTERVAL_S
        by_service: dict[str, list[LedJob]] = {}
        for job in self._unsuspected_jobs():
            by_service.setdefault(job.offer.service, []).append(job)
        actions: list[LeaderAction] = []
        for service, jobs in by_service.items():
            cores = sum(
                worker.entry.room.cores
                for worker in self._usable_workers()
                if worker.entry.service == service
            )
            arriving_cores = self._demand.work_rate(now, service)
            for job in find_starved(now, jobs, cores, arriving_cores):
                detail = (
                    f"late, and {arriving_cores:.0f} of {cores:.0f} cores are asked"
                )
                report = _job_ended(job, ErrorKind.OVERLOADED, detail, RETRY_AFTER_S)
                actions += self._close_job(now, job, report)
        return actions

    def _close_job(self, now: float, job: LedJob, report: JobEnded) -> list:
        """Report the outcome of a job and stop its remaining runs."""
        actions = self._report(job, report)
        self._history.note_outcome(now, report)
        if not job.not_run:
            self._history.note_ordered(now, job.job_id)
        for subscriber in self._subscribers[job.job_id]:
            self._history.note_answer(now, (subscriber, job.job_id), report)
        closed = JobClosed(
            job.job_id,
            report.error or "complete",
            report.detail,
            round(now - job.arrived_at, 4),
            job.run_count,
        )
        actions.append(LogDecision(closed))
        self._times.learn(job.offer.route, job.completed_runs)
        ran_s = job.ran_s(now)
        if ran_s is not None:
            self._spread.note(job.offer.route, job.run_s, ran_s, job.complete)
        job.stopping = True
        self._subscribers[job.job_id].clear()
        for task in job.under_way:
            worker = self._workers.get(task.worker)
            if worker is not None:
                actions += self._stop_run(now, worker, task.run)
        if not job.under_way:
            self._forget_job(job)
        return actions

    def _report(self, job: LedJob, report: JobEnded | JobProgress) -> list:
        hosts = {subscriber.host for subscriber in self._subscribers[job.job_id]}
        return [ReportJob(host, report) for host in sorted(hosts)]

    def _forget_job(self, job: LedJob) -> None:
        self._jobs.pop(job.job_id, None)
        self._queue.pop(job.job_id, None)
        self._subscribers.pop(job.job_id, None)
        self._suspects.drop_job(job.job_id)
        self._runs.drop_job(job)

    # Placement

    def _assign(self, now: float) -> list[LeaderAction]:
        """Start the tasks that fit, in queue order.

        Does nothing if no task could start at the last call and nothing has changed
        since then.
        """
        if self._placement_up_to_date:
            return []
        self._placement_up_to_date = True
        min_cores: dict[str, float] = {}
        for job_id, job in list(self._queue.items()):
            min_cores[job_id] = job.least_cores
            if min_cores[job_id] == math.inf:
                # None of its tasks waits; `_forget_run` puts it back.
                del self._queue[job_id]
        if not self._queue:
            return []
        usable = self._workers_open_to_tasks(now)
        if not usable:
            return []
        free = {worker.entry.name: worker.free_capacity() for worker in usable}
        initial_max_free = (
            max(capacity.cores for capacity in free.values()) + _TOLERANCE
        )
        waiting = [
            job
            for job_id, job in self._queue.items()
            if min_cores[job_id] <= initial_max_free and self._may_start_tasks(now, job)
        ]
        if not waiting:
            return []
        if len(waiting) > 1:
            waiting.sort(key=lambda job: rank(now, job))
        capacity_short = is_capacity_short(free, usable)
        max_free = initial_max_free
        fast = fast_slowdown(usable, self._times)
        actions: list[LeaderAction] = []
        if self._suspects.affect_placement:
            actions += self._assign_suspects(now, waiting, usable, free)
            usable = [
                w for w in usable if not self._suspects.is_set_aside(w.entry.name)
            ]
        for job in waiting:
            if min_cores[job.job_id] > max_free:
                continue
            avoid_fast = capacity_short and tolerates_slow_worker(now, job)
            max_slowdown = max_slowdown_for(now, job, fast)
            for task in job.ready_tasks():
                if task.lost or task.spec.needs.cores > initial_max_free:
                    continue
                if task.spec.needs.cores > max_free:
                    break
                worker = choose_worker(
                    job, task, usable, free, self._times, avoid_fast, max_slowdown
                )
                if worker is None:
                    if max_slowdown < math.inf:
                        # After a while the job accepts any worker.
                        self._placement_up_to_date = False
                    break
                was_largest = free[worker.entry.name].cores + _TOLERANCE >= max_free
                actions += self._start_run(now, job, task, worker, free, len(usable))
                if was_largest:
                    max_free = (
                        max(capacity.cores for capacity in free.values()) + _TOLERANCE
                    )
                if not self._may_take_task(now, worker):
                    usable.remove(worker)  # ejected workers get one probe at a time
                    self._placement_up_to_date = False
        return actions

    def _assign_suspects(
        self,
        now: float,
        waiting: list[LedJob],
        usable: list[LeasedWorker],
        free: dict[str, Resources],
    ) -> list[LeaderAction]:
        """Start suspected tasks, each alone on a worker.

        A second crash then convicts nobody else.
        """
        suspects = self._suspects.waiting(waiting)
        if not suspects and self._suspects.release_vacant():
            self._placement_up_to_date = False
        actions: list[LeaderAction] = []
        for job, task in suspects:
            worker = self._suspects.choose_worker(
                job, task, usable, free, self._times, len(suspects)
            )
            if worker is not None:
                actions += self._start_run(now, job, task, worker, free, len(usable))
                self._suspects.occupy(worker.entry.name, task.run)
        return actions

    def _workers_open_to_tasks(self, now: float) -> list[LeasedWorker]:
        """Return the usable workers whose health allows tasks now."""
        usable = self._usable_workers()
        excluded = self._health.excluded(now)
        open_to_tasks = [w for w in usable if w.entry.name not in excluded]
        if len(open_to_tasks) < len(usable):
            self._placement_up_to_date = False  # others return after a while
        return open_to_tasks

    def _may_take_task(self, now: float, worker: LeasedWorker) -> bool:
        return self._is_usable(worker) and self._health.may_start(
            now, worker.entry.name
        )

    def _may_start_tasks(self, now: float, job: LedJob) -> bool:
        """Return whether the tasks of a job may start now."""
        if job.stopping:
            return False
        if must_wait(now, job, bool(self._not_led_here), self._workers.values()):
            self._placement_up_to_date = False  # the wait ends without an event
            return False
        return True

    def _start_run(
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
        if not job.run_count:
            self._history.note_ordered(now, job.job_id)
        job.run_count += 1
        self._runs.note_started(now, run, task, name)
        self._health.note_start(name, run)
        before = free[name]
        free[name] = subtract(before, needs)
        placed = RunOrdered(
            task.name,
            run.number,
            name,
            round(before.cores, 3),
            round(now - job.arrived_at, 4),
            candidates,
        )
        order = Order(run, job.offer.body, deadline_s, worker.token)
        return [LogDecision(placed), StartRun(worker.entry, order)]


def _job_ended(
    job: LedJob, kind: ErrorKind, detail: str, retry_after_s: float = 0.0
) -> JobEnded:
    return JobEnded(job.job_id, kind.value, detail, retry_after_s, job.not_run)


def _crash_detail(task: LedTask) -> str:
    return f"{len(task.lost)} workers crashed while they ran task {task.number}"


def _worker_state(
    now: float, worker: LeasedWorker, state: str, reason: str
) -> LogDecision:
    heard_s = round(now - worker.last_reply_at, 3)
    return LogDecision(WorkerState(worker.entry.name, state, reason, heard_s))
