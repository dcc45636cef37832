"""Workers of the simulated fleet: stops take time, orders may take effect late."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from poplarhill_dev.leased import (
    ANSWER_TIMEOUT_S,
    LINK_DELAY_S,
    SimulatedWorker,
    World,
)
from poplarhill_dev.simulation.checks import Checks, Violation
from poplarhill_dev.simulation.clock import simulated_time
from poplarhill_dev.simulation.host import SimulatedHost
from poplarhill_dev.simulation.network import Network
from poplarhilld.leading import Order, QueryWorker, RenewLease, StartRun, StopRun
from poplarhilld.leases import (
    LeaseReply,
    OrderOutcome,
    OrderReply,
    Renewal,
    RenewalFailure,
    Run,
    RunEndKind,
)

STOP_TIMEOUT_S = 0.05
_RENEWAL_TIMEOUT_S = 0.3  # beyond the time for which a worker may hold a renewal


@dataclass
class HeldRenewal:
    """A renewal whose reply waits for the end of a run.

    Attributes:
        renewal: The renewal; its lease was granted on its arrival.
        until: When it is answered at the latest, s.
        answer: Takes the reply.
    """

    renewal: Renewal
    until: float
    answer: Callable[[object], None]


@dataclass
class FleetWorker(SimulatedWorker):
    """A worker whose runs end some time after the order to stop them.

    Attributes:
        stop_delay_s: Returns how long the next stop takes, s.
        held: Renewals that wait for the end of a run.
    """

    stop_delay_s: Callable[[], float] = lambda: 0.0
    held: list[HeldRenewal] = field(default_factory=list)
    _stopped: set[Run] = field(default_factory=set)

    def stop(self, now: float, run: Run, token: int) -> bool:
        """Apply an order to stop a run, which ends a little later."""
        self.advance(now)
        if token < self.token:
            return True
        self.token = token
        running = self.running.get(run)
        if running is not None and run not in self._stopped:
            ends_at = now + self.stop_delay_s()
            if ends_at < running.until:
                running.until = ends_at
                self._stopped.add(run)
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        return True

    def restart(self, now: float) -> None:
        """Restart the process: a new incarnation under the same name."""
        super().restart(now)
        self._stopped.clear()

    def _end(self, at: float, run: Run, kind: RunEndKind) -> None:
        if run in self._stopped:
            self._stopped.discard(run)
            if kind is not RunEndKind.LAPSED:
                kind = RunEndKind.STOPPED
        super()._end(at, run, kind)


class WorkerWorld(World):
    """Workers and the calls that hosts send them; checks each start of a run.

    Args:
        workers: The workers.
        seed: Seed of every random choice.

    Attributes:
        network: Paths between the machines.
        lines: Log lines, answers, starts and ends: time, host or worker, and what.
        late_stop_share: Share of the stop orders that take effect late.
        late_renewal_share: Share of the renewals that take effect late.
        checks: Checks the invariants.
    """

    def __init__(self, workers: Iterable[FleetWorker], seed: int) -> None:
        super().__init__(workers, seed)
        self.network = Network()
        self.lines: list[tuple[float, str, object]] = []
        self.late_stop_share = 0.0
        self.late_renewal_share = 0.0
        self.checks = Checks(self)
        for worker in self.workers.values():
            self.prepare_worker(worker)

    def prepare_worker(self, worker: FleetWorker) -> None:
        """Let a worker draw how long its stops take, and report the ends of runs."""
        worker.stop_delay_s = partial(self.random.uniform, 0.0, STOP_TIMEOUT_S)
        worker.on_end = partial(self._run_ended, worker.entry.name)
        worker.on_acknowledged = partial(
            self.checks.end_acknowledged, worker.entry.name
        )

    @property
    def violated(self) -> list[Violation]:
        """The violated invariants."""
        return self.checks.violated

    def schedule(self, delay_s: float, call: Callable, *args: object) -> None:
        """Call a function after a delay, s."""
        self._schedule(delay_s, call, *args)

    def run(self, seconds: float) -> None:
        """Advance the simulated time, carrying out what is due."""
        end = self.now + seconds
        with simulated_time(lambda: self.now):
            while self._events and self._events[0][0] <= end:
                due, _, call = heapq.heappop(self._events)
                self.now = max(self.now, due)
                call()
        self.now = end

    def note(self, who: str, what: object) -> None:
        """Record a line of the trace."""
        self.lines.append((self.now, who, what))

    def call_worker(self, host: SimulatedHost, action: object) -> None:
        """Send a call to a worker; the leader of the host handles the reply."""
        leader = host.state.leader
        match action:
            case StartRun(entry, order):
                name, run, sent_at = entry.name, order.run, self.now
                self._call(
                    host,
                    name,
                    lambda answer: answer(
                        self._start_run(name, order, host.name, sent_at)
                    ),
                    lambda reply: leader.handle_start_reply(self.now, name, run, reply),
                    OrderReply(OrderOutcome.UNKNOWN),
                    OrderReply(OrderOutcome.UNSENT),
                    late_share=self.late_order_share,
                )
            case StopRun(entry, run, token):
                name = entry.name
                self.note(host.name, f"orders stop of {run} on {name}")
                self._call(
                    host,
                    name,
                    lambda answer: answer(self._stop_run(name, run, token)),
                    lambda reply: leader.handle_stop_reply(self.now, name, run, reply),
                    False,
                    False,
                    late_share=self.late_stop_share,
                )
            case RenewLease(_, _, pause_s) if pause_s:
                renew = partial(self._renew_after_pause, host, action)
                self.schedule(pause_s, host.handle, renew)
            case RenewLease(entry, renewal):
                self._renew_lease(host, entry.name, renewal, "handle_renewal_reply")
            case QueryWorker(entry, renewal):
                self._renew_lease(host, entry.name, renewal, "handle_state_reply")

    def _renew_after_pause(self, host: SimulatedHost, action: RenewLease) -> None:
        worker = host.state.leader.workers.get(action.worker.name)
        if worker is None or worker.token != action.renewal.token or worker.fenced:
            return
        renewal = worker.next_renewal(self.now)
        self.call_worker(host, RenewLease(action.worker, renewal))

    def _renew_lease(
        self, host: SimulatedHost, name: str, renewal: Renewal, method: str
    ) -> None:
        handle_reply = getattr(host.state.leader, method)
        self._call(
            host,
            name,
            partial(self._hold_renewal_until_end, name, renewal),
            lambda reply: handle_reply(self.now, name, renewal, reply),
            RenewalFailure.SILENT,
            RenewalFailure.REFUSED,
            renewal.wait_s + _RENEWAL_TIMEOUT_S,
            self.late_renewal_share,
        )

    def _call(
        self,
        host: SimulatedHost,
        name: str,
        request: Callable[[Callable[[object], None]], None],
        handle_reply: Callable[[object], list],
        no_reply: object,
        refused: object,
        timeout_s: float = ANSWER_TIMEOUT_S,
        late_share: float = 0.0,
    ) -> None:
        """Send a request to a worker.

        Args:
            host: The host that sends it.
            name: Name of the worker.
            request: Carries it out on the worker and passes the reply on.
            handle_reply: Returns the actions of the leader on a reply.
            no_reply: What the leader is told if there is no reply in time.
            refused: What the leader is told if the connection is refused.
            timeout_s: How long a reply is waited for, s.
            late_share: Share of such requests that take effect late, without a reply.
        """
        worker, sent_at = self.workers[name], self.now

        def reply(result: object) -> None:
            host.handle(lambda: host.perform(handle_reply(result)))

        def answer(result: object) -> None:
            if self.network.is_cut(name, host.name) or worker.unreachable:
                left_s = max(0.0, sent_at + timeout_s - self.now)
                self.schedule(left_s, reply, no_reply)
            else:
                self.schedule(LINK_DELAY_S, reply, result)

        def carry_out_late() -> None:
            if not worker.refusing:
                request(lambda result: None)

        if worker.refusing:
            self.schedule(2 * LINK_DELAY_S, reply, refused)
        elif self.network.is_cut(host.name, name) or worker.unreachable:
            self.schedule(timeout_s, reply, no_reply)
        elif late_share and self.random.random() < late_share:
            self.schedule(self._late_delay_s(), carry_out_late)
            self.schedule(timeout_s, reply, no_reply)
        else:
            self.schedule(LINK_DELAY_S, request, answer)

    def _late_delay_s(self) -> float:
        """Return when a late request takes effect: while it is valid, or much later."""
        if self.random.random() < 0.3:
            return self.random.uniform(0.25, 0.7)
        return self.random.uniform(2.0, 12.0)

    def _start_run(
        self, name: str, order: Order, host: str, sent_at: float
    ) -> OrderReply:
        worker = self.workers[name]
        known = order.run in worker.running
        reply = self._apply_start(name, order)
        if reply.outcome is not OrderOutcome.ACCEPTED:
            self.note(name, f"start of {order.run} by {host}: {reply.outcome.value}")
        elif not known:
            self.note(name, f"{order.run} started by {host}")
            self.checks.run_started(name, order.run, host, sent_at)
            ends_at = worker.running[order.run].until
            self.schedule(ends_at - self.now + 1e-6, self._answer_held, name)
        return reply

    def _stop_run(self, name: str, run: Run, token: int) -> bool:
        worker = self.workers[name]
        if token < worker.token:
            self.note(name, f"stop of {run}: fenced")
        worker.stop(self.now, run, token)
        running = worker.running.get(run)
        if running is not None:
            self.schedule(running.until - self.now + 1e-6, self._answer_held, name)
        return True

    def _hold_renewal_until_end(
        self, name: str, renewal: Renewal, answer: Callable[[object], None]
    ) -> None:
        """Grant a lease, and reply once a run has ended or the time has passed."""
        worker = self.workers[name]
        reply = worker.renew(self.now, renewal)
        if isinstance(reply, LeaseReply) and not reply.ends and renewal.wait_s:
            until = self.now + renewal.wait_s
            worker.held.append(HeldRenewal(renewal, until, answer))
            self.schedule(renewal.wait_s, self._answer_held, name)
        else:
            answer(reply)

    def _answer_held(self, name: str) -> None:
        """Reply to the renewals of a worker that are due or whose wait a run ended."""
        worker = self.workers[name]
        worker.advance(self.now)
        held, worker.held = worker.held, []
        for one in held:
            reply = worker.renew(self.now, one.renewal._replace(deadline_s=None))
            if (
                isinstance(reply, LeaseReply)
                and not reply.ends
                and self.now < one.until
            ):
                worker.held.append(one)
            else:
                one.answer(reply)

    def _run_ended(self, name: str, at: float, run: Run, kind: RunEndKind) -> None:
        self.lines.append((at, name, f"{run} {kind.value}"))
        self.checks.run_ended(name, at, run, kind)
