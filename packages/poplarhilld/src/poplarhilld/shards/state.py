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
from poplarhilld.peers.messages import Beat, Claim, Load
from poplarhilld.shards.messages import (
    HeartbeatIgnored,
    HostFound,
    HostGone,
    HostLost,
    LeadershipTaken,
    LeadershipYielded,
    SendHeartbeat,
    ShardAction,
)
from poplarhilld.shards.partition import data_centre

HEARTBEAT_INTERVAL_S = 0.15  # a quarter of the time to notice a silent host
LOST_S = 0.6  # four heartbeats; below half of the time until callers come back
SLOW_BEAT_S = 0.5  # between hosts that lead nothing, in a large fleet
SLOW_LOST_S = 2.0  # four of these
MOST_WORKERS = 80  # of one leader; 80 bring it some 700 tasks a second
_SMALL_FLEET = 12  # hosts, below which all beat to each other quickly
_MERGE_S = 3.0  # a leader is heard for so long before it gets what is led apart
_CUT_S = 1.0  # a leader that reaches none of a shard's workers for so long drops it
_RETRY_S = 1.0  # to addresses that do not answer
_FORGOTTEN_S = 60.0  # a host that is replaced comes at another address
_KNOWN_BEATS = 10  # every tenth heartbeat names all known addresses
_SETTLE_S = 0.3  # two heartbeats; who starts later follows who leads
_NEWCOMER_S = 1.6  # a lost first heartbeat is sent again, and 0.6 s at a busy host
_EMPTY_S = 2.0  # a data centre without hosts; a restart takes about a second
_MOST_REASON = 120  # characters that a log line repeats of what a peer sent
_PAUSED_S = 0.45  # a loop that was late by three heartbeats stood still


class LocalHost(NamedTuple):
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
    live_since: float = 0.0


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
        self, me: LocalHost, seeds: Iterable[Address], tokens: TokenSource, now: float
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
        self._unreached_since: dict[str, float] = {}
        self._tenure = 0
        self._leaving = False
        self.add_addresses(now, seeds)

    @property
    def live(self) -> dict[str, Beat]:
        """The newest heartbeats of the other hosts that live."""
        return {peer.name: peer.beat for peer in self._peers.values() if peer.live}

    @property
    def leaders(self) -> dict[str, Beat]:
        """The newest heartbeats of the other hosts that lead."""
        return {
            name: beat
            for name, beat in self.live.items()
            if beat.claims and self._may_lead(beat)
        }

    @property
    def claims(self) -> Mapping[str, Claim]:
        """Shards that this host leads."""
        return self._claims

    def address(self, name: str) -> Address | None:
        """Return where a host is reached, if it is known."""
        peer = self._peers.get(name)
        return Address(peer.beat.host, peer.beat.port) if peer else None

    def add_addresses(self, now: float, addresses: Iterable[Address]) -> None:
        """Note addresses at which hosts may be."""
        for address in addresses:
            if address != self._me.address and address not in self._targets:
                self._targets[address] = _Target(now, now)

    @property
    def leading_since_epoch(self) -> int:
        """Epoch since which this host leads without a break; 0 if it does not."""
        return self._tenure

    def leader(self, shard: str) -> str | None:
        """Return who leads a shard, as far as is known here: the newest claim."""
        found = [
            (claim.epoch, peer.name)
            for peer in self._peers.values()
            if peer.live and self._may_lead(peer.beat)
            for claim in peer.beat.claims
            if claim.shard == shard
        ]
        own = self._claims.get(shard)
        if own is not None:
            found.append((own.epoch, self._me.name))
        return max(found)[1] if found else None

    def heartbeat_received(
        self, now: float, name: str, beat: Beat
    ) -> list[ShardAction]:
        """Take in a heartbeat."""
        if name == self._me.name:
            return []
        try:
            told = [Address.from_text(text) for text in beat.known]
        except ValueError as error:
            return [LogDecision(HeartbeatIgnored(name, str(error)[:_MOST_REASON]))]
        known = self._peers.get(name)
        if known is not None and self._is_late(now, known, beat):
            return []
        actions: list[ShardAction] = []
        if known is None or known.beat.incarnation != beat.incarnation:
            if known is not None and known.live:
                actions += self._lose(now, known, "it runs anew")
            known = self._peers[name] = _Peer(name, beat, now)
        known.beat, known.heard_at = beat, now
        address = Address(beat.host, beat.port)
        self.add_addresses(now, [address])
        target = self._targets[address]
        target.next_beat = min(target.next_beat, now + self._period_s(beat))
        self.add_addresses(now, told)
        if not known.live and self._me.name in beat.heard:
            known.live, known.live_since = True, now
            found = HostFound(
                name, f"{beat.host}:{beat.port}", beat.data_centre, beat.incarnation
            )
            actions.append(LogDecision(found))
        elif known.live and self._me.name not in beat.heard:
            actions += self._lose(now, known, "it does not hear this host")
        return actions

    def connection_refused(self, now: float, address: Address) -> list[ShardAction]:
        """Take in that nothing listens at an address."""
        actions: list[ShardAction] = []
        for peer in self._peers.values():
            if peer.live and (peer.beat.host, peer.beat.port) == address:
                actions += self._lose(now, peer, "nothing listens there")
        return actions

    def leave(self) -> None:
        """Claim nothing more if another host can: this one is shutting down."""
        self._leaving = True

    def tick(
        self,
        now: float,
        time_s: float,
        shards: Mapping[str, int],
        able: bool,
        load: Load,
        version: int,
        reached: Mapping[str, float],
    ) -> list[ShardAction]:
        """Do what time makes due.

        Args:
            now: This host's clock, s.
            time_s: Time of day, s since the epoch.
            shards: Count of the workers of each shard.
            able: Whether this host knows enough to lead.
            load: How busy this host is as a leader.
            version: Version of the catalogue in force.
            reached: Since when workers of a shard answer this host, s.
        """
        actions: list[ShardAction] = []
        if now - self._last_tick > _PAUSED_S:
            # Heartbeats that waited meanwhile come first.
            self._settled_at = max(self._settled_at, now + HEARTBEAT_INTERVAL_S)
        self._last_tick = now
        for peer in list(self._peers.values()):
            if peer.live and now - peer.heard_at > self._limit_s(peer.beat):
                actions += self._lose(now, peer, "silent")
        changed = self._settle(now, time_s, shards, able, reached)
        if not self._claims:
            self._tenure = 0
        actions += changed
        actions += self._beats(now, able, load, version, bool(changed))
        return actions

    # Leadership

    def _settle(
        self,
        now: float,
        time_s: float,
        shards: Mapping[str, int],
        able: bool,
        reached: Mapping[str, float],
    ) -> list[ShardAction]:
        actions: list[ShardAction] = []
        for shard in self._claims.keys() - shards.keys():
            actions += self._yield(shard, "", "it has no workers")
        for shard in sorted(shards):
            if shard in self._claims:
                self._claims[shard] = self._claims[shard]._replace(
                    workers=shards[shard]
                )
                actions += self._defend(now, shard, shards, reached.get(shard))
            elif able and self._is_eligible() and now >= self._settled_at:
                actions += self._seek(now, time_s, shard, shards, reached.get(shard))
        return actions

    def _defend(
        self,
        now: float,
        shard: str,
        shards: Mapping[str, int],
        reached_since: float | None,
    ) -> list[ShardAction]:
        """Give a shard up to whom it should belong."""
        if self._leaving and self._has_successor():
            return self._yield(shard, "", "shutting down")
        leader = self.leader(shard)
        if leader != self._me.name:
            return self._yield(shard, leader or "", "its claim is newer")
        if reached_since is None:
            since = self._unreached_since.setdefault(shard, now)
            # Its own hosts, cut off with them, may lead the workers by now.
            place = data_centre(shard)
            far = place != self._me.data_centre and not self._hosts_of(place)
            if far and now - since > _CUT_S:
                del self._unreached_since[shard]
                return self._yield(shard, "", "its data centre is cut off")
        else:
            self._unreached_since.pop(shard, None)
        all_workers = sum(shards.values())
        if self._belongs_near(now, shard, all_workers):
            return self._yield(shard, "", "its data centre has hosts")
        heir = self._merges_into(now, all_workers)
        if heir is not None:
            return self._yield(shard, heir, "it leads more")
        return []

    def _belongs_near(self, now: float, shard: str, all_workers: int) -> bool:
        """Return whether a shard led from afar is to go to a host beside it."""
        place = data_centre(shard)
        if all_workers <= MOST_WORKERS or place == self._me.data_centre:
            return False
        return any(
            peer.live
            and peer.beat.data_centre == place
            and peer.beat.able
            and not peer.beat.leaving
            and now - peer.live_since > _MERGE_S
            for peer in self._peers.values()
        )

    def _merges_into(self, now: float, all_workers: int) -> str | None:
        """Return the leader that should get all that this host leads, if any.

        A fleet too large for one leader stays led near its workers, so that a cut
        between data centres parts none of them from their leader.
        """
        spread = all_workers > MOST_WORKERS
        own = sum(claim.workers for claim in self._claims.values())
        mine = (own, self._me.name)
        for peer in self._peers.values():
            if not peer.live or peer.beat.leaving or not peer.beat.able:
                continue
            if spread and peer.beat.data_centre != self._me.data_centre:
                continue
            theirs = sum(claim.workers for claim in peer.beat.claims)
            if not theirs or own + theirs > MOST_WORKERS:
                continue
            if (theirs, peer.name) > mine and now - peer.live_since > _MERGE_S:
                return peer.name
        return None

    def _seek(
        self,
        now: float,
        time_s: float,
        shard: str,
        shards: Mapping[str, int],
        reached_since: float | None,
    ) -> list[ShardAction]:
        """Take a shard that nobody leads, if this host is the one to do so.

        A data centre without hosts may be cut off. Its workers are taken only
        when they have answered for a while and still no host there is heard.
        """
        if self.leader(shard) is not None:
            self._empty_since.pop(shard, None)
            return []
        if now < self._started_at + _NEWCOMER_S and self._elders_hear_more():
            return []  # one that is heard later may lead it
        place = data_centre(shard)
        reason = "nobody leads it"
        far = place != self._me.data_centre
        if far and self._has_strangers(place):
            return []  # one that its neighbours hear may lead it
        if far and not self._hosts_of(place):
            since = self._empty_since.setdefault(shard, now)
            if now - since < _EMPTY_S:
                return []
            if reached_since is None or now - reached_since < _EMPTY_S:
                return []
            reason = "no host lives in its data centre"
        all_workers = sum(shards.values())
        if self._heir(place, shards[shard], all_workers) != self._me.name:
            return []
        if far and all_workers > MOST_WORKERS and self._hosts_of(place):
            # They start, or leave: nobody else may be asked to bear their workers.
            since = self._empty_since.setdefault(shard, now)
            if now - since < _EMPTY_S:
                return []
        self._empty_since.pop(shard, None)
        epoch = self._tokens.next(time_s)
        self._tenure = self._tenure or epoch
        self._claims[shard] = Claim(shard, epoch, shards[shard])
        taken = LeadershipTaken(shard, epoch, reason, len(self.live) + 1)
        return [LogDecision(taken)]

    def _heir(self, place: str, workers: int, all_workers: int) -> str:
        """Return the host that should lead a shard that nobody leads.

        One leader with a view of all workers places best, so shards gather at
        one host as long as it can bear them: those of a small fleet at one, those
        of a larger one at one of each data centre.

        Args:
            place: Data centre of the shard.
            workers: Count of its workers.
            all_workers: Count of the workers of all shards.
        """
        spread = all_workers > MOST_WORKERS
        found = []
        candidates = [
            (peer.name, peer.beat.data_centre, peer.beat.weight, peer.beat.claims)
            for peer in self._peers.values()
            if peer.live and peer.beat.able and self._may_lead(peer.beat)
        ]
        own = tuple(self._claims.values())
        candidates.append((self._me.name, self._me.data_centre, self._me.weight, own))
        for name, data_centre_, weight, claims in candidates:
            led = sum(claim.workers for claim in claims)
            fits = led + workers <= MOST_WORKERS
            gathers = led if fits else -led
            away = spread and data_centre_ != place
            found.append((away, -gathers, -weight, name))
        return min(found)[-1]

    def _is_eligible(self) -> bool:
        """Return whether this host may lead; a leaving one only as the last."""
        return not self._leaving or not self._has_successor()

    def _may_lead(self, beat: Beat) -> bool:
        """Return whether another host may lead, as far as its leaving goes."""
        if not beat.leaving:
            return True
        return self._leaving and not self._has_successor()

    def _has_successor(self) -> bool:
        """Return whether another host can lead and stays."""
        return any(
            peer.live and peer.beat.able and not peer.beat.leaving
            for peer in self._peers.values()
        )

    def _hosts_of(self, place: str) -> bool:
        """Return whether a host of a data centre is heard."""
        return any(
            peer.live and peer.beat.data_centre == place
            for peer in self._peers.values()
        )

    def _has_strangers(self, place: str) -> bool:
        """Return whether hosts of a data centre hear one that this host does not."""
        return self._hear_more(
            peer for peer in self._peers.values() if peer.beat.data_centre == place
        )

    def _elders_hear_more(self) -> bool:
        """Return whether hosts that ran before this one hear one that it does not.

        Those that start with it, as after a power loss, have no leader either.
        """
        before = self._me.incarnation - 1000 * _NEWCOMER_S
        return self._hear_more(
            peer for peer in self._peers.values() if peer.beat.incarnation < before
        )

    def _hear_more(self, peers: Iterable[_Peer]) -> bool:
        known = {peer.name for peer in self._peers.values() if peer.live}
        known.add(self._me.name)
        return any(
            peer.live and not known.issuperset(peer.beat.heard) for peer in peers
        )

    def _yield(self, shard: str, to: str, reason: str) -> list[ShardAction]:
        claim = self._claims.pop(shard)
        return [LogDecision(LeadershipYielded(shard, claim.epoch, to, reason))]

    # Life

    def _period_s(self, beat: Beat) -> float:
        """Return how often this host beats to another."""
        quick = self._claims or beat.claims or len(self._peers) < _SMALL_FLEET
        return HEARTBEAT_INTERVAL_S if quick else SLOW_BEAT_S

    def _limit_s(self, beat: Beat) -> float:
        """Return for how long another host may be silent."""
        return LOST_S if self._period_s(beat) == HEARTBEAT_INTERVAL_S else SLOW_LOST_S

    def _is_late(self, now: float, known: _Peer, beat: Beat) -> bool:
        """Return whether a heartbeat is of a life that is over.

        A lower incarnation after silence is a life whose time of day was set back.
        """
        older = beat.incarnation < known.beat.incarnation
        return older and now - known.heard_at <= self._limit_s(known.beat)

    def _lose(self, now: float, peer: _Peer, reason: str) -> list[ShardAction]:
        peer.live = False
        gone = HostGone(peer.name, reason, round(now - peer.heard_at, 3))
        return [LogDecision(gone), HostLost(peer.name)]

    def _beats(
        self, now: float, able: bool, load: Load, version: int, hurry: bool
    ) -> list[ShardAction]:
        recent = [
            peer
            for peer in self._peers.values()
            if now - peer.heard_at <= self._limit_s(peer.beat)
        ]
        heard = tuple(peer.name for peer in recent)
        live = {Address(peer.beat.host, peer.beat.port): peer for peer in recent}
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
            self._tenure,
            load,
        )
        known = tuple(f"{host}:{port}" for host, port in live)
        # The same object for all receivers: it is encoded once.
        full_beat = beat._replace(known=known)
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
                target.next_beat = now + self._period_s(peer.beat)
            target.count += 1
            full = target.count % _KNOWN_BEATS == 1
            actions.append(SendHeartbeat(address, full_beat if full else beat))
        return actions
