"""A simulated fleet: hosts, links, workers, callers, and checks of invariants."""

import heapq
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from types import MappingProxyType
from typing import NamedTuple

from poplarhill.exceptions import Failure, RunState
from poplarhill.types import Address
from poplarhill_dev.leased import (
    ANSWER_TIMEOUT_S,
    LINK_DELAY_S,
    TICK_S,
    SimulatedJob,
    World,
    worker_entry,
)
from poplarhill_dev.simulation.callers import (
    CALLER_TIMEOUT_S,
    MAX_ATTEMPTS,
    RESEND_DELAY_S,
    Attempt,
    Caller,
)
from poplarhill_dev.simulation.host import SimulatedHost
from poplarhill_dev.simulation.network import Link, Network, PortState
from poplarhill_dev.simulation.workers import FleetWorker, HeldRenewal
from poplarhilld.entry.store import LEADER_REGISTRY_REFRESH_S
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
from poplarhilld.shards import HostLost, partition
from poplarhilld.shards.messages import LeadershipTaken, LeadershipYielded

CENTRES = MappingProxyType({"dc1": 13, "dc2": 13, "dc3": 11})
# As small as a fleet with rare heartbeats may be, and faster to simulate.
SMALL_FLEET = MappingProxyType({"dc1": 7, "dc2": 7, "dc3": 6})
WORKERS = 100
STOP_TIMEOUT_S = 0.05
_BALANCER_NOTICE_S = 2.5  # from SIGTERM until no more requests arrive
_EXIT_BEFORE_KILL_S = 0.3
_IDLE_TICK_S = 0.075  # of a host without jobs and workers
_RENEWAL_TIMEOUT_S = 0.3  # beyond the time for which a worker may hold a renewal
# Attempts that reach another data centre, as when the own one is out of rotation.
_RESENT_ELSEWHERE_SHARE = 0.25
_ELECTION_S = 3.0  # until each data centre has a leader whose workers have replied


_FLEET_WORDS = ("process ends", "frozen", "resumed", "reset", "cut", "late")


class Violation(NamedTuple):
    """A violated invariant.

    Attributes:
        at: When it was violated, s.
        kind: The invariant.
        job_id: The job.
        what: What was seen.
    """

    at: float
    kind: str
    job_id: str
    what: str


class FleetWorld(World):
    """Hosts in several data centres, their workers and their callers.

    Args:
        seed: Seed of every random choice.
        centres: Count of the hosts of each data centre.
        workers: Count of workers, spread over the data centres.

    Attributes:
        network: Paths between the machines.
        hosts: The present process of each host, by name.
        ports: State of the port of each host that does not listen, by name.
        cut_callers: Hosts that neither reach their callers nor are reached by them.
        callers: The callers by job id.
        lines: Log lines, answers, starts and ends: time, host or worker, and what.
        late_stop_share: Share of the stop orders that take effect late.
        late_renewal_share: Share of the renewals that take effect late.
        handles_closed_requests: Whether a host handles a request that it reads
            together with the close of its connection.
        violated: The violated invariants.
    """

    def __init__(
        self,
        seed: int = 1,
        centres: Mapping[str, int] = CENTRES,
        workers: int = WORKERS,
    ) -> None:
        super().__init__(_workers(workers, tuple(centres)), seed)
        self.network = Network()
        self.hosts: dict[str, SimulatedHost] = {}
        self.ports: dict[str, PortState] = {}
        self.cut_callers: set[str] = set()
        self.callers: dict[str, Caller] = {}
        self.lines: list[tuple[float, str, object]] = []
        self.late_stop_share = 0.0
        self.late_renewal_share = 0.0
        self.handles_closed_requests = False
        self.violated: list[Violation] = []
        self._links: dict[tuple[str, Address], Link] = {}
        self._running_on: dict[str, set[str]] = {}
        self._submissions: dict[Attempt, str] = {}
        self._closed: set[Attempt] = set()
        self._numbers = 0
        self._shards = partition(self.entries.values())
        for name, worker in self.workers.items():
            worker.stop_delay_s = partial(self.random.uniform, 0.0, STOP_TIMEOUT_S)
            worker.on_end = partial(self._run_ended, name)
        self._names: dict[Address, str] = {
            Address(f"10.{centre[2:]}.0.{number}", 1): f"{centre}-{number:02}"
            for centre, count in centres.items()
            for number in range(count)
        }
        self._addresses = {name: address for address, name in self._names.items()}
        for name in self._addresses:
            self._start_process(name)
        self.run(_ELECTION_S)

    # Time

    def schedule(self, delay_s: float, call: Callable, *args: object) -> None:
        """Call a function after a delay, s."""
        self._schedule(delay_s, call, *args)

    def run(self, seconds: float) -> None:
        """Advance the simulated time, carrying out what is due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            due, _, call = heapq.heappop(self._events)
            self.now = max(self.now, due)
            call()
        self.now = end

    # Hosts

    def leader_of(self, centre: str) -> str:
        """Return a host that leads workers of a data centre; empty if there is none."""
        leading = (
            name
            for name, host in self.hosts.items()
            if host.running
            and any(shard.startswith(f"{centre}/") for shard in host.state.hosts.claims)
        )
        return min(leading, default="")

    def kill(self, name: str, down_s: float) -> None:
        """End the process of a host; its port refuses connections until it is back."""
        self._end_process(name, PortState.REFUSED, down_s)
        self._reset_links(name)
        for caller in self._callers_of(self.hosts[name]):
            self._attempt_failed(caller, "connection broken")

    def shut_down(self, name: str, down_s: float) -> None:
        """Send SIGTERM to a host; it ends once it is idle or its time is up."""
        host = self.hosts[name]
        if host.running and not host.state.shutting_down:
            self.note(name, "SIGTERM, process ends later")
            host.handle(host.begin_shutdown)
            ends_at = self.now + host.state.settings.grace_s - _EXIT_BEFORE_KILL_S
            self.schedule(
                _BALANCER_NOTICE_S, self._end_when_idle, host, ends_at, down_s
            )

    def _end_when_idle(
        self, host: SimulatedHost, ends_at: float, down_s: float
    ) -> None:
        idle = not len(host.state.submissions) and not host.state.hosts.claims
        if not host.running:
            return
        if host.frozen or (not idle and self.now < ends_at):
            self.schedule(TICK_S, self._end_when_idle, host, ends_at, down_s)
            return
        host.end_shutdown()
        # What was sent arrives before the connections are closed.
        self.schedule(2 * LINK_DELAY_S, self._kill_process, host, down_s)

    def _kill_process(self, host: SimulatedHost, down_s: float) -> None:
        if host.running:
            self.kill(host.name, down_s)

    def drain_workers(self, names: Iterable[str]) -> None:
        """Let workers report that they drain; hosts read it within their intervals."""
        for name in names:
            worker = self.workers[name]
            worker.entry = worker.entry._replace(draining=True)
        shards = self._shards = partition(self.entries.values())
        for host in self.hosts.values():
            interval_s = LEADER_REGISTRY_REFRESH_S if host.state.leader.workers else 2.0
            delay_s = self.random.uniform(0.0, interval_s)
            self.schedule(delay_s, host.handle, partial(host.set_workers, shards))

    def power_off(self, name: str, down_s: float) -> None:
        """Take the power from a machine, which falls silent; it starts again later."""
        self._end_process(name, PortState.SILENT, down_s)

    def freeze(self, name: str, seconds: float, tick_first: bool | None = None) -> None:
        """Stop the process of a host for a time.

        Args:
            name: Name of the host.
            seconds: Until it is resumed, s.
            tick_first: Whether it then ticks before it reads what has arrived; at
                random if not given.
        """
        host = self.hosts[name]
        if host.running and not host.frozen:
            self.note(name, f"frozen for {seconds:.2f} s")
            host.frozen = True
            self.schedule(seconds, self._resume, host, tick_first)

    def reset_connections(self, name: str) -> None:
        """Break all connections of a host to other hosts and to callers."""
        host = self.hosts[name]
        self.note(name, "connections reset")
        self.schedule(self.random.uniform(0.0, 0.005), self._reset_links, name)
        for caller in self._callers_of(host):
            self._close_connection(host, caller.attempts[-1])
            self._attempt_failed(caller, "connection reset")

    def cut_paths(self, pairs: Iterable[tuple[str, str]], seconds: float) -> None:
        """Cut paths between machines, each in one direction, for a time."""
        cut = set(pairs) - self.network.cuts
        self.network.cuts |= cut
        self.schedule(seconds, self.network.cuts.difference_update, cut)

    def note(self, who: str, what: object) -> None:
        """Record a line of the trace."""
        self.lines.append((self.now, who, what))

    def log(self, host: str, decision: tuple) -> None:
        """Record a log line of a host."""
        self.lines.append((self.now, host, decision))

    def send(self, host: SimulatedHost, address: Address, messages: list) -> None:
        """Send messages to the host at an address."""
        self._link(host, address).send(messages)

    def reconnect(self, host: SimulatedHost, address: Address) -> None:
        """Give up a connection to an address that is still being opened."""
        self._link(host, address).reconnect()

    def _link(self, host: SimulatedHost, address: Address) -> Link:
        link = self._links.get((host.process, address))
        if link is None:
            link = self._links[host.process, address] = Link(
                self,
                self.network,
                host.name,
                address,
                self._names[address],
                self._port,
                self._deliver,
                lambda refused: host.handle(partial(host.connection_refused, refused)),
            )
        return link

    def _port(self, name: str) -> PortState:
        return self.ports.get(name, PortState.OPEN)

    def _deliver(self, sender: str, receiver: str, messages: tuple) -> None:
        host = self.hosts[receiver]
        host.handle(partial(host.receive, sender, messages))

    def _start_process(self, name: str) -> None:
        self.ports.pop(name, None)
        self._reset_links(name)
        address = self._addresses[name]
        seeds = tuple(self._names)
        host = SimulatedHost(name, address, name[:3], seeds, self)
        host.set_workers(self._shards)
        self.hosts[name] = host
        self.schedule(self.random.uniform(0.0, TICK_S), self._tick_host, host)

    def _tick_host(self, host: SimulatedHost) -> None:
        if host.running:
            if not host.frozen:
                host.tick()
            interval_s = _IDLE_TICK_S if host.idle else TICK_S
            self.schedule(interval_s, self._tick_host, host)

    def _resume(self, host: SimulatedHost, tick_first: bool | None) -> None:
        if host.running:
            self.note(host.name, "resumed")
            if tick_first is None:
                tick_first = self.random.random() < 0.5
            host.resume(tick_first)

    def _end_process(self, name: str, port: PortState, down_s: float) -> None:
        if name in self.ports:
            return
        self.note(name, f"process ends, port {port.name}")
        self.hosts[name].running = False
        self.ports[name] = port
        self.schedule(down_s, self._start_process, name)

    def _reset_links(self, name: str) -> None:
        for (process, address), link in list(self._links.items()):
            sender = process.partition("@")[0]
            if name in (sender, self._names[address]):
                link.reset()
            if name == sender and not self.hosts[name].running:
                del self._links[process, address]

    # Callers

    def submit_job(self, job: SimulatedJob, data_centre: str, host: str = "") -> None:
        """Let a caller submit a job to a host of its data centre.

        Args:
            job: The job.
            data_centre: Data centre of the caller.
            host: Host that it is sent to first; any if not given.
        """
        job_id = job.offer.job_id
        self.jobs[job_id] = job
        caller = self.callers[job_id] = Caller(job, data_centre)
        if host:
            self._send_to(caller, host)
        else:
            self._send_attempt(caller)

    def _send_attempt(self, caller: Caller) -> None:
        names = [name for name in self.hosts if name.startswith(caller.data_centre)]
        if caller.attempts and self.random.random() < _RESENT_ELSEWHERE_SHARE:
            names = list(self.hosts)
        listening = [name for name in names if self._is_in_rotation(name)] or names
        self._send_to(caller, self.random.choice(listening))

    def _is_in_rotation(self, name: str) -> bool:
        return name not in self.ports and not self.hosts[name].state.shutting_down

    def _send_to(self, caller: Caller, name: str) -> None:
        """Let a caller send its job to a host."""
        host = self.hosts[name]
        self._numbers += 1
        attempt = Attempt(host.process, self._numbers)
        caller.attempts.append(attempt)
        caller.waiting = True
        job_id = caller.job.offer.job_id
        self.note("caller", f"{job_id}: attempt {len(caller.attempts)} at {name}")
        self._submissions[attempt] = job_id
        if self._port(name) is PortState.REFUSED:
            self._attempt_failed(caller, "connection refused")
            return
        self.schedule(CALLER_TIMEOUT_S, self._caller_gives_up, caller, host, attempt)
        if self._port(name) is PortState.OPEN and name not in self.cut_callers:
            read = partial(self._read_request, host, caller, attempt)
            self.schedule(LINK_DELAY_S, host.handle, read)

    def _read_request(
        self, host: SimulatedHost, caller: Caller, attempt: Attempt
    ) -> None:
        if self.handles_closed_requests or attempt not in self._closed:
            host.submit(attempt.number, caller.submission)

    def _close_connection(self, host: SimulatedHost, attempt: Attempt) -> None:
        """Close the connection of a caller to a host, which notices it."""
        self._closed.add(attempt)
        host.handle(partial(host.drop_caller, attempt.number))

    def answer(self, process: str, number: int, failure: Failure | None) -> None:
        """Answer the caller of a submission."""
        attempt = Attempt(process, number)
        caller = self.callers[self._submissions[attempt]]
        name = process.partition("@")[0]
        if name not in self.cut_callers:
            self.schedule(LINK_DELAY_S, self._answered, caller, attempt, failure)

    def _answered(
        self, caller: Caller, attempt: Attempt, failure: Failure | None
    ) -> None:
        if not caller.waiting or caller.attempts[-1] != attempt:
            return
        job_id = caller.job.offer.job_id
        if failure is not None and caller.is_resent_after(failure):
            self._attempt_failed(caller, f"{failure.kind.value}: {failure.detail}")
            return
        caller.waiting = False
        caller.outcome = failure.kind.value if failure else "complete"
        self.note("caller", f"{job_id}: {caller.outcome}")
        if failure is not None and failure.answer.run_state is RunState.NOT_RUN:
            caller.not_run_at = self.now
            started = any(task.startswith(f"{job_id}.") for task in self.starts_by_task)
            if started and len(caller.attempts) == 1:
                self._violate("started before 'not run'", job_id, caller.outcome)

    def _caller_gives_up(
        self, caller: Caller, host: SimulatedHost, attempt: Attempt
    ) -> None:
        if caller.waiting and caller.attempts[-1] == attempt:
            if host.name not in self.cut_callers:
                self._close_connection(host, attempt)
            self._attempt_failed(caller, "no answer")

    def _attempt_failed(self, caller: Caller, why: str) -> None:
        caller.waiting = False
        self.note("caller", f"{caller.job.offer.job_id}: {why}")
        if len(caller.attempts) < MAX_ATTEMPTS:
            self.schedule(RESEND_DELAY_S, self._send_attempt, caller)

    def _callers_of(self, host: SimulatedHost) -> list[Caller]:
        return [
            caller
            for caller in self.callers.values()
            if caller.waiting and caller.attempts[-1].process == host.process
        ]

    # Workers

    def call_worker(self, host: SimulatedHost, action: object) -> None:
        """Send a call to a worker; the leader of the host handles the reply."""
        leader = host.state.leader
        match action:
            case StartRun(entry, order):
                name, run = entry.name, order.run
                self._call(
                    host,
                    name,
                    lambda answer: answer(self._start_run(name, order, host.name)),
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

        if worker.refusing:
            self.schedule(2 * LINK_DELAY_S, reply, refused)
        elif self.network.is_cut(host.name, name) or worker.unreachable:
            self.schedule(timeout_s, reply, no_reply)
        elif late_share and self.random.random() < late_share:
            self.schedule(self._late_delay_s(), request, lambda result: None)
            self.schedule(timeout_s, reply, no_reply)
        else:
            self.schedule(LINK_DELAY_S, request, answer)

    def _late_delay_s(self) -> float:
        """Return when a late request takes effect: while it is valid, or much later."""
        if self.random.random() < 0.3:
            return self.random.uniform(0.25, 0.7)
        return self.random.uniform(2.0, 12.0)

    def _start_run(self, name: str, order: Order, host: str) -> OrderReply:
        worker = self.workers[name]
        known = order.run in worker.running
        reply = self._apply_start(name, order)
        if reply.outcome is not OrderOutcome.ACCEPTED:
            self.note(name, f"start of {order.run} by {host}: {reply.outcome.value}")
        elif not known:
            self.note(name, f"{order.run} started by {host}")
            self._check_start(name, order.run)
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
        self._running_on.get(run.task, set()).discard(name)

    # Checks

    def _check_start(self, name: str, run: Run) -> None:
        """Check that no other run of a task is under way when one starts."""
        job_id = run.task.partition(".")[0]
        if self.callers[job_id].not_run_at is not None:
            self._violate("started after 'not run'", job_id, f"{run} on {name}")
        on = self._running_on.setdefault(run.task, set())
        on.add(name)
        for other in sorted(on):
            worker = self.workers[other]
            worker.advance(self.now)
            for one in worker.running:
                if one.task == run.task and (other, one) != (name, run):
                    what = f"{run} on {name} beside {one} on {other}"
                    self._violate("ran twice", job_id, what)

    def _violate(self, kind: str, job_id: str, what: str) -> None:
        self.note("check", f"VIOLATION {kind}: {what}")
        self.violated.append(Violation(self.now, kind, job_id, what))

    def trace(self, job_id: str) -> list[str]:
        """Return the lines that concern a job, and those on hosts and shards."""
        return [
            f"{at:9.4f} {who:8} {what}"
            for at, who, what in sorted(self.lines, key=lambda line: line[0])
            if job_id in str(what) or _concerns_the_fleet(what)
        ]


def _concerns_the_fleet(what: object) -> bool:
    if isinstance(what, str):
        return any(word in what for word in _FLEET_WORDS) and "." not in what
    return isinstance(what, LeadershipTaken | LeadershipYielded | HostLost)


def _workers(count: int, centres: tuple[str, ...]) -> list[FleetWorker]:
    return [
        FleetWorker(
            worker_entry(f"w{number}", rack=f"r{number % 8}")._replace(
                data_centre=centres[number % len(centres)]
            )
        )
        for number in range(count)
    ]
