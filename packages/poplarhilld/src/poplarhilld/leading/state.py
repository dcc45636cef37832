"""The decisions of a host that leads a group of workers.

The leader holds the leases on its workers, accepts or refuses the jobs that entry
hosts offer, places their tasks on workers and reports outcomes. It does no I/O:
each event returns the actions to take.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from poplarhill.exceptions import ErrorKind
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.assignment import Assignment
from poplarhilld.leading.closing import JobCloser, job_ended
from poplarhilld.leading.evacuated import EvacuatedJobs
from poplarhilld.leading.group import WorkerGroup
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.late import LateOffers
from poplarhilld.leading.messages import (
    JobWithdrawal,
    LeaderAction,
    LostHostWithdrawn,
    QueryWorker,
    RenewLease,
    ShareReport,
)
from poplarhilld.leading.offers import Offers
from poplarhilld.leading.outcomes import RunOutcomes
from poplarhilld.leading.run_queries import RunQueries
from poplarhilld.leading.shared import LeaderState, worker_state
from poplarhilld.leases import (
    LeasedWorker,
    LeaseReply,
    OrderOutcome,
    OrderReply,
    Renewal,
    RenewalFailure,
    Run,
    TokenSource,
)
from poplarhilld.locality import Locality
from poplarhilld.lookahead import LOOKAHEAD_OFF, LookaheadOptions
from poplarhilld.overload import OverloadControl
from poplarhilld.peers.messages import (
    JobOffer,
    JobProgress,
    JobWithdrawn,
    Load,
    TaskLosses,
)
from poplarhilld.peers.offer_limits import DEFAULT_LIMITS, OfferLimits


class Leader:
    """Leads a group of workers: holds their leases and places tasks on them.

    Args:
        tokens: Source of fencing tokens.
        lease_s: Longest lease that a worker grants, s.
        lookahead: When placement looks ahead, and which of its parts are used.
        overload: Overload control of the host; `None` accepts all offers.
        own_name: Name of this host.
        limits: How long an offer keeps a job.
    """

    def __init__(
        self,
        tokens: TokenSource,
        lease_s: float,
        lookahead: LookaheadOptions = LOOKAHEAD_OFF,
        overload: OverloadControl | None = None,
        own_name: str = "",
        limits: OfferLimits = DEFAULT_LIMITS,
    ) -> None:
        self._state = LeaderState(tokens, lease_s, lookahead, limits)
        self._closer = JobCloser(self._state)
        self._outcomes = RunOutcomes(self._state, self._closer)
        self._group = WorkerGroup(self._state, self._closer, self._outcomes)
        self._assignment = Assignment(self._state)
        self._evacuated = EvacuatedJobs(self._state, self._closer)
        self._queries = RunQueries(self._state)
        self._offers = Offers(
            self._state,
            self._closer,
            self._outcomes,
            self._assignment,
            self._evacuated,
            LateOffers(self._state, overload, own_name),
            self._queries,
        )

    @property
    def workers(self) -> Mapping[str, LeasedWorker]:
        """Workers that this host leads, by name."""
        return self._state.workers

    @property
    def workers_digests(self) -> tuple[int, ...]:
        """Digests of the workers on which this leader may have runs."""
        return self._state.worker_sets.digests

    @property
    def jobs(self) -> Mapping[str, LedJob]:
        """Accepted jobs by id, until they are closed and none of their runs is left."""
        return self._state.jobs

    @property
    def looks_ahead(self) -> bool:
        """Whether placement looks ahead now."""
        return self._state.lookahead.active

    @property
    def reservations(self) -> int:
        """Count of the jobs that have reserved places so far."""
        return self._state.lookahead.reservations

    @property
    def ejected(self) -> tuple[str, ...]:
        """Names of the ejected workers; they get probes only."""
        return self._state.health.ejected

    @property
    def locality(self) -> Locality:
        """What this leader knows of the racks that hold the data of jobs."""
        return self._state.locality

    @property
    def waiting(self) -> dict[str, int]:
        """Count of jobs without any run so far, by route."""
        counts: dict[str, int] = {}
        for job in self._state.jobs.values():
            if not job.run_count and not job.stopping:
                counts[job.offer.route] = counts.get(job.offer.route, 0) + 1
        return counts

    def load(self, now: float) -> Load:
        """Return the capacity, free capacity and queued work of this leader."""
        capacity = self._state.capacity()
        queued = sum(
            [
                job.open_core_seconds
                for job in self._state.jobs.values()
                if not job.run_count
            ]
        )
        racks = self._state.locality.rack_loads(now, self._state)
        return Load(
            capacity.total_cores, capacity.usable_free_cores, queued, racks=racks
        )

    def set_workers(
        self,
        now: float,
        time_s: float,
        entries: Mapping[str, WorkerEntry],
        not_led_here: frozenset[str] = frozenset(),
        former_offers_at: Mapping[str, float] = MappingProxyType({}),
        led_by_others: frozenset[str] | None = None,
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
            former_offers_at: Time by the leader's clock after which the runs were
                offered that the former leaders of workers may have left, as the last of
                them reported, s, by worker.
            led_by_others: Names of those that this host does not lead and another one
                does; all if not given.
        """
        actions: list[LeaderAction] = []
        self._state.offer_times.set_former(former_offers_at)
        if led_by_others is None:
            led_by_others = not_led_here
        self._state.led_by_others = led_by_others
        if entries != self._state.entries or not_led_here != self._state.not_led_here:
            self._state.placement_up_to_date = False
            self._state.note_worker_change()
        elif not self._state.reclaim_at and not_led_here.isdisjoint(entries):
            return self._assignment.assign(now)  # all are claimed and none is fenced
        self._state.entries = entries
        self._state.not_led_here = not_led_here
        for name in self._state.workers.keys() & not_led_here:
            if not self._state.workers[name].fenced:
                actions += self._group.mark_fenced(now, self._state.workers[name])
        for name, entry in entries.items():
            worker = self._state.workers.get(name)
            if worker is None:
                actions += self._group.claim(now, time_s, entry)
                continue
            worker.entry = entry
            if worker.fenced and now >= self._state.reclaim_at[name]:
                actions += self._group.reclaim(now, time_s, worker)
        return actions + self._assignment.assign(now)

    def report_oldest_offer(self, now: float) -> float:
        """Return the time after which all runs were offered that it may leave, s.

        The next leader extends the leases of runs that it finds by that. This one
        starts nothing any more of jobs that were offered before.

        Returns:
            By the leader's clock; minus infinity if it is not known.
        """
        return self._state.offer_times.report(now, self._state)

    def remember_workers(self, entries: Iterable[WorkerEntry]) -> None:
        """Keep which workers were read; a former leader may have had the same."""
        self._state.worker_sets.remember(entries)

    def set_evacuated(
        self, now: float, data_centres: frozenset[str]
    ) -> list[LeaderAction]:
        """Set the evacuated data centres; no task starts on workers there.

        Leases and runs there are kept. Jobs that could only run there are given back
        to their entry hosts.
        """
        if data_centres == self._state.evacuated:
            return []
        self._state.evacuated = data_centres
        self._state.note_worker_change()
        self._state.placement_up_to_date = False
        return self._assignment.assign(now) + self._evacuated.give_up(now)

    def set_remote_slowdown(self, slowdown: float) -> None:
        """Set the factor on run times outside the rack of the data; 1 is off."""
        self._state.locality.set_slowdown(slowdown, self._state)
        self._state.placement_up_to_date = False

    def resign(self) -> list[LeaderAction]:
        """Release all workers and drop all jobs; the next leader adopts the runs."""
        actions: list[LeaderAction] = []
        for name in list(self._state.workers):
            actions += self._group.release(
                name, "this host no longer leads any workers"
            )
        self._state.entries = {}
        self._state.note_worker_change()
        for job in list(self._state.jobs.values()):
            self._closer.forget_job(job)
        return actions

    def handle_offer(
        self,
        now: float,
        host: str,
        number: int,
        offer: JobOffer,
        age_s: float | None = 0.0,
        workers_digests: tuple[int, ...] = (),
    ) -> list:
        """Accept a job from an entry host, or refuse it.

        Args:
            now: The leader's clock, s.
            host: Name of the entry host.
            number: Number of the submission there.
            offer: The job.
            age_s: How long the offer was under way, s; `None` if it is not known.
            workers_digests: Digests of this leader's workers that the host knows.
        """
        return self._offers.handle_offer(
            now, host, number, offer, age_s, workers_digests
        )

    def handle_withdrawal(self, now: float, host: str, withdrawn: JobWithdrawn) -> list:
        """Stop a job that was cancelled or whose last caller has left."""
        if withdrawn.cancelled:
            self._state.history.note_cancel(now, withdrawn.job_id)
        job = self._state.jobs.get(withdrawn.job_id)
        if job is None or job.stopping:
            return []
        if withdrawn.cancelled:
            report = job_ended(job, ErrorKind.CANCELLED, "the job was cancelled")
            return self._closer.close_job(now, job, report)
        return self._drop_subscribers(now, job, host, "the caller has left")

    def _drop_subscribers(
        self, now: float, job: LedJob, host: str, reason: str
    ) -> list[LeaderAction]:
        """Drop the submissions of a job at a host; close the job if none is left."""
        subscribers = self._state.subscribers[job.job_id]
        dropped = {one for one in subscribers if one.host == host}
        subscribers -= dropped
        actions: list[LeaderAction] = []
        if dropped:
            left, under_way = len(subscribers), len(job.under_way)
            line = JobWithdrawal(job.job_id, host, reason, left, under_way)
            actions.append(LogDecision(line))
        if subscribers:
            return actions
        report = job_ended(job, ErrorKind.STOPPED, reason)
        return actions + self._closer.close_job(now, job, report)

    def handle_lost_host(
        self, now: float, host: str, reason: str = "", lost_s: float = 0.0
    ) -> list[LeaderAction]:
        """Stop the jobs of an entry host that has stopped responding.

        Args:
            now: The leader's clock, s.
            host: Name of the host.
            reason: Why its jobs are stopped.
            lost_s: Time since it was no longer considered live, s.
        """
        actions: list[LeaderAction] = []
        jobs = 0
        for job in list(self._state.jobs.values()):
            if not job.stopping:
                dropped = self._drop_subscribers(now, job, host, "its host was lost")
                jobs += bool(dropped)
                actions += dropped
        if jobs:
            line = LostHostWithdrawn(host, reason, lost_s, jobs)
            actions.insert(0, LogDecision(line))
        return actions

    def handle_losses(self, now: float, losses: Iterable[TaskLosses]) -> None:
        """Note the workers that another leader has lost under tasks."""
        self._state.suspects.note_shared(now, losses)
        for one in losses:
            job = self._state.runs.job_of(one.task)
            if job is not None:
                self._state.suspects.add_job(job)

    def handle_renewal_reply(
        self,
        now: float,
        name: str,
        renewal: Renewal,
        reply: LeaseReply | RenewalFailure,
    ) -> list[LeaderAction]:
        """Handle the reply to a lease renewal, and send the next renewal."""
        worker = self._state.workers.get(name)
        if worker is None or worker.token != renewal.token:
            return []
        if not isinstance(reply, LeaseReply):
            return self._group.handle_renewal_failure(now, worker, reply)
        if self._state.renewal_backoff_s:
            self._state.renewal_backoff_s.pop(name, None)
        actions = self._group.apply_reply(now, worker, renewal, reply)
        actions.append(RenewLease(worker.entry, worker.next_renewal(now)))
        if self._state.placement_up_to_date:
            return actions
        return actions + self._assignment.assign(now)

    def handle_state_reply(
        self,
        now: float,
        name: str,
        renewal: Renewal,
        reply: LeaseReply | RenewalFailure,
    ) -> list[LeaderAction]:
        """Handle the reply to a state query that was sent beside a renewal."""
        if name in self._queries.awaited:
            self._queries.note_reply(name)
        worker = self._state.workers.get(name)
        if worker is None or worker.token != renewal.token:
            return []
        if reply is RenewalFailure.FENCED and not worker.fenced:
            return self._group.mark_fenced(now, worker, superseded=True)
        if not isinstance(reply, LeaseReply):
            return []
        actions = self._group.apply_reply(now, worker, renewal, reply)
        if worker.token != renewal.token:
            # The reply to the renewal under way does not count any more.
            actions.append(RenewLease(worker.entry, worker.next_renewal(now)))
        return actions + self._assignment.assign(now)

    def handle_start_reply(
        self, now: float, name: str, run: Run, reply: OrderReply
    ) -> list[LeaderAction]:
        """Handle the reply to an order to start a run."""
        worker = self._state.workers.get(name)
        if worker is None:
            return []
        actions: list[LeaderAction] = []
        fenced = reply.outcome is OrderOutcome.FENCED
        superseded = fenced and not worker.was_ordered_earlier(run)
        changes = worker.apply_order_reply(now, run, reply)
        task = self._state.runs.task_of(name, run)
        match reply.outcome:
            case OrderOutcome.ACCEPTED:
                pass
            case OrderOutcome.OUTDATED if task is not None:
                # The worker has seen this run number or a higher one, ordered by an
                # earlier leader. Skip the next 8 numbers.
                task.next_number += 8
            case OrderOutcome.EXPIRED if task is not None:
                # The lease there is kept short until another run has been stopped.
                task.avoid.add(name)
            case OrderOutcome.UNKNOWN:
                self._state.health.note_no_reply(now, name)
                reason = "its order has no reply"
                actions += self._closer.stop_run(now, worker, run, reason)
            case OrderOutcome.UNHEALTHY | OrderOutcome.INVALID:
                if self._state.health.note_unhealthy(now, name):
                    actions.append(
                        worker_state(now, worker, "ejected", reply.outcome.value)
                    )
            case OrderOutcome.FENCED if superseded:
                actions += self._group.mark_fenced(now, worker, superseded=True)
            case OrderOutcome.REPLACED:
                self._state.health.note_no_reply(now, name)
        for change in changes:
            actions += self._outcomes.apply_change(now, worker, change)
        if reply.outcome is OrderOutcome.OUTDATED and task is not None:
            actions += self._outcomes.give_up_handed_over(now, task)
        if self._state.placement_up_to_date:
            return actions
        return actions + self._assignment.assign(now)

    def handle_stop_reply(
        self, now: float, name: str, run: Run, answered: bool
    ) -> list:
        """Handle the reply to an order to stop a run."""
        worker = self._state.workers.get(name)
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
        actions += self._group.check_workers(now)
        for run, name, *_ in self._state.runs.unclaimed(now):
            if name in self._state.workers:
                actions += self._closer.stop_run(
                    now, self._state.workers[name], run, "its job was not offered"
                )
        actions += self._offers.check_deadlines(now)
        self._state.locality.review(now, self._state)
        for job in self._state.suspects.jobs:
            actions += self._outcomes.check_suspects(now, job)
        losses = self._state.suspects.take_unshared()
        if losses:
            actions.append(ShareReport(JobProgress("", losses=losses)))
        self._state.placement_up_to_date = False
        actions += self._evacuated.give_up(now)
        return actions + self._assignment.assign(now) + self._offers.refuse_starved(now)
