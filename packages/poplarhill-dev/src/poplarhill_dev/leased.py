"""A stand-in for workers that grant leases, and a world of leaders around them.

Nothing here waits or connects: time is given, and what leaders ask for is
carried out after the delay of the link. The world keeps a list of promises that
were broken.
"""

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from poplarhill.types import Address, Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leading import (
    Leader,
    Order,
    QueryWorker,
    RenewLease,
    ReportJob,
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
from poplarhilld.peers.messages import JobEnded, JobOffer, StepSpec

LEASE_S = 1.0
LINK_S = 0.001
ANSWER_LIMIT_S = 0.25
TICK_S = 0.05
_POLL_S = 0.005


@dataclass
class _Running:
    run: Run
    needs: Resources
    until: float
    fails: bool


@dataclass
class SimulatedWorker:
    """One worker: obeys the highest token, kills all when its lease ends.

    Attributes:
        entry: How it registered itself.
        incarnation: When its process started, ms.
        token: Highest token seen.
        lease_until: End of the lease, s.
        running: What runs, by run.
        ends: Ends that no leader has taken in.
        unreachable: Whether no request reaches it.
        broken: Whether every task fails.
        stuck: Whether tasks never end.
        slowdown: Factor on run times.
        on_end: Called with the time, run and kind of each end.
    """

    entry: WorkerEntry
    incarnation: int = 1
    token: int = 0
    lease_until: float = 0.0
    running: dict[Run, _Running] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    unreachable: bool = False
    broken: bool = False
    stuck: bool = False
    slowdown: float = 1.0
    on_end: Callable[[float, Run, RunEndKind], None] = lambda at, run, kind: None
    _sequence: int = 0
    _closed: dict[str, int] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """End what has run its time or lost its lease."""
        for running in list(self.running.values()):
            until = running.until
            if until <= min(now, self.lease_until):
                kind = RunEndKind.FAILED if running.fails else RunEndKind.DONE
                self._end(until, running.run, kind)
        if now > self.lease_until:
            for run in list(self.running):
                self._end(self.lease_until, run, RunEndKind.LAPSED)

    def renew(self, now: float, renewal: Renewal) -> LeaseReply | RenewalFailure:
        """Take a renewal; the answer does not wait for an end."""
        self.advance(now)
        if renewal.token < self.token:
            return RenewalFailure.FENCED
        self.token = renewal.token
        self._extend(now, renewal.deadline_s)
        self.ends = [end for end in self.ends if end.sequence > renewal.last_seen]
        return LeaseReply(now, self.incarnation, tuple(self.running), tuple(self.ends))

    def start(self, now: float, order: Order, job: "SimulatedJob") -> OrderReply:
        """Take an order to start a run; room is not looked at."""
        self.advance(now)
        if order.token < self.token:
            return OrderReply(OrderOutcome.FENCED, now)
        self.token = order.token
        if now > order.deadline_s:
            return OrderReply(OrderOutcome.EXPIRED, now)
        if order.run.number <= self._closed.get(order.run.task, 0):
            return OrderReply(OrderOutcome.OUTDATED, now)
        self._extend(now, order.deadline_s)
        if order.run not in self.running:
            until = now + job.time_of(order.run.task) * self.slowdown
            self.running[order.run] = _Running(
                order.run,
                job.needs,
                float("inf") if self.stuck else until,
                self.broken or job.poison,
            )
        return OrderReply(OrderOutcome.ACCEPTED, now)

    def stop(self, now: float, run: Run, token: int) -> bool:
        """Take an order to stop a run."""
        self.advance(now)
        if token < self.token:
            return True
        self.token = token
        if run in self.running:
            self._end(now, run, RunEndKind.STOPPED)
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        return True

    def restart(self, now: float) -> None:
        """Begin a new life under the same name."""
        self.incarnation += 1
        self.token = 0
        self.lease_until = now
        self.running.clear()
        self.ends.clear()
        self._sequence = 0
        self._closed.clear()

    def _extend(self, now: float, deadline_s: float | None) -> None:
        if deadline_s is not None:
            until = min(deadline_s, now + LEASE_S)
            self.lease_until = max(self.lease_until, until)

    def _end(self, at: float, run: Run, kind: RunEndKind) -> None:
        del self.running[run]
        self._sequence += 1
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        self.ends.append(RunEnd(self._sequence, run, kind))
        self.on_end(at, run, kind)


@dataclass(frozen=True)
class SimulatedJob:
    """A job and how its tasks really are.

    Attributes:
        offer: What its entry host offers.
        run_s: Run time of its tasks on a usual worker, s.
        needs: Room that each task takes.
        poison: Whether its tasks fail.
        runs: Run times of single tasks that differ, s.
    """

    offer: JobOffer
    run_s: float
    needs: Resources
    poison: bool = False
    runs: dict[str, float] = field(default_factory=dict)

    def time_of(self, task: str) -> float:
        """Return how long a task really runs, s."""
        return self.runs.get(task, self.run_s)


class World:
    """Workers, leaders and the links between them, in simulated time.

    Args:
        workers: The workers.
        seed: Seed of every random choice.
    """

    def __init__(self, workers: Iterable[SimulatedWorker], seed: int = 1) -> None:
        self.now = 100.0
        self.random = Random(seed)
        self.workers = {worker.entry.name: worker for worker in workers}
        self.leaders: dict[str, Leader] = {}
        self.paused: set[str] = set()
        self.cut: Callable[[str, str], bool] = lambda leader, worker: False
        self.late_order_share = 0.0
        self.jobs: dict[str, SimulatedJob] = {}
        self.reports: list[tuple[float, str, object]] = []
        self.violations: list[str] = []
        self.starts = 0
        self._mail: list = []
        self._order = itertools.count()

    @property
    def entries(self) -> dict[str, WorkerEntry]:
        """Registered workers by name."""
        return {name: worker.entry for name, worker in self.workers.items()}

    def add_leader(
        self, name: str, number: int, entries: dict[str, WorkerEntry] | None = None
    ) -> Leader:
        """Make a leader of some workers, or all, with tokens of its own."""
        leader = Leader(TokenSource(Address(f"10.0.0.{number}", 1)), LEASE_S)
        self.leaders[name] = leader
        self.perform(
            name, leader.set_workers(self.now, self.now, entries or self.entries)
        )
        return leader

    def outcome(self, job_id: str) -> JobEnded | None:
        """Return the last outcome that was reported of a job."""
        found = [r for _, _, r in self.reports if isinstance(r, JobEnded)]
        found = [report for report in found if report.job_id == job_id]
        return found[-1] if found else None

    def submit(self, leader: str, job: SimulatedJob, host: str = "e1") -> None:
        """Offer a job to a leader."""
        self.jobs[job.offer.job_id] = job
        self.perform(leader, self.leaders[leader].offer(self.now, host, 1, job.offer))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        next_tick = self.now + TICK_S
        while self.now < end:
            due = self._mail[0][0] if self._mail else end
            self.now = max(self.now, min(due, next_tick, end))
            while self._mail and self._mail[0][0] <= self.now:
                _, _, deliver = heapq.heappop(self._mail)
                deliver()
            if self.now >= next_tick:
                next_tick += TICK_S
                for name, leader in list(self.leaders.items()):
                    if name not in self.paused:
                        self.perform(name, leader.tick(self.now))
            self._check()

    def perform(self, leader: str, actions: Iterable) -> None:
        """Carry out what a leader asks for."""
        for action in actions:
            match action:
                case RenewLease(worker, renewal, pause_s):
                    self._later(pause_s + LINK_S, self._renew, leader, worker, renewal)
                case QueryWorker(worker, renewal):
                    self._later(LINK_S, self._look, leader, worker, renewal)
                case StartRun(worker, order):
                    self._send_start(leader, worker, order)
                case StopRun(worker, run, token):
                    self._later(LINK_S, self._stop, leader, worker, run, token)
                case ReportJob(host, report):
                    self.reports.append((self.now, host, report))

    def _later(self, delay_s: float, call: Callable, *args: object) -> None:
        due = self.now + delay_s
        heapq.heappush(self._mail, (due, next(self._order), lambda: call(*args)))

    def _deliver(self, leader: str, method: str, *args: object) -> None:
        """Give a leader an answer; one that stands still gets it later."""
        if leader in self.paused:
            self._later(TICK_S, self._deliver, leader, method, *args)
            return
        self.perform(leader, getattr(self.leaders[leader], method)(self.now, *args))

    def _silent(self, leader: str, name: str) -> bool:
        return self.workers[name].unreachable or self.cut(leader, name)

    def _renew(self, leader: str, entry: WorkerEntry, renewal: Renewal) -> None:
        name = entry.name
        if leader in self.paused:
            self._later(TICK_S, self._renew, leader, entry, renewal)
            return
        if self._silent(leader, name):
            lost = RenewalFailure.SILENT
            self._later(
                0.3, self._deliver, leader, "handle_renewal_reply", name, renewal, lost
            )
            return
        self.workers[name].renew(self.now, renewal)
        self._wait_for_end(leader, name, renewal, self.now + renewal.wait_s)

    def _wait_for_end(
        self, leader: str, name: str, renewal: Renewal, until: float
    ) -> None:
        """Answer a renewal when the worker has an end to tell, or in time."""
        reply: LeaseReply | RenewalFailure = RenewalFailure.SILENT
        if not self._silent(leader, name):
            # Only its arrival extends a lease.
            reply = self.workers[name].renew(
                self.now, renewal._replace(deadline_s=None)
            )
            if isinstance(reply, LeaseReply) and not reply.ends and self.now < until:
                self._later(_POLL_S, self._wait_for_end, leader, name, renewal, until)
                return
        self._later(
            LINK_S, self._deliver, leader, "handle_renewal_reply", name, renewal, reply
        )

    def _look(self, leader: str, entry: WorkerEntry, renewal: Renewal) -> None:
        if not self._silent(leader, entry.name):
            reply = self.workers[entry.name].renew(self.now, renewal)
            self._later(
                LINK_S,
                self._deliver,
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
            self._later(delay_s, self._start_late, leader, name, order)
            self._later(
                ANSWER_LIMIT_S,
                self._deliver,
                leader,
                "handle_start_reply",
                name,
                order.run,
                unknown,
            )
            return
        self._later(LINK_S, self._start, leader, name, order)

    def _start_late(self, leader: str, name: str, order: Order) -> None:
        if not self._silent(leader, name):
            self._take_start(name, order)

    def _start(self, leader: str, name: str, order: Order) -> None:
        if self._silent(leader, name):
            reply = OrderReply(OrderOutcome.UNKNOWN)
            delay_s = ANSWER_LIMIT_S
        else:
            reply = self._take_start(name, order)
            delay_s = LINK_S
        self._later(
            delay_s, self._deliver, leader, "handle_start_reply", name, order.run, reply
        )

    def _take_start(self, name: str, order: Order) -> OrderReply:
        job = self.jobs[order.run.task.split(".")[0]]
        reply = self.workers[name].start(self.now, order, job)
        self.starts += reply.outcome is OrderOutcome.ACCEPTED
        return reply

    def _stop(self, leader: str, entry: WorkerEntry, run: Run, token: int) -> None:
        answered = False
        if not self._silent(leader, entry.name):
            answered = self.workers[entry.name].stop(self.now, run, token)
        delay_s = LINK_S if answered else ANSWER_LIMIT_S
        self._later(
            delay_s,
            self._deliver,
            leader,
            "handle_stop_reply",
            entry.name,
            run,
            answered,
        )

    def _check(self) -> None:
        """Note promises that are broken now."""
        seen: dict[str, str] = {}
        for name, worker in self.workers.items():
            worker.advance(self.now)
            cores = sum(running.needs.cores for running in worker.running.values())
            if cores > worker.entry.room.cores + 1e-6:
                self._break(f"{name} over its room: {cores:g} cores")
            for run in worker.running:
                if run.task in seen:
                    self._break(f"{run.task} twice: on {seen[run.task]} and {name}")
                seen[run.task] = name

    def _break(self, what: str) -> None:
        if what not in self.violations:
            self.violations.append(what)


def worker_entry(name: str, cores: float = 16.0, rack: str = "r1") -> WorkerEntry:
    """Return a worker of the usual size."""
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
    """Return a job of one step."""
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
    """Return a job whose tasks take just what they declare."""
    offer = job_offer(job_id, run_s=run_s, **fields)
    return SimulatedJob(offer, run_s, offer.steps[0].needs, poison)
