"""Which hosts live, and which of them leads which shard.

Two hosts may believe for a while that they lead the same shard. That costs time
only: the workers obey the higher fencing token.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from poplarhill.types import Address
from poplarhilld.decisions import LogDecision
from poplarhilld.leases import TokenSource
from poplarhilld.peers.messages import Beat, Claim
from poplarhilld.shards.messages import (
    HostFound,
    HostGone,
    HostLost,
    LeadershipTaken,
    LeadershipYielded,
    SendBeat,
    ShardAction,
)
from poplarhilld.shards.partition import data_centre

BEAT_S = 0.15  # a quarter of the time to notice a silent host
FAR_BEAT_S = 0.3  # hosts of other data centres decide nothing in a hurry
LOST_S = 0.6  # four heartbeats; below half of the time until callers come back
FAR_LOST_S = 0.9  # three heartbeats
_RETRY_S = 1.0  # to addresses that do not answer
_FORGOTTEN_S = 60.0  # a host that is replaced comes at another address
_KNOWN_BEATS = 10  # every tenth heartbeat names all known addresses
_SETTLE_S = 0.6  # hosts start within 0.3 s and beat at once
_EMPTY_S = 2.0  # a data centre without hosts; a restart takes about a second
_PAUSED_S = 0.45  # a loop that was late by three heartbeats stood still


class Self(NamedTuple):
    """This run of this host.

    Attributes:
        name: Its name.
        address: Where peers reach it.
        data_centre: Data centre that it stands in.
        incarnation: Start time, ms since the epoch.
        weight: Cores that it has for its work.
    """

    name: str
    address: Address
    data_centre: str
    incarnation: int
    weight: float


@dataclass
class _Peer:
    name: str
    beat: Beat
    heard_at: float
    live: bool = False


@dataclass
class _Target:
    next_beat: float = 0.0
    added_at: float = 0.0
    count: int = 0


class Hosts:
    """Live hosts and the leaders among them.

    Args:
        me: This host.
        seeds: Addresses of hosts known at start.
        tokens: Source of epochs.
        now: This host's clock, s.
    """

    def __init__(
        self, me: Self, seeds: Iterable[Address], tokens: TokenSource, now: float
    ) -> None:
        self._me = me
        self._tokens = tokens
        self._started_at = now
        self._settled_at = now + _SETTLE_S
        self._last_tick = now
        self._peers: dict[str, _Peer] = {}
        self._targets: dict[Address, _Target] = {}
        self._claims: dict[str, Claim] = {}
        self._empty_since: dict[str, float] = {}
        self._leaving = False
        self.learn(now, seeds)

    @property
    def live(self) -> dict[str, Beat]:
        """The newest heartbeats of the other hosts that live."""
        return {peer.name: peer.beat for peer in self._peers.values() if peer.live}

    @property
    def claims(self) -> Mapping[str, Claim]:
        """Shards that this host leads."""
        return self._claims

    def address(self, name: str) -> Address | None:
        """Return where a host is reached, if it is known."""
        peer = self._peers.get(name)
        return Address(peer.beat.host, peer.beat.port) if peer else None

    def learn(self, now: float, addresses: Iterable[Address]) -> None:
        """Note addresses at which hosts may be."""
        for address in addresses:
            if address != self._me.address and address not in self._targets:
                self._targets[address] = _Target(now, now)

    def leader(self, shard: str) -> tuple[str, Claim] | None:
        """Return who leads a shard, as far as is known here, and its claim."""
        found = [
            (peer.name, peer.beat.data_centre, claim)
            for peer in self._peers.values()
            if peer.live and not peer.beat.leaving
            for claim in peer.beat.claims
            if claim.shard == shard
        ]
        own = self._claims.get(shard)
        if own is not None:
            found.append((self._me.name, self._me.data_centre, own))
        if not found:
            return None
        place = data_centre(shard)
        name, _, claim = max(found, key=lambda f: (f[1] == place, f[2].epoch))
        return name, claim

    def heard(self, now: float, name: str, beat: Beat) -> list[ShardAction]:
        """Take in a heartbeat."""
        if name == self._me.name:
            return []
        known = self._peers.get(name)
        if known is not None and known.beat.incarnation > beat.incarnation:
            return []
        actions: list[ShardAction] = []
        if known is None or known.beat.incarnation != beat.incarnation:
            if known is not None and known.live:
                actions += self._lose(now, known, "it runs anew")
            known = self._peers[name] = _Peer(name, beat, now)
        known.beat, known.heard_at = beat, now
        address = Address(beat.host, beat.port)
        self.learn(now, [address])
        target = self._targets[address]
        target.next_beat = min(target.next_beat, now + FAR_BEAT_S)
        self.learn(now, [_parse(text) for text in beat.known])
        if not known.live and self._me.name in beat.heard:
            known.live = True
            found = HostFound(
                name, f"{beat.host}:{beat.port}", beat.data_centre, beat.incarnation
            )
            actions.append(LogDecision(found))
        elif known.live and self._me.name not in beat.heard:
            actions += self._lose(now, known, "it does not hear this host")
        return actions

    def refused(self, now: float, address: Address) -> list[ShardAction]:
        """Take in that nothing listens at an address."""
        actions: list[ShardAction] = []
        for peer in self._peers.values():
            if peer.live and (peer.beat.host, peer.beat.port) == address:
                actions += self._lose(now, peer, "nothing listens there")
        return actions

    def leave(self) -> None:
        """Claim nothing any more: this host is shutting down."""
        self._leaving = True

    def tick(
        self,
        now: float,
        time_s: float,
        shards: Iterable[str],
        able: bool,
        loads: Mapping[str, Claim],
        version: int,
        reachable: Mapping[str, float],
    ) -> list[ShardAction]:
        """Do what time makes due.

        Args:
            now: This host's clock, s.
            time_s: Time of day, s since the epoch.
            shards: Names of all shards.
            able: Whether this host knows enough to lead.
            loads: Claims of this host with its present load, by shard.
            version: Version of the catalogue in force.
            reachable: Since when workers of a leaderless shard answer, s.
        """
        actions: list[ShardAction] = []
        if now - self._last_tick > _PAUSED_S:
            # Heartbeats that waited meanwhile come first.
            self._settled_at = max(self._settled_at, now + BEAT_S)
        self._last_tick = now
        for peer in list(self._peers.values()):
            limit_s = LOST_S if self._is_near(peer.beat) else FAR_LOST_S
            if peer.live and now - peer.heard_at > limit_s:
                actions += self._lose(now, peer, "silent")
        for shard, claim in loads.items():
            if shard in self._claims:
                self._claims[shard] = claim._replace(epoch=self._claims[shard].epoch)
        changed = self._settle(now, time_s, shards, able, reachable)
        actions += changed
        actions += self._beats(now, able, version, bool(changed))
        return actions

    # Leadership

    def _settle(
        self,
        now: float,
        time_s: float,
        shards: Iterable[str],
        able: bool,
        reachable: Mapping[str, float],
    ) -> list[ShardAction]:
        actions: list[ShardAction] = []
        wanted = set(shards)
        for shard in self._claims.keys() - wanted:
            actions += self._yield(shard, "", "it has no workers")
        for shard in sorted(wanted):
            if shard in self._claims:
                actions += self._defend(shard)
            elif able and not self._leaving and now >= self._settled_at:
                actions += self._seek(now, time_s, shard, reachable.get(shard))
        return actions

    def _defend(self, shard: str) -> list[ShardAction]:
        """Give a shard up to whom it should belong."""
        if self._leaving:
            return self._yield(shard, "", "shutting down")
        leader, _ = self.leader(shard)
        if leader != self._me.name:
            return self._yield(shard, leader, "its claim is newer or nearer")
        place = data_centre(shard)
        if place != self._me.data_centre:
            heirs = self._candidates(place)
            if heirs:
                return self._yield(shard, heirs[0], "it stands nearer")
        return []

    def _seek(
        self, now: float, time_s: float, shard: str, reached_since: float | None
    ) -> list[ShardAction]:
        """Take a shard that nobody leads, if this host is the one to do so.

        A data centre without hosts may be cut off. Its workers are taken only
        when they have answered for a while and still no host there is heard.
        """
        if self.leader(shard) is not None:
            self._empty_since.pop(shard, None)
            return []
        place = data_centre(shard)
        heirs = self._candidates(place)
        reason = "nobody leads it"
        if not heirs:
            since = self._empty_since.setdefault(shard, now)
            if now - since < _EMPTY_S:
                return []
            if reached_since is None or now - reached_since < _EMPTY_S:
                return []
            heirs = self._candidates(None)
            reason = "no host lives in its data centre"
        number = int(shard.rpartition("/")[2])
        if not heirs or heirs[number % len(heirs)] != self._me.name:
            return []
        self._empty_since.pop(shard, None)
        epoch = self._tokens.next(time_s)
        self._claims[shard] = Claim(shard, epoch)
        taken = LeadershipTaken(shard, epoch, reason, len(self.live) + 1)
        return [LogDecision(taken)]

    def _candidates(self, place: str | None) -> list[str]:
        """Return the hosts that may lead, the fittest first."""
        found = [
            (-peer.beat.weight, peer.name)
            for peer in self._peers.values()
            if peer.live and peer.beat.able and not peer.beat.leaving
            if place is None or peer.beat.data_centre == place
        ]
        if place is None or self._me.data_centre == place:
            found.append((-self._me.weight, self._me.name))
        return [name for _, name in sorted(found)]

    def _yield(self, shard: str, to: str, reason: str) -> list[ShardAction]:
        claim = self._claims.pop(shard)
        return [LogDecision(LeadershipYielded(shard, claim.epoch, to, reason))]

    # Life

    def _is_near(self, beat: Beat) -> bool:
        return beat.data_centre == self._me.data_centre

    def _lose(self, now: float, peer: _Peer, reason: str) -> list[ShardAction]:
        peer.live = False
        gone = HostGone(peer.name, reason, round(now - peer.heard_at, 3))
        return [LogDecision(gone), HostLost(peer.name)]

    def _beats(self, now: float, able: bool, version: int, hurry: bool) -> list:
        heard = tuple(
            peer.name
            for peer in self._peers.values()
            if now - peer.heard_at
            <= (LOST_S if self._is_near(peer.beat) else FAR_LOST_S)
        )
        live = {
            Address(peer.beat.host, peer.beat.port): peer
            for peer in self._peers.values()
            if now - peer.heard_at <= FAR_LOST_S
        }
        claims = tuple(self._claims.values())
        beat = Beat(
            *self._me.address,
            self._me.data_centre,
            self._me.incarnation,
            self._me.weight,
            able,
            self._leaving,
            heard,
            claims,
            (),
            version,
        )
        known = tuple(f"{host}:{port}" for host, port in live)
        actions: list[ShardAction] = []
        for address, target in list(self._targets.items()):
            peer = live.get(address)
            if peer is None and now - target.added_at > _FORGOTTEN_S:
                del self._targets[address]
                continue
            if now < target.next_beat and not (hurry and peer is not None):
                continue
            if peer is None:
                target.next_beat = now + _RETRY_S
            else:
                target.added_at = now
                near = self._is_near(peer.beat)
                target.next_beat = now + (BEAT_S if near else FAR_BEAT_S)
            target.count += 1
            full = target.count % _KNOWN_BEATS == 1
            actions.append(
                SendBeat(address, beat._replace(known=known) if full else beat)
            )
        return actions


def _parse(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
