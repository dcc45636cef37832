"""Which entry hosts are live: gossip of heartbeat counts, without agreement.

Each host raises its own count and sends what it knows to one other host a
round. A member whose count does not rise in this host's table, into which all
that its peers say is merged, is removed. Two hosts may hold different tables at
a time; that costs time, never correctness.
"""

import math
from random import Random

from poplarhill.types import Address
from poplarhilld.membership.member import Member, is_newer
from poplarhilld.membership.messages import (
    Decision,
    HeartbeatDue,
    MemberJoined,
    MemberRemoved,
    RemovalReason,
    Superseded,
)
from poplarhilld.membership.rotation import Rotation
from poplarhilld.peers.messages import MemberState

ROUND_S = 1.0
"""Time between two heartbeats that a host sends, s."""

MAX_MEMBERS_PER_FRAME = 64
"""Most members that one heartbeat carries; bounds its bytes."""

_MEMBERS_PER_S = 50

_SILENT_ROUNDS = 4
_SILENT_ROUNDS_PER_DOUBLING = 3
_EVIDENCE_FACTOR = 0.5
_FEWEST_VIEWS = 2
_CUT_OFF_FACTOR = 1.5
_FORGET_S = 3600.0
_JITTER = 0.1
_LOST_EVERY = 8
_SEEK_LOST_S = 600.0
_JOIN_FAN_OUT = 8


def round_s(hosts: int) -> float:
    """Return the time between two heartbeats of a host, s.

    It grows with large fleets, so that the bytes a second do not.

    Args:
        hosts: Count of live hosts.
    """
    return ROUND_S * max(1.0, hosts / _MEMBERS_PER_S)


def removal_s(hosts: int) -> float:
    """Return the silence after which a member is removed, s.

    It grows with the logarithm of the fleet, as the spread of gossip does.

    Args:
        hosts: Count of live hosts.
    """
    doublings = math.ceil(math.log2(max(hosts, 2)))
    rounds = _SILENT_ROUNDS + _SILENT_ROUNDS_PER_DOUBLING * doublings
    return round_s(hosts) * rounds


class Membership:
    """One host's view of the entry hosts.

    Args:
        me: The host's own state at start.
        seeds: Hosts known at start, by name.
        random: Source of random choices.
    """

    def __init__(
        self, me: MemberState, seeds: dict[str, Address], random: Random
    ) -> None:
        self._me = me
        self._seeds = seeds
        self._random = random
        self._members: dict[str, Member] = {}
        self._live: tuple[str, ...] = (me.name,)
        self._unheard: frozenset[str] = frozenset(seeds)
        self._rotation = Rotation(random)
        self._listed: frozenset[str] = frozenset()
        self._listed_gone: frozenset[str] = frozenset()
        self._started: float | None = None
        self._awake_since = -math.inf
        self._next_round = -math.inf
        self._rounds = 0
        self._superseded = False

    @property
    def live(self) -> tuple[str, ...]:
        """Names of the live hosts in order, this one among them."""
        return self._live

    @property
    def presumed_live(self) -> tuple[str, ...]:
        """The live hosts, and for a while after the start the seeds unheard."""
        if not self._unheard:
            return self._live
        return tuple(sorted(self._unheard.union(self._live)))

    @property
    def me(self) -> MemberState:
        """This host's own state."""
        return self._me

    def address(self, name: str) -> Address | None:
        """Return where a host is reached, if that is known."""
        member = self._members.get(name)
        if member is not None:
            return Address(member.state.host, member.state.port)
        return self._seeds.get(name)

    def tick(self, now: float) -> list[Decision]:
        """Remove silent members, and send the heartbeats that are due."""
        decisions = self._remove_silent(now)
        if self._started is not None:
            waited = now - max(self._started, self._awake_since)
            if waited > removal_s(0):
                self._unheard = frozenset()
        if now < self._next_round or self._superseded:
            return decisions
        first = self._started is None
        if first:
            self._started = now
        jitter = 1 + _JITTER * self._random.uniform(-1, 1)
        self._next_round = now + round_s(len(self._live)) * jitter
        self._me = self._me._replace(heartbeat=self._me.heartbeat + 1)
        self._rounds += 1
        peers = list(self._seeds)[:_JOIN_FAN_OUT] if first else self._next_peer(now)
        return decisions + [self._heartbeat(now, peer) for peer in peers]

    def heartbeat_received(
        self, now: float, sender: str, members: tuple[MemberState, ...]
    ) -> list[Decision]:
        """Merge what a peer says; answer one that was not live so far."""
        was_live = sender in self._live
        decisions: list[Decision] = []
        for state in members:
            decisions += self._merge(now, sender, state)
        self.frame_received(now, sender)
        if not was_live and sender in self._live and not self._superseded:
            decisions.append(self._heartbeat(now, sender))
        return decisions

    def frame_received(self, now: float, sender: str) -> None:
        """Note that any frame came from a host; it never revives one."""
        for name, member in self._members.items():
            if name != sender:
                member.views.add(sender)
            elif member.live:
                member.advanced = now
                member.views.clear()
                member.refused = False

    def goodbye_received(
        self, now: float, sender: str, incarnation: int
    ) -> list[Decision]:
        """Remove a host that says that it shuts down."""
        member = self._members.get(sender)
        if member is None or member.state.incarnation != incarnation:
            return []
        member.state = member.state._replace(leaving=True)
        return self._remove(now, member, RemovalReason.LEAVING)

    def connection_refused(self, address: Address) -> None:
        """Note that nothing listens at an address."""
        for member in self._members.values():
            if (member.state.host, member.state.port) == address:
                member.refused = True

    def host_list_received(self, live: frozenset[str], leaving: frozenset[str]) -> None:
        """Take the platform's lagging list: a hint, never a verdict."""
        gone = (self._listed | self._listed_gone) - live
        self._listed = live
        self._listed_gone = gone | leaving

    def resumed(self, now: float) -> None:
        """Note that this process did not run for a while: silence is its own."""
        self._awake_since = now

    def leave(self, now: float) -> list[str]:
        """Mark this host as leaving; return peers to tell at once."""
        self._me = self._me._replace(leaving=True)
        self._next_round = now
        peers = [name for name in self._live if name != self._me.name]
        self._random.shuffle(peers)
        return peers[:_JOIN_FAN_OUT]

    def _next_peer(self, now: float) -> list[str]:
        live = [name for name in self._live if name != self._me.name]
        lost = self._lost(now)
        if lost and (not live or self._rounds % _LOST_EVERY == 0):
            return [self._random.choice(lost)]
        return [self._rotation.next(live)] if live else []

    def _lost(self, now: float) -> list[str]:
        """Return hosts that may come back: seeds and those removed lately."""
        removed = {
            name
            for name, member in self._members.items()
            if not member.state.leaving and now - member.advanced < _SEEK_LOST_S
        }
        return sorted((removed | set(self._seeds)).difference(self._live))

    def _heartbeat(self, now: float, peer: str) -> HeartbeatDue:
        limit = removal_s(len(self._live))
        fresh = [m for m in self._members.values() if now - m.advanced < limit]
        if len(fresh) > MAX_MEMBERS_PER_FRAME:
            fresh.sort(key=lambda member: member.advanced, reverse=True)
            del fresh[MAX_MEMBERS_PER_FRAME:]
        told = {member.state.name: member.state for member in fresh}
        known = self._members.get(peer)
        if known is not None:
            told[peer] = known.state
        return HeartbeatDue(peer, (self._me, *told.values()))

    def _merge(self, now: float, sender: str, state: MemberState) -> list[Decision]:
        if state.name == self._me.name:
            return self._hear_of_me(now, state)
        member = self._members.get(state.name)
        if member is None:
            member = Member(state, live=False, advanced=now)
            self._members[state.name] = member
            self._unheard -= {state.name}
        elif is_newer(state, member.state):
            member.advance(now, state)
        elif state.leaving and state.incarnation == member.state.incarnation:
            member.state = member.state._replace(leaving=True)
        else:
            return []
        if member.state.leaving:
            return self._remove(now, member, RemovalReason.LEAVING)
        return self._join(member, sender)

    def _hear_of_me(self, now: float, state: MemberState) -> list[Decision]:
        """Outbid a predecessor's incarnation; give way to a successor's."""
        mine = self._me.incarnation
        if state.incarnation <= mine or self._superseded:
            return []
        started = now if self._started is None else self._started
        if now - started <= removal_s(len(self._live)):
            self._me = self._me._replace(incarnation=state.incarnation + 1)
            return []
        self._superseded = True
        return [Superseded(mine, state.incarnation)]

    def _join(self, member: Member, told_by: str) -> list[Decision]:
        if member.live:
            return []
        member.live = True
        self._update_live()
        state = member.state
        return [MemberJoined(state.name, state.incarnation, state.data_centre, told_by)]

    def _remove_silent(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        limit = removal_s(len(self._live))
        for member in list(self._members.values()):
            silence = now - max(member.advanced, self._awake_since)
            if member.live:
                reason = self._verdict(member, silence, limit)
                if reason is not None:
                    decisions += self._remove(now, member, reason)
            elif silence > _FORGET_S:
                del self._members[member.state.name]
        return decisions

    def _verdict(
        self, member: Member, silence: float, limit: float
    ) -> RemovalReason | None:
        enough_views = len(member.views) >= min(_FEWEST_VIEWS, len(self._live) - 2)
        if silence > limit and (enough_views or silence > limit * _CUT_OFF_FACTOR):
            return RemovalReason.SILENT
        if silence > limit * _EVIDENCE_FACTOR and enough_views:
            if member.refused:
                return RemovalReason.REFUSED
            if member.state.name in self._listed_gone:
                return RemovalReason.LISTED_GONE
        return None

    def _remove(
        self, now: float, member: Member, reason: RemovalReason
    ) -> list[Decision]:
        if not member.live:
            return []
        member.live = False
        self._update_live()
        state, silence = member.state, round(now - member.advanced, 3)
        views = len(member.views)
        return [
            MemberRemoved(state.name, state.incarnation, reason.value, silence, views)
        ]

    def _update_live(self) -> None:
        names = [name for name, member in self._members.items() if member.live]
        self._live = tuple(sorted([self._me.name, *names]))
