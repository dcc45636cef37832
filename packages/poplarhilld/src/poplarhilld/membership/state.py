"""Tracks which entry hosts are live by gossip of heartbeat counts.

The dispatcher of the daemon `poplarhilld` (`dispatch/hosts.py`) uses this module.

In each round a host increments its own heartbeat count and sends its table of
members to one other host, which merges it into its own table. A host removes a
member whose count has stopped rising in its table. Hosts do not agree on a common
table. Differences between their tables cost time, never correctness.
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

MIN_ROUND_INTERVAL_S = 1.0
"""Shortest interval between two heartbeats that a host sends, s."""

MAX_MEMBERS_PER_FRAME = 64
"""Maximum count of members in one heartbeat, which bounds its size."""

_MEMBERS_PER_S = 50  # rounds get longer in a fleet of more hosts than this

_REMOVAL_ROUNDS = 4
_REMOVAL_ROUNDS_PER_DOUBLING = 3
_EVIDENCE_FACTOR = 0.5  # of the removal time, with other evidence of a failure
_MIN_ACTIVE_PEERS = 2  # needed to rule out that this host is cut off
_FEW_PEERS_FACTOR = 1.5  # of the removal time, while fewer peers are active
_FORGET_S = 3600.0  # silence after which a removed member is dropped
_ROUND_JITTER = 0.1
_RECONNECT_EVERY_ROUNDS = 8  # then one host that is not live is contacted
_RECONNECT_WITHIN_S = 600.0  # for this long, removed members are contacted
_FAN_OUT = 8  # peers contacted at once at start and at shutdown


def round_interval_s(hosts: int) -> float:
    """Return the interval between two heartbeats of a host, s.

    It grows with the size of a large fleet, so that the bandwidth does not.

    Args:
        hosts: Count of live hosts.
    """
    return MIN_ROUND_INTERVAL_S * max(1.0, hosts / _MEMBERS_PER_S)


def removal_s(hosts: int) -> float:
    """Return the silence after which a member is removed, s.

    It grows with the logarithm of the size of the fleet, as does the time that
    gossip takes to reach all hosts.

    Args:
        hosts: Count of live hosts.
    """
    doublings = math.ceil(math.log2(max(hosts, 2)))
    rounds = _REMOVAL_ROUNDS + _REMOVAL_ROUNDS_PER_DOUBLING * doublings
    return round_interval_s(hosts) * rounds


class Membership:
    """One host's view of which entry hosts are live.

    Args:
        me: The host's own state at start.
        seeds: Addresses of the hosts known at start, by name.
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
        self._pending_seeds: frozenset[str] = frozenset(seeds)
        self._rotation = Rotation(random)
        self._listed_live: frozenset[str] = frozenset()
        self._listed_gone: frozenset[str] = frozenset()
        self._started_at: float | None = None
        self._resumed_at = -math.inf
        self._next_round_at = -math.inf
        self._rounds = 0
        self._superseded = False

    @property
    def live(self) -> tuple[str, ...]:
        """Sorted names of the live hosts, including this one."""
        return self._live

    @property
    def presumed_live(self) -> tuple[str, ...]:
        """The live hosts and, for a while after the start, seeds of unknown state."""
        if not self._pending_seeds:
            return self._live
        return tuple(sorted(self._pending_seeds.union(self._live)))

    @property
    def me(self) -> MemberState:
        """This host's own state."""
        return self._me

    def address(self, name: str) -> Address | None:
        """Return the address of a host, or None if it is unknown."""
        member = self._members.get(name)
        if member is not None:
            return Address(member.state.host, member.state.port)
        return self._seeds.get(name)

    def tick(self, now: float) -> list[Decision]:
        """Remove silent members and send the heartbeats that are due."""
        decisions = self._remove_silent(now)
        if self._started_at is not None:
            waited_s = now - max(self._started_at, self._resumed_at)
            if waited_s > removal_s(0):
                self._pending_seeds = frozenset()
        if now < self._next_round_at or self._superseded:
            return decisions
        is_first_round = self._started_at is None
        if is_first_round:
            self._started_at = now
        jitter = 1 + _ROUND_JITTER * self._random.uniform(-1, 1)
        self._next_round_at = now + round_interval_s(len(self._live)) * jitter
        self._me = self._me._replace(heartbeat=self._me.heartbeat + 1)
        self._rounds += 1
        peers = list(self._seeds)[:_FAN_OUT] if is_first_round else self._next_peer(now)
        return decisions + [self._heartbeat(now, peer) for peer in peers]

    def heartbeat_received(
        self, now: float, sender: str, members: tuple[MemberState, ...]
    ) -> list[Decision]:
        """Merge the states in a heartbeat; reply to a sender that has become live."""
        was_live = sender in self._live
        decisions: list[Decision] = []
        for state in members:
            decisions += self._merge(now, sender, state)
        self.frame_received(now, sender)
        if not was_live and sender in self._live and not self._superseded:
            decisions.append(self._heartbeat(now, sender))
        return decisions

    def frame_received(self, now: float, sender: str) -> None:
        """Record a frame of any kind from a host. It does not revive a removed host."""
        for name, member in self._members.items():
            if name != sender:
                member.active_peers.add(sender)
            elif member.live:
                member.advanced_at = now
                member.active_peers.clear()
                member.refused = False

    def goodbye_received(
        self, now: float, sender: str, incarnation: int
    ) -> list[Decision]:
        """Remove a host that has announced its shutdown."""
        member = self._members.get(sender)
        if member is None or member.state.incarnation != incarnation:
            return []
        member.state = member.state._replace(leaving=True)
        return self._remove(now, member, RemovalReason.LEAVING)

    def connection_refused(self, address: Address) -> None:
        """Record that an address refused a connection."""
        for member in self._members.values():
            if (member.state.host, member.state.port) == address:
                member.refused = True

    def host_list_received(self, live: frozenset[str], leaving: frozenset[str]) -> None:
        """Record the platform's host list.

        The list lags behind, so it removes no host by itself. It only shortens the
        silence after which a host is removed.
        """
        gone = (self._listed_live | self._listed_gone) - live
        self._listed_live = live
        self._listed_gone = gone | leaving

    def resumed(self, now: float) -> None:
        """Record that this process was paused; silence before now does not count."""
        self._resumed_at = now

    def leave(self, now: float) -> list[str]:
        """Mark this host as leaving; return the peers to notify at once."""
        self._me = self._me._replace(leaving=True)
        self._next_round_at = now
        peers = [name for name in self._live if name != self._me.name]
        self._random.shuffle(peers)
        return peers[:_FAN_OUT]

    def _next_peer(self, now: float) -> list[str]:
        live = [name for name in self._live if name != self._me.name]
        candidates = self._reconnect_candidates(now)
        if candidates and (not live or self._rounds % _RECONNECT_EVERY_ROUNDS == 0):
            return [self._random.choice(candidates)]
        return [self._rotation.next(live)] if live else []

    def _reconnect_candidates(self, now: float) -> list[str]:
        """Return hosts that may come back: seeds and recently removed members."""
        removed = {
            name
            for name, member in self._members.items()
            if not member.state.leaving
            and now - member.advanced_at < _RECONNECT_WITHIN_S
        }
        return sorted((removed | set(self._seeds)).difference(self._live))

    def _heartbeat(self, now: float, peer: str) -> HeartbeatDue:
        limit_s = removal_s(len(self._live))
        fresh = [m for m in self._members.values() if now - m.advanced_at < limit_s]
        if len(fresh) > MAX_MEMBERS_PER_FRAME:
            fresh.sort(key=lambda member: member.advanced_at, reverse=True)
            del fresh[MAX_MEMBERS_PER_FRAME:]
        states = {member.state.name: member.state for member in fresh}
        known = self._members.get(peer)
        if known is not None:
            states[peer] = known.state
        return HeartbeatDue(peer, (self._me, *states.values()))

    def _merge(self, now: float, sender: str, state: MemberState) -> list[Decision]:
        if state.name == self._me.name:
            return self._merge_own_state(now, state)
        member = self._members.get(state.name)
        if member is None:
            member = Member(state, live=False, advanced_at=now)
            self._members[state.name] = member
            self._pending_seeds -= {state.name}
        elif is_newer(state, member.state):
            member.advance(now, state)
        elif state.leaving and state.incarnation == member.state.incarnation:
            member.state = member.state._replace(leaving=True)
        else:
            return []
        if member.state.leaving:
            return self._remove(now, member, RemovalReason.LEAVING)
        return self._join(member, sender)

    def _merge_own_state(self, now: float, state: MemberState) -> list[Decision]:
        """Handle a state that a peer holds of this host.

        A higher incarnation shortly after the start belongs to a predecessor of the
        same name, so this host takes an even higher one. Later it belongs to a
        replacement, so this host stops sending heartbeats.
        """
        own_incarnation = self._me.incarnation
        if state.incarnation <= own_incarnation or self._superseded:
            return []
        started_at = now if self._started_at is None else self._started_at
        if now - started_at <= removal_s(len(self._live)):
            self._me = self._me._replace(incarnation=state.incarnation + 1)
            return []
        self._superseded = True
        return [Superseded(own_incarnation, state.incarnation)]

    def _join(self, member: Member, told_by: str) -> list[Decision]:
        if member.live:
            return []
        member.live = True
        self._update_live()
        state = member.state
        return [MemberJoined(state.name, state.incarnation, state.data_centre, told_by)]

    def _remove_silent(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        limit_s = removal_s(len(self._live))
        for member in list(self._members.values()):
            silence_s = now - max(member.advanced_at, self._resumed_at)
            if member.live:
                reason = self._removal_reason(member, silence_s, limit_s)
                if reason is not None:
                    decisions += self._remove(now, member, reason)
            elif silence_s > _FORGET_S:
                del self._members[member.state.name]
        return decisions

    def _removal_reason(
        self, member: Member, silence_s: float, limit_s: float
    ) -> RemovalReason | None:
        # A small fleet may have fewer peers than the minimum, besides this host and
        # the member.
        enough_active_peers = len(member.active_peers) >= min(
            _MIN_ACTIVE_PEERS, len(self._live) - 2
        )
        if silence_s > limit_s and (
            enough_active_peers or silence_s > limit_s * _FEW_PEERS_FACTOR
        ):
            return RemovalReason.SILENT
        if silence_s > limit_s * _EVIDENCE_FACTOR and enough_active_peers:
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
        state, silence_s = member.state, round(now - member.advanced_at, 3)
        active_peers = len(member.active_peers)
        return [
            MemberRemoved(
                state.name, state.incarnation, reason.value, silence_s, active_peers
            )
        ]

    def _update_live(self) -> None:
        names = [name for name, member in self._members.items() if member.live]
        self._live = tuple(sorted([self._me.name, *names]))
