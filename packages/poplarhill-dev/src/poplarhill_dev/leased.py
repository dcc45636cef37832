"""A simulation of leaders and of the workers that they lease.

Time is simulated and nothing uses the network: the actions that leaders return are
carried out after the delay of the link. The simulation records each violation of
an invariant, such as a task that runs on two workers at once.
"""

import heapq
import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import NamedTuple

from poplarhill.types import Address, Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leading import (
    Leader,
    Order,
    QueryWorker,
    RenewLease,
    ReportJob,
    ShareReport,
    StartRun,
    StopRun,
)
from poplarhilld.leases import (
    LeaseReply,
    OrderOutcome,
    OrderReply,
    Renewal,
    RenewalFailure,
    Run,
    RunEnd,
    RunEndKind,
    TokenSource,
)
from poplarhilld.lookahead import LOOKAHEAD_OFF, LookaheadOptions
from poplarhilld.peers.messages import (
    UNKNOWN_WORKERS,
    JobEnded,
    JobOffer,
    JobProgress,
    StepSpec,
)
from poplarhilld.submissions.state import REPEAT_INTERVAL_S

LEASE_S = 1.0
LINK_DELAY_S = 0.001
ANSWER_TIMEOUT_S = 0.25
TICK_S = 0.05
RESTART_S = 3.0
_END_POLL_INTERVAL_S = 0.005
_CRASH_DELAY_S = 0.02  # from the start of a deadly task


@dataclass
class _Running:
    run: Run
    needs: Resources
    until: float
    fails: bool


@dataclass
class SimulatedWorker:
    """One worker: rejects older fencing tokens, ends its runs when its lease expires.

    Attributes:
        entry: Its entry in the catalogue.
        incarnation: When its process started, ms.
        token: Highest fencing token received.
        lease_until: End of the lease, s.
        running: Runs in progress.
        ends: Ends of runs that no leader has acknowledged.
        unreachable: Whether no request reaches it; a renewal that it holds gets no
            reply either.
        refusing: Whether its address refuses connections.
        broken: Whether every task that starts fails.
        stuck: Whether tasks that start never end.
        slowdown: Factor on run times.
        remote_slowdown: Factor on the run times of tasks whose data is in another rack.
        overloads: Times of the starts that took more than the free capacity.
        on_end: Callback for the end of a run; takes the time, the run and the kind.
        on_acknowledged: Callback for a run whose end is acknowledged, unless the lease
            has lapsed since.
        lapsed_at: When its lease last expired, s.
        done: Tasks whose end a leader has acknowledged while the lease held.
        clock_zero: When its clock began, s.
    """

    entry: WorkerEntry
    incarnation: int = 1
    token: int = 0
    lease_until: float = 0.0
    running: dict[Run, _Running] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    unreachable: bool = False
    refusing: bool = False
    broken: bool = False
    stuck: bool = False
    slowdown: float = 1.0
    remote_slowdown: float = 1.0
    overloads: list[float] = field(default_factory=list)
    on_end: Callable[[float, Run, RunEndKind], None] = lambda at, run, kind: None
    on_acknowledged: Callable[[Run], None] = lambda run: None
    lapsed_at: float = -1.0
    done: set[str] = field(default_factory=set)
    clock_zero: float = 0.0
    _ended_at: dict[Run, float] = field(default_factory=dict)
    _sequence: int = 0
    _closed: dict[str, int] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """End the runs that are complete or that outlast the lease."""
        for running in list(self.running.values()):
            until = running.until
            if until <= min(now, self.lease_until):
                kind = RunEndKind.FAILED if running.fails else RunEndKind.DONE
                self._end(until, running.run, kind)
        if now > self.lease_until:
            self.lapsed_at = self.lease_until
            for run in list(self.running):
                self._end(self.lease_until, run, RunEndKind.LAPSED)

    def renew(self, now: float, renewal: Renewal) -> LeaseReply | RenewalFailure:
        """Apply a renewal and reply at once, without waiting for a run to end."""
        self.advance(now)
        if renewal.token < self.token:
            return RenewalFailure.FENCED
        self.token = renewal.token
        self._extend(now, renewal.deadline_s)
        for end in self.ends:
            if end.sequence <= renewal.last_seen:
                lapsed = self.lapsed_at >= self._ended_at.pop(end.run)
                if not lapsed:
                    self.on_acknowledged(end.run)
                if end.kind is RunEndKind.DONE and not lapsed:
                    self.done.add(end.run.task)
        self.ends = [end for end in self.ends if end.sequence > renewal.last_seen]
        clock_s = now - self.clock_zero
        runs, ends = tuple(self.running), tuple(self.ends)
        return LeaseReply(clock_s, self.incarnation, runs, ends)

    def start(self, now: float, order: Order, job: "SimulatedJob") -> OrderReply:
        """Apply an order to start a run; free capacity is not checked."""
        self.advance(now)
        clock_s = now - self.clock_zero
        if order.token < self.token:
            return OrderReply(OrderOutcome.FENCED, clock_s)
        self.token = order.token
        if clock_s > order.deadline_s:
            return OrderReply(OrderOutcome.EXPIRED, clock_s)
        if order.run.number <= self._closed.get(order.run.task, 0):
            return OrderReply(OrderOutcome.OUTDATED, clock_s)
        self._extend(now, order.deadline_s)
        if order.run not in self.running:
            slowdown = self.slowdown
            if self.remote_slowdown != 1.0:
                near = job.data_rack_of(order.run.task) in ("", self.entry.rack)
                slowdown *= 1.0 if near else self.remote_slowdown
            until = now + job.run_time_of(order.run.task) * slowdown
            self.running[order.run] = _Running(
                order.run,
                job.needs,
                float("inf") if self.stuck else until,
                self.broken or job.poison,
            )
            if (
                sum(r.needs.cores for r in self.running.values())
                > self.entry.room.cores
            ):
                self.overloads.append(now)
        return OrderReply(OrderOutcome.ACCEPTED, clock_s)

    def stop(self, now: float, run: Run, token: int) -> bool:
        """Apply an order to stop a run and return whether it was answered."""
        self.advance(now)
        if token < self.token:
            return True
        self.token = token
        if run in self.running:
            self._end(now, run, RunEndKind.STOPPED)
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        return True

    def restart(self, now: float) -> None:
        """Restart the process: a new incarnation under the same name."""
        self.incarnation += 1
        self.clock_zero = now
        self.token = 0
        self.lease_until = now
        self.running.clear()
        self.ends.clear()
        self._sequence = 0
        self._closed.clear()

    def _extend(self, now: float, deadline_s: float | None) -> None:
        if deadline_s is not None:
            until = min(deadline_s + self.clock_zero, now + LEASE_S)
            self.lease_until = max(self.lease_until, until)

    def _end(self, at: float, run: Run, kind: RunEndKind) -> None:
        del self.running[run]
        self._sequence += 1
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        self.ends.append(RunEnd(self._sequence, run, kind))
        self._ended_at[run] = at
        self.on_end(at, run, kind)


@dataclass(frozen=True)
class SimulatedJob:
    """A job and the actual behaviour of its tasks.

    Attributes:
        offer: The offer of its entry host.
        run_s: Run time of its tasks on a worker of the usual speed, s.
        needs: Capacity that each task uses.
        poison: Whether its tasks fail on every worker.
        deadly: Names of its tasks that crash every worker that starts them.
        runs: Run times of tasks that differ from `run_s`, by task, s.
    """

    offer: JobOffer
    run_s: float
    needs: Resources
    poison: bool = False
    deadly: frozenset[str] = frozenset()
    runs: dict[str, float] = field(default_factory=dict)

    def run_time_of(self, task: str) -> float:
        """Return the actual run time of a task on a worker of the usual speed, s."""
        return self.runs.get(task, self.run_s)

    def data_rack_of(self, task: str) -> str:
        """Return the rack that holds the data of a task; empty if there is none."""
        return self.offer.steps[int(task.split(".")[2])].data_rack


class _ToldOffers(NamedTuple):
    """What a leader told of the offers for the runs that it may leave.

    Attributes:
        at: When it told, s.
        oldest_at: Time after which they were offered, s.
    """

    at: float
    oldest_at: float


class World:
    """Workers, leaders and the links between them, in simulated time.

    Args:
        workers: The workers.
        seed: Seed of every random choice.

    Attributes:
        now: The simulated time, s.
        random: Source of every random choice.
        workers: The workers by name.
        leaders: The leaders by name.
        paused: Names of leaders that are paused; they receive replies afterwards.
        cut: Returns whether the link between a leader and a worker is cut.
        loses_stops: Returns whether stop orders of a leader to a worker are lost.
        late_order_share: Share of the start orders that arrive 2 to 12 seconds late.
        silent_hosts: Names of entry hosts that do not repeat their offers.
        jobs: Submitted jobs by id.
        reports: Reports of leaders to entry hosts: time, host and report.
        violations: Invariants that were violated.
        starts: Count of start orders that workers accepted.
        crashes: Crashes of workers: time, name of the worker, task that crashed it and
            all tasks that it ran.
        starts_by_task: Times of the starts of each task.
        shared_losses: Reports of leaders to all hosts on lost workers, with the time.
    """

    def __init__(self, workers: Iterable[SimulatedWorker], seed: int = 1) -> None:
        self.now = 100.0
        self.random = Random(seed)
        self.workers = {worker.entry.name: worker for worker in workers}
        self.leaders: dict[str, Leader] = {}
        self.paused: set[str] = set()
        self.cut: Callable[[str, str], bool] = lambda leader, worker: False
        self.loses_stops: Callable[[str, str], bool] = lambda leader, worker: False
        self.late_order_share = 0.0
        self.silent_hosts: set[str] = set()
        self.jobs: dict[str, SimulatedJob] = {}
        self.reports: list[tuple[float, str, object]] = []
        self.violations: list[str] = []
        self.starts = 0
        self.crashes: list[tuple[float, str, str, tuple[str, ...]]] = []
        self.starts_by_task: dict[str, list[float]] = {}
        self.shared_losses: list[tuple[float, JobProgress]] = []
        # Leader and time of the last offer of each job that waits for its outcome.
        self._pending: dict[tuple[str, str], tuple[str, float]] = {}
        # Digests of the workers of that leader, as the host knows them.
        self._told: dict[tuple[str, str], tuple[int, ...]] = {}
        self._told_offers: list[_ToldOffers] = []
        self._events: list = []
        self._event_numbers = itertools.count()

    @property
    def entries(self) -> dict[str, WorkerEntry]:
        """Registered workers by name."""
        return {name: worker.entry for name, worker in self.workers.items()}

    def add_leader(
        self,
        name: str,
        number: int,
        entries: dict[str, WorkerEntry] | None = None,
        lookahead: LookaheadOptions = LOOKAHEAD_OFF,
        former_heard_at: tuple[float, ...] = (),
    ) -> Leader:
        """Add a leader of some workers, or of all, with its own source of tokens.

        `former_heard_at` is when it heard their former leaders, s, the newest first. It
        knows what the newest one of them told until then.
        """
        tokens = TokenSource(Address(f"10.0.0.{number}", 1))
        leader = Leader(tokens, LEASE_S, lookahead)
        self.leaders[name] = leader
        led = self.entries if entries is None else entries
        offers_at = {}
        if former_heard_at:
            told = [t for t in self._told_offers if t.at <= former_heard_at[0]]
            offers_at = dict.fromkeys(led, told[-1].oldest_at if told else -math.inf)
        self.perform(
            name, leader.set_workers(self.now, self.now, led, frozenset(), offers_at)
        )
        return leader

    def job_outcome(self, job_id: str) -> JobEnded | None:
        """Return the last outcome that was reported for a job."""
        found = [r for _, _, r in self.reports if isinstance(r, JobEnded)]
        found = [report for report in found if report.job_id == job_id]
        return found[-1] if found else None

    def submit(self, leader: str, job: SimulatedJob, host: str = "e1") -> None:
        """Offer a job to a leader, again and again until its outcome is reported.

        The offer names the tasks that were reported to the host as done.
        """
        offer = job.offer
        done = set(offer.done)
        for _, reported_to, report in self.reports:
            if reported_to == host and report.job_id == offer.job_id:
                done.update(report.done)
        offer = offer._replace(done=tuple(sorted(done)))
        self.jobs[offer.job_id] = job
        self._pending[host, offer.job_id] = leader, self.now
        self._deliver_offer(leader, host, offer, self.now)
        self._schedule(REPEAT_INTERVAL_S, self._repeat, leader, host, offer, self.now)

    def _deliver_offer(
        self, leader: str, host: str, offer: JobOffer, sent_at: float
    ) -> None:
        """Deliver an offer to a leader, or once it has resumed if it is paused."""
        if leader in self.paused:
            self._schedule(TICK_S, self._deliver_offer, leader, host, offer, sent_at)
            return
        age_s = self.now - sent_at
        # Hosts learn at once which workers a leader has.
        digests = self.leaders[leader].workers_digests
        self._told[host, offer.job_id] = digests
        self.perform(
            leader,
            self.leaders[leader].handle_offer(self.now, host, 1, offer, age_s, digests),
        )

    def _repeat(self, leader: str, host: str, offer: JobOffer, begin: float) -> None:
        if self._pending.get((host, offer.job_id)) != (leader, begin):
            return
        waited_s = self.now - begin
        if host not in self.silent_hosts:
            repeated = offer._replace(
                elapsed_s=offer.elapsed_s + waited_s, left_s=offer.left_s - waited_s
            )
            self._deliver_offer(leader, host, repeated, self.now)
        self._schedule(REPEAT_INTERVAL_S, self._repeat, leader, host, offer, begin)

    def hand_over(self, leader: str, job_id: str, host: str = "e1") -> None:
        """Offer a job of a host to another leader, and to the former one no more."""
        job = self.jobs[job_id]
        self.submit(leader, replace(job, offer=self.handed_over(job_id, host)), host)

    def handed_over(self, job_id: str, host: str = "e1") -> JobOffer:
        """Return the offer of a job of a host to the leader after the present one."""
        offer = self.jobs[job_id].offer
        former = self._told.get((host, job_id)) or (UNKNOWN_WORKERS,)
        return offer._replace(
            handovers=offer.handovers + 1,
            former_workers=(*offer.former_workers, *former),
        )

    def submit_at(self, at: float, leader: str, job: SimulatedJob) -> None:
        """Offer a job to a leader at a simulated time, s."""
        self._schedule(at - self.now, self.submit, leader, job)

    def run(self, seconds: float) -> None:
        """Advance the simulated time, delivering messages and ticking the leaders.

        The first tick comes a tick's interval after the call: calls for shorter times
        never tick. Jobs that arrive often are submitted with `submit_at` instead.
        """
        end = self.now + seconds
        next_tick = self.now + TICK_S
        while self.now < end:
            due = self._events[0][0] if self._events else end
            self.now = max(self.now, min(due, next_tick, end))
            while self._events and self._events[0][0] <= self.now:
                _, _, deliver = heapq.heappop(self._events)
                deliver()
            if self.now >= next_tick:
                next_tick += TICK_S
                for name, leader in list(self.leaders.items()):
                    if name not in self.paused:
                        oldest_at = leader.report_oldest_offer(self.now)
                        self._told_offers.append(_ToldOffers(self.now, oldest_at))
                        self.perform(name, leader.tick(self.now))
            self._check_invariants()

    def perform(self, leader: str, actions: Iterable) -> None:
        """Carry out the actions that a leader returned."""
        for action in actions:
            match action:
                case RenewLease(worker, renewal, pause_s):
                    self._schedule(
                        pause_s + LINK_DELAY_S, self._renew, leader, worker, renewal
                    )
                case QueryWorker(worker, renewal):
                    self._schedule(LINK_DELAY_S, self._query, leader, worker, renewal)
                case StartRun(worker, order):
                    self._send_start(leader, worker, order)
                case StopRun(worker, run, token):
                    self._schedule(LINK_DELAY_S, self._stop, leader, worker, run, token)
                case ShareReport(report):
                    self.shared_losses.append((self.now, report))
                    for other in self.leaders.keys() - {leader}:
                        self._schedule(LINK_DELAY_S, self._share_losses, other, report)
                case ReportJob(host, report):
                    self.reports.append((self.now, host, report))
                    if isinstance(report, JobEnded):
                        self._pending.pop((host, report.job_id), None)

    def crash(self, name: str, task: str = "", down_s: float = RESTART_S) -> None:
        """End the process of a worker; it restarts as a new incarnation."""
        worker = self.workers[name]
        worker.advance(self.now)
        tasks = tuple(run.task for run in worker.running)
        self.crashes.append((self.now, name, task, tasks))
        worker.restart(self.now)
        worker.refusing = True
        self._schedule(down_s, setattr, worker, "refusing", False)

    def _crash_by(self, name: str, run: Run) -> None:
        if run in self.workers[name].running:
            self.crash(name, run.task)

    def _schedule(self, delay_s: float, call: Callable, *args: object) -> None:
        due = self.now + delay_s
        heapq.heappush(
            self._events, (due, next(self._event_numbers), lambda: call(*args))
        )

    def _deliver_reply(self, leader: str, method: str, *args: object) -> None:
        """Deliver a reply to a leader, or once it has resumed if it is paused."""
        if leader in self.paused:
            self._schedule(TICK_S, self._deliver_reply, leader, method, *args)
            return
        self.perform(leader, getattr(self.leaders[leader], method)(self.now, *args))

    def _share_losses(self, leader: str, report: JobProgress) -> None:
        self.leaders[leader].handle_losses(self.now, report.losses)

    def _is_unreachable(self, leader: str, name: str) -> bool:
        return self.workers[name].unreachable or self.cut(leader, name)

    def _renew(self, leader: str, entry: WorkerEntry, renewal: Renewal) -> None:
        name = entry.name
        if leader in self.paused:
            self._schedule(TICK_S, self._renew, leader, entry, renewal)
            return
        if self.workers[name].refusing:
            self._schedule(
                LINK_DELAY_S,
                self._deliver_reply,
                leader,
                "handle_renewal_reply",
                name,
                renewal,
                RenewalFailure.REFUSED,
            )
            return
        if self._is_unreachable(leader, name):
            lost = RenewalFailure.SILENT
            self._schedule(
                0.3,
                self._deliver_reply,
                leader,
                "handle_renewal_reply",
                name,
                renewal,
                lost,
            )
            return
        worker = self.workers[name]
        worker.renew(self.now, renewal)
        until = self.now + renewal.wait_s
        self._hold_renewal(leader, name, renewal, until, worker.incarnation)

    def _hold_renewal(
        self,
        leader: str,
        name: str,
        renewal: Renewal,
        until: float,
        incarnation: int,
    ) -> None:
        """Reply to a renewal once a run has ended, at the latest at `until`."""
        reply: LeaseReply | RenewalFailure = RenewalFailure.SILENT
        worker = self.workers[name]
        broken = worker.refusing or worker.incarnation != incarnation
        if not broken and not self._is_unreachable(leader, name):
            # A renewal extends the lease when it arrives, not while it is held.
            reply = worker.renew(self.now, renewal._replace(deadline_s=None))
            if isinstance(reply, LeaseReply) and not reply.ends and self.now < until:
                self._schedule(
                    _END_POLL_INTERVAL_S,
                    self._hold_renewal,
                    leader,
                    name,
                    renewal,
                    until,
                    incarnation,
                )
                return
        self._schedule(
            LINK_DELAY_S,
            self._deliver_reply,
            leader,
            "handle_renewal_reply",
            name,
            renewal,
            reply,
        )

    def _query(self, leader: str, entry: WorkerEntry, renewal: Renewal) -> None:
        worker = self.workers[entry.name]
        if not self._is_unreachable(leader, entry.name) and not worker.refusing:
            reply = worker.renew(self.now, renewal)
            self._schedule(
                LINK_DELAY_S,
                self._deliver_reply,
                leader,
                "handle_state_reply",
                entry.name,
                renewal,
                reply,
            )

    def _send_start(self, leader: str, entry: WorkerEntry, order: Order) -> None:
        name = entry.name
        unknown = OrderReply(OrderOutcome.UNKNOWN)
        if self.random.random() < self.late_order_share:
            delay_s = self.random.uniform(2.0, 12.0)
            self._schedule(delay_s, self._start_late, leader, name, order)
            self._schedule(
                ANSWER_TIMEOUT_S,
                self._deliver_reply,
                leader,
                "handle_start_reply",
                name,
                order.run,
                unknown,
            )
            return
        self._schedule(LINK_DELAY_S, self._start, leader, name, order)

    def _start_late(self, leader: str, name: str, order: Order) -> None:
        if not self._is_unreachable(leader, name):
            self._apply_start(name, order)

    def _start(self, leader: str, name: str, order: Order) -> None:
        if self._is_unreachable(leader, name):
            reply = OrderReply(OrderOutcome.UNKNOWN)
            delay_s = ANSWER_TIMEOUT_S
        elif self.workers[name].refusing:
            reply = OrderReply(OrderOutcome.UNSENT)
            delay_s = LINK_DELAY_S
        else:
            reply = self._apply_start(name, order)
            delay_s = LINK_DELAY_S
        self._schedule(
            delay_s,
            self._deliver_reply,
            leader,
            "handle_start_reply",
            name,
            order.run,
            reply,
        )

    def _apply_start(self, name: str, order: Order) -> OrderReply:
        task = order.run.task
        job = self.jobs[task.split(".")[0]]
        is_new = order.run not in self.workers[name].running
        reply = self.workers[name].start(self.now, order, job)
        if reply.outcome is OrderOutcome.ACCEPTED:
            if is_new and any(task in worker.done for worker in self.workers.values()):
                self._record_violation(f"{task} starts after it was done")
            self.starts += 1
            self.starts_by_task.setdefault(order.run.task, []).append(self.now)
            if order.run.task in job.deadly:
                self._schedule(_CRASH_DELAY_S, self._crash_by, name, order.run)
        return reply

    def _stop(self, leader: str, entry: WorkerEntry, run: Run, token: int) -> None:
        answered = False
        worker = self.workers[entry.name]
        lost = self._is_unreachable(leader, entry.name)
        lost = lost or self.loses_stops(leader, entry.name)
        if not lost and not worker.refusing:
            answered = self.workers[entry.name].stop(self.now, run, token)
        delay_s = LINK_DELAY_S if answered else ANSWER_TIMEOUT_S
        self._schedule(
            delay_s,
            self._deliver_reply,
            leader,
            "handle_stop_reply",
            entry.name,
            run,
            answered,
        )

    def _check_invariants(self) -> None:
        """Record the invariants that are violated now."""
        seen: dict[str, str] = {}
        for name, worker in self.workers.items():
            worker.advance(self.now)
            cores = sum(running.needs.cores for running in worker.running.values())
            if cores > worker.entry.room.cores + 1e-6:
                self._record_violation(f"{name} over its capacity: {cores:g} cores")
            for run in worker.running:
                if run.task in seen:
                    self._record_violation(
                        f"{run.task} runs twice: on {seen[run.task]} and {name}"
                    )
                seen[run.task] = name

    def _record_violation(self, what: str) -> None:
        if what not in self.violations:
            self.violations.append(what)


def worker_entry(name: str, cores: float = 16.0, rack: str = "r1") -> WorkerEntry:
    """Return the catalogue entry of a worker, by default of the usual size."""
    return WorkerEntry(
        name=name,
        service="booking",
        address=Address("127.0.0.1", 1000 + int(name.strip("w") or 0)),
        data_centre="dc1",
        rack=rack,
        labels=frozenset(("a", rack)),
        room=Resources(cores, 32768, 0),
    )


def job_offer(
    job_id: str,
    tasks: int = 2,
    run_s: float = 0.2,
    cores: float = 6.8,
    left_s: float = 1.5,
    handovers: int = 0,
    **fields: object,
) -> JobOffer:
    """Return the offer of a job with one step."""
    step = StepSpec(tasks, Resources(cores, 64, 0), run_s)
    offer = JobOffer(
        job_id=job_id,
        route="deposit",
        service="booking",
        body="{}",
        steps=(step,),
        priority=1,
        max_attempts=2,
        stretch=1.6,
        allowance_s=0.06,
        elapsed_s=0.0,
        left_s=left_s,
        handovers=handovers,
    )
    return offer._replace(**fields)


def simulated_job(
    job_id: str, run_s: float = 0.2, poison: bool = False, **fields: object
) -> SimulatedJob:
    """Return a job whose tasks run for exactly the declared time."""
    offer = job_offer(job_id, run_s=run_s, **fields)
    return SimulatedJob(offer, run_s, offer.steps[0].needs, poison)
