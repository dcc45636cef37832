"""Performs the actions that the decisions return, and handles peers' messages."""

from collections import deque
from collections.abc import Iterable

import structlog

from poplarhill.http import InputLimiter
from poplarhill.types import Address
from poplarhilld.decisions import LogDecision
from poplarhilld.entry.clock import uptime
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.ports import WorkerClient
from poplarhilld.entry.state import HostState
from poplarhilld.entry.worker_calls import WorkerCalls
from poplarhilld.evacuation import Evacuations
from poplarhilld.leading import (
    QueryWorker,
    RenewLease,
    ReportJob,
    SendClock,
    ShareReport,
    StartRun,
    StopRun,
    as_handed_over,
)
from poplarhilld.peers import PeerLinks
from poplarhilld.peers.ages import MessageAges, age_by_own_clock_s
from poplarhilld.peers.codec import Envelope
from poplarhilld.peers.messages import (
    Beat,
    JobEnded,
    JobProgress,
    JobWithdrawn,
    Message,
    OfferedJob,
    WorkersReport,
)
from poplarhilld.shards import AnswerNewPeer, HostLost, SendHeartbeat, partition
from poplarhilld.submissions import AnswerCaller, OfferToLeader, WithdrawFromLeader

_log = structlog.get_logger()


class Performer:
    """Performs actions and exchanges messages with the other hosts.

    Args:
        state: State of this host.
        workers: Sends lease renewals and orders to workers.
        metrics: Metrics of this process.
        limiter: What the listeners of this process share; one of its own if not given.
    """

    def __init__(
        self,
        state: HostState,
        workers: WorkerClient,
        metrics: EntryMetrics,
        limiter: InputLimiter | None = None,
    ) -> None:
        self._state = state
        self._metrics = metrics
        self._heartbeats_sent = metrics.frames.labels("Beat")
        self._worker_calls = WorkerCalls(
            workers,
            state.leader,
            state.evacuations,
            metrics,
            state.usage,
            self.perform,
        )
        settings = state.settings
        self._name = settings.name
        self._ages = MessageAges()
        self._peers = PeerLinks(
            settings.name,
            settings.peers,
            self.on_frame,
            self._on_refused,
            settings.peers.host,
            limiter,
            settings.machine.peer_connections,
        )

    @property
    def peers(self) -> PeerLinks:
        """Links to the other hosts."""
        return self._peers

    async def perform(self, actions: Iterable) -> None:
        """Perform actions in order, and those that result from them.

        The messages to each host are sent together once all actions are performed.
        Renewals follow them: they acknowledge ends of runs, which workers then forget,
        so what these mean for jobs has to be on its way.
        """
        state = self._state
        pending = deque(actions)
        messages: dict[Address, list[Message]] = {}
        renewals: list[RenewLease] = []
        while pending:
            action = pending.popleft()
            match action:
                case LogDecision(decision):
                    _log.info(type(decision).__name__, **decision._asdict())
                case SendHeartbeat(address, beat):
                    self._heartbeats_sent.inc()
                    messages.setdefault(address, []).append(beat)
                case StartRun() | StopRun() | QueryWorker():
                    await self._worker_calls.begin(action)
                case RenewLease():
                    renewals.append(action)
                case ReportJob(host, message):
                    pending.extend(self._add_message(messages, host, message))
                case ShareReport(report):
                    for name in state.hosts.live:
                        self._add_message(messages, name, report)
                    state.submissions.note_done(report.done_tasks)
                case OfferToLeader(host, message) | WithdrawFromLeader(host, message):
                    pending.extend(self._add_message(messages, host, message))
                case SendClock(host):
                    state.hosts.send_heartbeat(uptime(), host)
                case AnswerCaller(number, failure):
                    outcome_queue = state.outcomes.get(number)
                    if outcome_queue is not None:
                        await outcome_queue.put(failure)
                case AnswerNewPeer(address):
                    await self._peers.reconnect(address)
                    await state.pause.end()
                case HostLost(host, reason, lost_s):
                    pending.extend(
                        state.leader.handle_lost_host(uptime(), host, reason, lost_s)
                    )
        for address, together in messages.items():
            await self._peers.send(address, *together)
        for renewal in renewals:
            await self._worker_calls.begin(renewal)

    async def send(self, host: str, message: Message) -> list:
        """Send a message to a host; handle it at once if that is this host.

        Returns:
            Actions that result from handling it here.
        """
        messages: dict[Address, list[Message]] = {}
        actions = self._add_message(messages, host, message)
        for address in messages:
            await self._peers.send(address, message)
        return actions

    def _add_message(
        self, messages: dict[Address, list[Message]], host: str, message: Message
    ) -> list:
        """Add a message to those to be sent; handle one to this host at once.

        Returns:
            Actions that result from handling it here.
        """
        if host == self._name:
            return self.handle_message(host, message)
        address = self._state.hosts.address(host)
        if address is not None:
            self._metrics.frames.labels(type(message).__name__).inc()
            messages.setdefault(address, []).append(message)
        return []

    def handle_message(self, sender: str, message: Message) -> list:
        """Apply a message from a host, maybe this one; return the resulting actions."""
        state = self._state
        now = uptime()
        match message:
            case Beat():
                age_s = self._ages.age_s(now, sender, message.sent_at_s)
                state.peer_clocks.note(
                    now, sender, message.incarnation, message.sent_at_s
                )
                actions = state.hosts.heartbeat_received(now, sender, message, age_s)
                if message.evacuations_end:
                    copy = Evacuations(message.evacuations_end, message.evacuations)
                    actions = actions + self._adopt_evacuations(sender, copy)
                return actions
            case OfferedJob(number):
                if not state.hosts.claims:
                    return []
                offer = as_handed_over(message, state.hosts.leading_since_epoch)
                age_s = self._offer_age_s(now, sender, message)
                return state.leader.handle_offer(
                    now, sender, number, offer, age_s, message.workers_digests
                )
            case JobWithdrawn(job_id, cancelled):
                actions = state.leader.handle_withdrawal(now, sender, message)
                if cancelled:
                    actions = actions + state.submissions.cancel_job(now, job_id)
                return actions
            case WorkersReport():
                self._apply_workers_report(sender, message)
                return []
            case JobProgress() | JobEnded():
                if isinstance(message, JobProgress):
                    if message.losses:
                        state.leader.handle_losses(now, message.losses)
                    state.submissions.note_done(message.done_tasks)
                return state.submissions.apply_report(now, sender, message)
        _log.warning("FrameIgnored", kind=type(message).__name__, peer=sender)
        return []

    def _offer_age_s(
        self, now: float, sender: str, offered: OfferedJob
    ) -> float | None:
        """Return for how long an offer was under way, s; `None` if it is not known."""
        if sender == self._name:
            return 0.0
        if offered.leader_clock_s is not None:
            return age_by_own_clock_s(now, offered.leader_clock_s)
        return self._ages.age_s(now, sender, offered.sent_at_s)

    async def update_evacuations(self, copy: Evacuations) -> None:
        """Put the evacuations that were read from the store in force."""
        await self.perform(self._adopt_evacuations("store", copy))

    def _adopt_evacuations(self, source: str, copy: Evacuations) -> list:
        """Adopt what the store or a peer holds if it is newer; return the actions."""
        state = self._state
        changed, lines = state.evacuations.update(source, copy)
        state.hosts.set_evacuations(state.evacuations.for_peers)
        if not changed:
            return []
        evacuated = state.evacuations.data_centres
        return [*lines, *state.leader.set_evacuated(uptime(), evacuated)]

    def _apply_workers_report(self, sender: str, report: WorkersReport) -> None:
        """Apply what another host has read of workers, if this host can't read it."""
        state = self._state
        if state.hosts.outdated and state.registry.reduce(report.reduced):
            state.shards = partition(state.registry.workers.values())
            _log.info("WorkersReported", peer=sender, reduced=len(report.reduced))

    async def on_frame(self, envelope: Envelope) -> None:
        """Handle a message that a peer sent."""
        if isinstance(envelope.message, Beat):
            self._state.usage.heartbeats += 1
        else:
            self._state.usage.frames += 1
        await self.perform(self.handle_message(envelope.sender, envelope.message))
        if self._state.hosts.changed:
            await self._state.pause.shorten()

    async def _on_refused(self, address: Address) -> None:
        """Report that a peer's address refused a connection."""
        await self.perform(self._state.hosts.connection_refused(uptime(), address))
        await self._state.pause.shorten()
