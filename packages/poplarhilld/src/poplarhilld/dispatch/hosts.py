"""The entry hosts as the dispatcher sees them: membership turned into actions."""

from random import Random
from typing import NamedTuple

from poplarhilld.dispatch.actions import Action, LogDecision, SendFrame
from poplarhilld.dispatch.identity import Identity
from poplarhilld.membership import HeartbeatDue, Membership
from poplarhilld.membership.messages import Decision
from poplarhilld.peers import Goodbye, Heartbeat, MemberState
from poplarhilld.peers.messages import Message
from poplarhilld.settings import Address


class Load(NamedTuple):
    """What a heartbeat says of its sender besides membership.

    Attributes:
        configuration_version: Version in force.
        idle_slots: Slots that could be lent now.
        queued_tasks: Tasks queued.
    """

    configuration_version: int = 0
    idle_slots: int = 0
    queued_tasks: int = 0


class EntryHosts:
    """Membership, and the heartbeats that carry it.

    Args:
        identity: Who this host is.
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
        self._load = Load()

    @property
    def live(self) -> tuple[str, ...]:
        """Names of the live hosts in order, this one among them."""
        return self._membership.live

    @property
    def presumed(self) -> tuple[str, ...]:
        """The live hosts, and for a while after the start the seeds unheard."""
        return self._membership.presumed

    def address(self, name: str) -> Address | None:
        """Return where a host is reached, if that is known."""
        return self._membership.address(name)

    def tick(self, now: float, load: Load) -> list[Action]:
        """Take the passing of time; `load` goes into the heartbeats."""
        self._load = load
        return self._actions(self._membership.tick(now))

    def receive(self, now: float, sender: str, message: Message) -> list[Action]:
        """Take a frame from another host."""
        match message:
            case Heartbeat(members=members):
                decisions = self._membership.heartbeat_received(now, sender, members)
                return self._actions(decisions)
            case Goodbye(incarnation):
                decisions = self._membership.goodbye_received(now, sender, incarnation)
                return self._actions(decisions)
        self._membership.heard(now, sender)
        return []

    def connection_refused(self, address: Address) -> None:
        """Note that nothing listens at a host's address."""
        self._membership.connection_refused(address)

    def leave(self, now: float) -> list[Action]:
        """Tell peers that this host shuts down."""
        goodbye = Goodbye(self._membership.me.incarnation)
        return [SendFrame(peer, goodbye) for peer in self._membership.leave(now)]

    def _actions(self, decisions: list[Decision]) -> list[Action]:
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
        )
