"""This host's view of the other hosts: membership, freshness and their frames."""

from random import Random
from typing import NamedTuple

from poplarhill.types import Address
from poplarhilld.dispatch.actions import Action, LogDecision, SendFrame
from poplarhilld.dispatch.identity import Identity
from poplarhilld.freshness import (
    Freshness,
    HostsRead,
    LeavingView,
    ReadHosts,
    ReadLogNow,
    SendToPeer,
)
from poplarhilld.freshness.messages import Output
from poplarhilld.membership import HeartbeatDue, Membership
from poplarhilld.membership.messages import Decision
from poplarhilld.peers import (
    Goodbye,
    Heartbeat,
    HostsNews,
    MemberState,
    RefreshReply,
    RefreshRequest,
)
from poplarhilld.peers.messages import Message, Suspicion
from poplarhilld.placement import WorkerView


class Load(NamedTuple):
    """What a heartbeat carries about its sender besides membership.

    Attributes:
        configuration_version: Version of the configuration in force.
        idle_slots: Slots of the host's share that are not in use, over the services
            without queued tasks.
        queued_tasks: Tasks queued on the host.
        suspicions: Workers that the host suspects to be failing.
    """

    configuration_version: int = 0
    idle_slots: int = 0
    queued_tasks: int = 0
    suspicions: tuple[Suspicion, ...] = ()


class EntryHosts:
    """Tracks membership and the platform's host list, and builds their frames.

    Args:
        identity: Identity of this host.
        random: Source of random choices.
    """

    def __init__(self, identity: Identity, random: Random) -> None:
        me = MemberState(
            identity.name,
            *identity.address,
            identity.data_centre,
            identity.incarnation,
            heartbeat=0,
            leaving=False,
        )
        self._membership = Membership(me, identity.seeds, random)
        self._freshness = Freshness(random)
        self._load = Load()
        self._pause_s = 0.0

    @property
    def live(self) -> tuple[str, ...]:
        """Sorted names of the live hosts, including this one."""
        return self._membership.live

    @property
    def presumed_live(self) -> tuple[str, ...]:
        """The live hosts and, for a while after the start, seeds of unknown state."""
        return self._membership.presumed_live

    def address(self, name: str) -> Address | None:
        """Return the address of a host, or None if it is unknown."""
        return self._membership.address(name)

    @property
    def freshness(self) -> Freshness:
        """How fresh this host's view is."""
        return self._freshness

    def without_leaving(self, view: WorkerView) -> WorkerView:
        """Return the view without the workers that are leaving."""
        return LeavingView(view, self._freshness)

    def start(self, now: float) -> None:
        """Start; no task is sent until the view has been confirmed."""
        self._freshness.start(now)

    def note_running(self, now: float) -> bool:
        """Record that the process runs; return whether it had been paused."""
        pause_s = self._freshness.measure_pause(now)
        if pause_s:
            self._pause_s = pause_s
            self._membership.resumed(now)
        return bool(pause_s)

    def tick(self, now: float, load: Load) -> list[Action]:
        """Process the passing of time; later heartbeats carry `load`."""
        self._load = load
        actions = self._membership_actions(self._membership.tick(now))
        outputs = self._freshness.tick(now, self._pause_s, self._peers)
        self._pause_s = 0.0
        return actions + self._freshness_actions(outputs)

    def hosts_read(self, now: float, event: HostsRead) -> list[Action]:
        """Process the result of a read of the platform's host list."""
        freshness = self._freshness
        outputs = freshness.hosts_read(now, event.asked_at, event.result, self._peers)
        self._membership.host_list_received(freshness.live, freshness.leaving)
        return self._freshness_actions(outputs)

    def configuration_confirmed(self, now: float, asked_at: float) -> list[Action]:
        """Record that the log has no configuration newer than the one in force."""
        return self._freshness_actions(
            self._freshness.configuration_confirmed(now, asked_at)
        )

    def configuration_in_force(self, now: float, version: int) -> list[Action]:
        """Record the version of the configuration in force."""
        self._load = self._load._replace(configuration_version=version)
        return self._freshness_actions(
            self._freshness.configuration_in_force(now, version)
        )

    def receive(self, now: float, sender: str, message: Message) -> list[Action]:
        """Process a frame from another host."""
        match message:
            case Heartbeat(members=members):
                decisions = self._membership.heartbeat_received(now, sender, members)
                news = (message.hosts_version, message.leaving_workers)
                outputs = self._freshness.news_received(sender, *news)
                return self._membership_actions(decisions) + self._freshness_actions(
                    outputs
                )
            case Goodbye(incarnation):
                decisions = self._membership.goodbye_received(now, sender, incarnation)
                return self._membership_actions(decisions)
        self._membership.frame_received(now, sender)
        return self._freshness_actions(self._process_view_message(now, sender, message))

    def connection_refused(self, address: Address) -> None:
        """Record that the address of a host refused a connection."""
        self._membership.connection_refused(address)

    def leave(self, now: float) -> list[Action]:
        """Return the frames that announce this host's shutdown to peers."""
        goodbye = Goodbye(self._membership.me.incarnation)
        return [SendFrame(peer, goodbye) for peer in self._membership.leave(now)]

    @property
    def _peers(self) -> tuple[str, ...]:
        me = self._membership.me.name
        return tuple(name for name in self.presumed_live if name != me)

    def _process_view_message(
        self, now: float, sender: str, message: Message
    ) -> list[Output]:
        version = self._load.configuration_version
        match message:
            case HostsNews(hosts_version, leaving):
                return self._freshness.news_received(sender, hosts_version, leaving)
            case RefreshRequest():
                reply = self._freshness.answer(now, message, version)
                return [SendToPeer(sender, reply)]
            case RefreshReply():
                return self._freshness.reply_received(now, sender, message, version)
        return []

    def _freshness_actions(self, outputs: list[Output]) -> list[Action]:
        actions: list[Action] = []
        for output in outputs:
            match output:
                case SendToPeer(peer, message):
                    actions.append(SendFrame(peer, message))
                case ReadHosts() | ReadLogNow():
                    actions.append(output)
                case decision:
                    actions.append(LogDecision(decision))
        return actions

    def _membership_actions(self, decisions: list[Decision]) -> list[Action]:
        actions: list[Action] = []
        for decision in decisions:
            match decision:
                case HeartbeatDue(peer, members):
                    actions.append(SendFrame(peer, self._heartbeat(members)))
                case _:
                    actions.append(LogDecision(decision))
        return actions

    def _heartbeat(self, members: tuple[MemberState, ...]) -> Heartbeat:
        return Heartbeat(
            members,
            configuration_version=self._load.configuration_version,
            idle_slots=self._load.idle_slots,
            queued_tasks=self._load.queued_tasks,
            hosts_version=self._freshness.version,
            leaving_workers=self._freshness.leaving_names,
            suspicions=self._load.suspicions,
        )
