"""One simulated entry host: the real state, ticker and handling of messages."""

import math
from collections import deque
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import NamedTuple, Protocol
from unittest.mock import patch

from poplarhill.exceptions import Failure
from poplarhill.types import Address
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.entry import performer
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.performer import Performer
from poplarhilld.entry.settings import EntrySettings
from poplarhilld.entry.state import HostState
from poplarhilld.entry.ticker import Ticker
from poplarhilld.entry.usage import BusyMeter
from poplarhilld.leading import (
    QueryWorker,
    RenewLease,
    ReportJob,
    SendClock,
    ShareReport,
    StartRun,
    StopRun,
)
from poplarhilld.lookahead import LookaheadMode
from poplarhilld.peers.messages import WorkersReport
from poplarhilld.shards import AnswerNewPeer, HostLost, SendHeartbeat, partition
from poplarhilld.submissions import (
    AnswerCaller,
    OfferToLeader,
    Submission,
    WithdrawFromLeader,
)

_UNUSED = Address("127.0.0.1", 1)
_METRICS = EntryMetrics()


class Environment(Protocol):
    """What a host reaches: links, workers, callers and the log."""

    now: float

    def send(self, host: "SimulatedHost", address: Address, messages: list) -> None:
        """Send messages to the host at an address."""

    def reconnect(self, host: "SimulatedHost", address: Address) -> None:
        """Give up a connection to an address that is still being opened."""

    def call_worker(self, host: "SimulatedHost", action: object) -> None:
        """Send a call to a worker."""

    def answer(self, host: str, number: int, failure: Failure | None) -> None:
        """Answer the caller of a submission."""

    def log(self, host: str, decision: tuple) -> None:
        """Record a log line."""


class WorkersRead(NamedTuple):
    """Log line: a host has read a list of workers that differs from the last one.

    Attributes:
        workers: Count of the listed workers.
    """

    workers: int


class _SimulatedPerformer(Performer):
    """Handles messages as the real one, without links to other hosts.

    Args:
        state: State of the host.
        perform: Carries out actions in the simulation.
    """

    def __init__(self, state: HostState, perform: Callable[[Iterable], None]) -> None:
        with patch.object(performer, "PeerLinks"):  # the real ones open a socket
            super().__init__(state, None, _METRICS)
        self._perform = perform

    async def perform(self, actions: Iterable) -> None:
        """Carry out actions in order, and those that result from them."""
        self._perform(actions)


class SimulatedHost:
    """The process of an entry host.

    Args:
        name: Name of the host.
        address: Address of the host.
        data_centre: Data centre of the host.
        seeds: Addresses of hosts known at start.
        environment: What it reaches.

    Attributes:
        name: Name of the host.
        process: Name of this process of the host; a restart has another one.
        address: Address of the host.
        state: The decision objects of the host.
        frozen: Whether the process is stopped; what arrives waits.
        running: Whether the process runs or is frozen.
        runs_since: When the process was started or last resumed, s.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        data_centre: str,
        seeds: tuple[Address, ...],
        environment: Environment,
    ) -> None:
        now = environment.now
        incarnation = round(now * 1000)
        self.name, self.address = name, address
        self.process = f"{name}@{incarnation}"
        self.frozen = False
        self.running = True
        self.runs_since = now
        self._environment = environment
        self._inbox: deque[Callable[[], None]] = deque()
        settings = EntrySettings(
            name,
            data_centre,
            _UNUSED,
            _UNUSED,
            address,
            _UNUSED,
            _UNUSED,
            seeds=seeds,
            lookahead=LookaheadMode.OFF,
        )
        self.state = HostState(settings, now)
        # The processor time of the simulation says nothing of the host.
        self.state.busy = BusyMeter(math.inf, settings.cores)
        self._performer = _SimulatedPerformer(self.state, self.perform)
        self._ticker = Ticker(self.state, self._performer, None)

    @property
    def idle(self) -> bool:
        """Whether it has neither jobs nor workers."""
        return not len(self.state.submissions) and not self.state.leader.workers

    def handle(self, event: Callable[[], None]) -> None:
        """Handle an event, or once the process is resumed if it is frozen."""
        if self.frozen:
            self._inbox.append(event)
        elif self.running:
            event()

    def resume(self, tick_first: bool) -> None:
        """Resume a frozen process, which handles what has arrived."""
        self.frozen = False
        self.runs_since = self._environment.now
        if tick_first:
            self.tick()
        while self._inbox and self.running:
            self._inbox.popleft()()

    def begin_shutdown(self) -> None:
        """Hand over the led shards and answer the jobs in flight, as on SIGTERM."""
        state, now = self.state, self._environment.now
        state.shutting_down = True
        state.hosts.leave()
        state.submissions.set_stop_time(now + state.settings.grace_s - 1.0)
        self.tick()

    def end_shutdown(self) -> None:
        """Give up what is left before the process ends."""
        state, now = self.state, self._environment.now
        self.perform(state.submissions.tick(now))
        self.perform(state.submissions.abandon_all(now))
        self.perform(state.leader.resign())

    def set_workers(self, entries: Mapping[str, WorkerEntry]) -> None:
        """Put the list of workers that was read from the store in force."""
        state, now = self.state, self._environment.now
        state.registry_read_at = now
        state.hosts.set_outdated(False)
        if state.registry.update(now, entries) or not state.registry_read:
            state.registry_read = True
            state.shards = partition(state.registry.workers.values())
            self._environment.log(self.name, WorkersRead(len(entries)))
            _complete(self._ticker.tick())
        self._report_workers()

    def _report_workers(self) -> None:
        """Tell leaders that can't read the list of workers which take fewer tasks."""
        report = WorkersReport(self.state.registry.reduced)
        if not report.reduced:
            return
        messages: dict[Address, list] = {}
        for name, beat in self.state.hosts.leaders.items():
            if beat.outdated:
                self._add_message(messages, name, report)
        for address, together in messages.items():
            self._environment.send(self, address, together)

    def note_reachable(self, shards: Iterable[str]) -> None:
        """Note the watched shards of which a worker responds to this host now."""
        since, now = self.state.reachable_since, self._environment.now
        self.state.reachable_since = {shard: since.get(shard, now) for shard in shards}

    def submit(self, number: int, submission: Submission) -> None:
        """Accept a job of a caller."""
        now = self._environment.now
        self.perform(self.state.submissions.submit(now, number, submission))

    def drop_caller(self, number: int) -> None:
        """Give up a submission whose caller has closed its connection."""
        now = self._environment.now
        self.perform(self.state.submissions.drop_caller(now, number))

    def receive(self, sender: str, messages: Iterable) -> None:
        """Handle messages of another host."""
        for message in messages:
            self.perform(self._performer.handle_message(sender, message))

    def connection_refused(self, address: Address) -> None:
        """Handle that the address of another host refuses connections."""
        now = self._environment.now
        self.perform(self.state.hosts.connection_refused(now, address))

    def tick(self) -> None:
        """Make the decisions that depend on time."""
        _complete(self._ticker.tick(hosts_too=False))

    def perform(self, actions: Iterable) -> None:
        """Carry out actions in order, and those that result from them."""
        environment, state = self._environment, self.state
        pending = deque(actions)
        messages: dict[Address, list] = {}
        renewals: list[RenewLease] = []
        while pending:
            action = pending.popleft()
            match action:
                case LogDecision(decision):
                    environment.log(self.name, decision)
                case SendHeartbeat(address, beat):
                    messages.setdefault(address, []).append(beat)
                case RenewLease():
                    renewals.append(action)
                case StartRun() | StopRun() | QueryWorker():
                    environment.call_worker(self, action)
                case ShareReport(report):
                    for name in state.hosts.live:
                        self._add_message(messages, name, report)
                    state.submissions.note_done(report.done_tasks)
                case (
                    ReportJob(host, message)
                    | OfferToLeader(host, message)
                    | WithdrawFromLeader(host, message)
                ):
                    pending.extend(self._add_message(messages, host, message))
                case AnswerCaller(number, failure):
                    environment.answer(self.process, number, failure)
                case SendClock(host):
                    state.hosts.send_heartbeat(environment.now, host)
                case AnswerNewPeer(address):
                    environment.reconnect(self, address)
                case HostLost(host):
                    environment.log(self.name, action)
                    now = environment.now
                    pending.extend(state.leader.handle_lost_host(now, host))
        for address, together in messages.items():
            environment.send(self, address, together)
        for renewal in renewals:
            environment.call_worker(self, renewal)

    def _add_message(
        self, messages: dict[Address, list], host: str, message: object
    ) -> list:
        if host == self.name:
            return self._performer.handle_message(host, message)
        address = self.state.hosts.address(host)
        if address is not None:
            messages.setdefault(address, []).append(message)
        return []


def _complete(coroutine: Coroutine) -> None:
    """Run a coroutine that waits for nothing.

    Raises:
        RuntimeError: It waits.
    """
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("a decision of a host waits for an event")
