"""Tracks which hosts are live and which of them leads each shard.

The entry host behind the platform adapter (`entry/host.py`) uses this module.

Hosts send each other heartbeats, which are messages of type `Beat`. A heartbeat lists
in `heard` the hosts whose heartbeats its sender receives, and in `claims` the shards
that its sender leads. A host considers another one live when heartbeats pass in both
directions. The leader of a shard is the live host whose claim has the highest epoch.

Two hosts may believe for a while that they lead the same shard. This costs only
time, because the workers obey the higher fencing token.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from poplarhill.types import Address
from poplarhilld.decisions import LogDecision
from poplarhilld.leases import TokenSource
from poplarhilld.peers.messages import Beat, Claim, LeaderDigest, Load
from poplarhilld.shards.capacity import (
    can_merge,
    can_relieve,
    has_capacity,
    is_saturated,
    worker_capacity,
)
from poplarhilld.shards.forms import HeartbeatForms
from poplarhilld.shards.intervals import (
    GIVE_UP_DELAY_S,
    HEARTBEAT_INTERVAL_S,
    HOST_TIMEOUT_S,
    SMALL_FLEET_HOSTS,
    Relation,
    interval_s,
)
from poplarhilld.shards.messages import (
    AnswerNewPeer,
    HeartbeatIgnored,
    HostFound,
    HostGone,
    HostLost,
    LeadershipTaken,
    LeadershipYielded,
    SendHeartbeat,
    ShardAction,
)
from poplarhilld.shards.partition import ancestors, data_centre
from poplarhilld.shards.peer import Peer, Target
from poplarhilld.shards.schedule import next_due_at

# After a saturated leader has yielded a shard, until that shows in what it measures.
_RELIEF_INTERVAL_S = 4.0
_MERGE_WAIT_S = 3.0  # a host must be live this long before shards move to it
_UNREACHABLE_S = 1.0  # without a worker that responds; then a remote shard is yielded
_RETRY_INTERVAL_S = 1.0  # between heartbeats to an address that does not respond
_FORGET_ADDRESS_S = 60.0  # without a response; a replaced host gets another address
# Every tenth heartbeat to an address lists the addresses of the hosts in `heard`.
_HEARTBEATS_PER_FULL = 10
_CLAIM_DELAY_S = 0.3  # two heartbeats, so that a new host learns of existing leaders
# The same once the addresses of all hosts are known: each answers the first heartbeat.
_ANSWER_DELAY_S = 0.15
# For this long after its start a host may not have found all its peers: a lost first
# heartbeat is sent again after 1 s, and a busy host takes 0.6 s.
_NEWCOMER_DELAY_S = 1.6
_TAKEOVER_DELAY_S = 2.0  # to claim a remote shard; a host restarts in about a second
# To claim a shard whose workers another host leads as part of another shard. Hosts that
# lead nothing read the list of workers every 2 s, or later if the store is slow.
_SPLIT_WAIT_S = 10.0
# After a data centre has lost its leader, its live hosts have sent a heartbeat to each
# other and to the leaders of other data centres within this time.
_PROBE_TIME_S = 2 * HEARTBEAT_INTERVAL_S
# A host that has just been found is known to its leader a second later.
_REPORT_DELAY_S = 2.0
_RELAY_LIFETIME_S = 3.0  # longer than it takes to replace the leader that relayed
_INTERVALS_LIFETIME_S = 0.3  # hosts that settle may send often for that much longer
_ADDRESS_LISTS_KEPT = 128  # peers list the same addresses in heartbeat after heartbeat
_MAX_REASON_CHARS = 120  # of a peer's invalid input that a log line repeats
_PAUSE_THRESHOLD_S = 0.45  # a tick late by three heartbeats: the process was paused


class LocalHost(NamedTuple):
    """The host that this process runs.

    Attributes:
        name: Name of the host.
        address: Address at which peers reach it.
        data_centre: Data centre of the host.
        incarnation: Start time of the process, ms since the Unix epoch.
        cores: CPU capacity of the host: its count of cores times their speed; 1 is
            the usual speed.
    """

    name: str
    address: Address
    data_centre: str
    incarnation: int
    cores: float


class Hosts:
    """Tracks the live hosts and the shards that each of them leads.

    Args:
        me: This host.
        seeds: Addresses of hosts known at start.
        tokens: Source of epochs, which rise with each claim.
        now: This host's clock, s.
    """

    def __init__(
        self, me: LocalHost, seeds: Iterable[Address], tokens: TokenSource, now: float
    ) -> None:
        self._me = me
        self._tokens = tokens
        self._started_at = now
        self._may_claim_at = now + _CLAIM_DELAY_S
        # Whether the addresses of all registered hosts are known.
        self._registered_known = False
        self._last_tick_at = now
        self._peers: dict[str, Peer] = {}
        self._targets: dict[Address, Target] = {}
        self._claims: dict[str, Claim] = {}
        self._takeover_wait_since: dict[str, float] = {}
        self._unreachable_since: dict[str, float] = {}
        # Leader of each shard that has one; None after a change of a host or claim.
        self._leader_of_shard: dict[str, str] | None = None
        self._update_intervals_at = now
        # For each data centre with a live leader, the hosts whose heartbeats its
        # leaders receive.
        self._reported_by_leaders: dict[str, set[str]] = {}
        # Since when a data centre has had no leader that this host knows, s.
        self._leaderless_since: dict[str, float] = {}
        # Whether a data centre with workers has no leader.
        self._lacks_leader = True
        # Whether the fleet has more workers than any of its hosts can lead.
        self._large_fleet = False
        self._busy = 0.0
        self._relief_due_at = now
        self._last_heartbeats: dict[tuple[str, bool], Beat] = {}
        self._leading_since_epoch = 0
        self._outdated = False
        self._leaving = False
        self.add_addresses(now, seeds)

    @property
    def live(self) -> dict[str, Beat]:
        """The newest heartbeat of every other live host, by name."""
        return {peer.name: peer.heartbeat for peer in self._peers.values() if peer.live}

    @property
    def leaders(self) -> dict[str, Beat]:
        """The newest heartbeat of every other live host that leads, by name.

        Leaders of other data centres that only the leader of this one receives
        heartbeats from are included, without their claims.
        """
        return self._relayed_leaders() | self._direct_leaders()

    def _direct_leaders(self) -> dict[str, Beat]:
        """Return the newest heartbeat of the leaders that are live here, by name.

        What a distant host told some time ago says little about who leads now.
        """
        oldest = self._last_tick_at - _RELAY_LIFETIME_S
        return {
            peer.name: peer.heartbeat
            for peer in self._peers.values()
            if peer.live
            and peer.heartbeat.claims
            and (peer.nearby or peer.received_at >= oldest)
            and self._may_lead(peer.heartbeat)
        }

    def _relayed_leaders(self) -> dict[str, Beat]:
        """Return heartbeats made of what other leaders report of leaders, by name."""
        return {
            digest.name: Beat(
                digest.host,
                digest.port,
                digest.data_centre,
                0,
                0.0,
                True,
                tenure=digest.tenure,
                load=digest.load,
            )
            for digest in self._reported_leaders()
            if digest.name != self._me.name
        }

    def _reported_leaders(self) -> list[LeaderDigest]:
        """Return what other leaders report of leaders, the newest reports last."""
        oldest = self._last_tick_at - _RELAY_LIFETIME_S
        reporters = [
            peer
            for peer in self._peers.values()
            if peer.heartbeat.leaders and peer.received_at >= oldest
        ]
        reporters.sort(key=lambda peer: peer.received_at)
        return [digest for peer in reporters for digest in peer.heartbeat.leaders]

    @property
    def outdated(self) -> bool:
        """Whether this host leads and has not read the workers for some time."""
        return self._outdated

    @property
    def claims(self) -> Mapping[str, Claim]:
        """Claims of the shards that this host leads, by shard."""
        return self._claims

    def address(self, name: str) -> Address | None:
        """Return the address of a host, or None if the host is unknown."""
        peer = self._peers.get(name)
        heartbeat = peer.heartbeat if peer else self._relayed_leaders().get(name)
        return Address(heartbeat.host, heartbeat.port) if heartbeat else None

    def add_addresses(self, now: float, addresses: Iterable[Address]) -> None:
        """Add addresses at which there may be hosts; they get heartbeats."""
        for address in addresses:
            if address != self._me.address and address not in self._targets:
                self._targets[address] = Target(now, now)

    def set_registered_addresses(
        self, now: float, addresses: Iterable[Address]
    ) -> None:
        """Add the addresses of all hosts that are registered in the store."""
        self.add_addresses(now, addresses)
        if not self._registered_known and now < self._started_at + _CLAIM_DELAY_S:
            self._may_claim_at = min(self._may_claim_at, now + _ANSWER_DELAY_S)
        self._registered_known = True

    @property
    def leading_since_epoch(self) -> int:
        """Epoch since which this host has led continuously; 0 if it leads nothing.

        Heartbeats carry it as `tenure`.
        """
        return self._leading_since_epoch

    def leader(self, shard: str) -> str | None:
        """Return the live host with the newest claim to a shard, or None."""
        if self._leader_of_shard is None:
            self._leader_of_shard = self._find_leaders()
        return self._leader_of_shard.get(shard)

    def shards_to_watch(self, shards: Collection[str]) -> set[str]:
        """Return the shards without a leader that this host may have to claim.

        These are shards of other data centres, whose workers must have responded for
        a while first. In a large fleet only leaders claim such shards.
        """
        leads_or_has_none = self._claims or not any(
            data_centre(shard) == self._me.data_centre for shard in shards
        )
        if self._large_fleet and not leads_or_has_none:
            return set()
        return {
            shard
            for shard in shards
            if data_centre(shard) in self._leaderless_since
            and data_centre(shard) != self._me.data_centre
            and self.leader(shard) is None
        }

    def _find_leaders(self) -> dict[str, str]:
        newest = {
            claim.shard: (claim.epoch, self._me.name) for claim in self._claims.values()
        }
        for name, heartbeat in self._direct_leaders().items():
            for claim in heartbeat.claims:
                claimant = (claim.epoch, name)
                newest[claim.shard] = max(newest.get(claim.shard, claimant), claimant)
        return {shard: name for shard, (_, name) in newest.items()}

    def heartbeat_received(
        self, now: float, name: str, heartbeat: Beat
    ) -> list[ShardAction]:
        """Update the sender's state from its heartbeat."""
        if name == self._me.name:
            return []
        try:
            known_addresses = _parse_addresses(heartbeat.known)
        except ValueError as error:
            return [LogDecision(HeartbeatIgnored(name, str(error)[:_MAX_REASON_CHARS]))]
        peer = self._peers.get(name)
        if peer is not None and self._is_stale(now, peer, heartbeat):
            return []
        actions: list[ShardAction] = []
        found_now = peer is None or peer.heartbeat.incarnation != heartbeat.incarnation
        if found_now:
            if peer is not None and peer.live:
                actions += self._mark_lost(now, peer, "it has restarted")
            if peer is not None:
                actions.append(HostLost(name))
            peer = self._peers[name] = Peer(name, heartbeat, now)
            self._note_change()
            known = self._targets.get(Address(heartbeat.host, heartbeat.port))
            if known is not None and heartbeat.data_centre == self._me.data_centre:
                known.sent = 0  # the next heartbeat lists all addresses
            actions.append(AnswerNewPeer(Address(heartbeat.host, heartbeat.port)))
        if _leadership_of(heartbeat) != _leadership_of(peer.heartbeat):
            self._note_change()
        peer.heartbeat, peer.received_at = heartbeat, now
        address = Address(heartbeat.host, heartbeat.port)
        self.add_addresses(now, [address])
        target = self._targets[address]
        # A new peer waits for this reply to find this host.
        delay_s = 0.0 if found_now else peer.send_interval_s
        target.next_heartbeat_at = min(target.next_heartbeat_at, now + delay_s)
        self.add_addresses(now, known_addresses)
        if not peer.live and self._me.name in heartbeat.heard:
            peer.live, peer.live_since, peer.lost_at = True, now, None
            self._note_change()
            found = HostFound(
                name,
                f"{heartbeat.host}:{heartbeat.port}",
                heartbeat.data_centre,
                heartbeat.incarnation,
            )
            actions.append(LogDecision(found))
        elif peer.live and self._me.name not in heartbeat.heard:
            actions += self._mark_lost(
                now, peer, "it does not receive heartbeats from this host"
            )
        return actions

    def connection_refused(self, now: float, address: Address) -> list[ShardAction]:
        """Mark the host at an address that refuses connections as no longer live."""
        actions: list[ShardAction] = []
        for peer in self._peers.values():
            if (peer.heartbeat.host, peer.heartbeat.port) != address:
                continue
            if peer.live:
                actions += self._mark_lost(now, peer, "its address refuses connections")
            actions += self._give_up(peer)
        return actions

    def set_outdated(self, outdated: bool) -> None:
        """Set whether this host leads and has not read the workers for some time."""
        self._outdated = outdated

    def leave(self) -> None:
        """Start to shut down: claim shards only if no other host can lead them."""
        self._leaving = True
        self._note_change()

    @property
    def changed(self) -> bool:
        """Whether a host or a claim has changed since leaders were worked out."""
        return self._leader_of_shard is None

    def next_tick_at(self, now: float) -> float:
        """Return when `tick` next has something to do, s, if no message arrives before.

        That is at once while this host leads, starts or leaves, while a data centre
        with workers has no leader, and after a change of a host or a claim. The time is
        at most one interval of the heartbeats ahead, because intervals depend on time
        as well.
        """
        ready_at = max(self._may_claim_at, self._started_at + _NEWCOMER_DELAY_S)
        unsettled = self._claims or self._leaving or self._lacks_leader
        if unsettled or self.changed or now < ready_at:
            return now
        due_at = next_due_at(self._peers.values(), self._targets.values())
        return max(now, min(due_at, self._last_tick_at + HEARTBEAT_INTERVAL_S))

    def tick(
        self,
        now: float,
        time_s: float,
        shards: Mapping[str, int],
        can_lead: bool,
        load: Load,
        version: int,
        reachable_since: Mapping[str, float],
    ) -> list[ShardAction]:
        """Remove silent hosts, update the claims and send the heartbeats that are due.

        Args:
            now: This host's clock, s.
            time_s: Time of day, s since the Unix epoch.
            shards: Count of the workers of each shard.
            can_lead: Whether this host can lead: it has read the list of workers.
                Heartbeats carry it as `able`.
            load: How busy this host is as a leader.
            version: Version of the catalogue in force.
            reachable_since: Since when a worker of each shard has responded to this
                host, s; for a shard that this host leads, when a worker last
                responded. A shard without such a worker is absent.
        """
        actions: list[ShardAction] = []
        if now - self._last_tick_at > _PAUSE_THRESHOLD_S:
            # This process was paused. The other hosts have lost it, and it has to find
            # them again before it can tell that a shard has no leader.
            self._may_claim_at = max(self._may_claim_at, now + HOST_TIMEOUT_S)
        self._last_tick_at = now
        self._busy = load.busy
        self._large_fleet = sum(shards.values()) > self._largest_capacity()
        self._update_intervals(now)
        for peer in list(self._peers.values()):
            if peer.live and not peer.is_recent(now):
                actions += self._mark_lost(now, peer, "silent")
        self._update_reports()
        for peer in self._peers.values():
            if peer.lost_at is not None and now - peer.lost_at > GIVE_UP_DELAY_S:
                actions += self._give_up(peer)
        for peer in list(self._peers.values()):
            if self._is_reported_gone(now, peer):
                reason = "the leader of its data centre receives no heartbeats from it"
                actions += self._mark_lost(now, peer, reason)
                peer.received_at = -math.inf
        at_once: set[str] = set()
        if actions and self._claims:  # a host was lost, which the other leaders report
            at_once.update(self._direct_leaders())
        nearby = {peer.name for peer in self._peers.values() if peer.nearby}
        changed = self._update_claims(now, time_s, shards, can_lead, reachable_since)
        if not self._claims:
            self._leading_since_epoch = 0
        actions += changed
        if changed:
            self._update_intervals(now)
            at_once |= nearby
            at_once.update(peer.name for peer in self._peers.values() if peer.nearby)
        self._lacks_leader = any(
            data_centre(shard) in self._leaderless_since for shard in shards
        )
        actions += self._due_heartbeats(now, can_lead, load, version, at_once)
        return actions

    # Leadership

    def _update_claims(
        self,
        now: float,
        time_s: float,
        shards: Mapping[str, int],
        can_lead: bool,
        reachable_since: Mapping[str, float],
    ) -> list[ShardAction]:
        actions: list[ShardAction] = []
        for shard in self._claims.keys() - shards.keys():
            actions += self._yield(shard, "", "the shard has no workers")
        claims_before = dict(self._claims)
        for shard in sorted(shards):
            parent = _split_from(shard, claims_before, shards)
            if parent is not None and parent.shard in self._claims:
                actions += self._claim_split_shard(shard, parent, shards[shard])
            if shard in self._claims:
                self._claims[shard] = self._claims[shard]._replace(
                    workers=shards[shard]
                )
                actions += self._review_claim(
                    now, shard, shards, reachable_since.get(shard)
                )
            elif can_lead and self._is_eligible() and now >= self._may_claim_at:
                actions += self._try_claim(
                    now, time_s, shard, shards, reachable_since.get(shard)
                )
        return actions + self._relieve(now, shards)

    def _claim_split_shard(
        self, shard: str, parent: Claim, workers: int
    ) -> list[ShardAction]:
        """Go on leading the workers of a shard that was split off one led here."""
        if shard in self._claims:
            return []
        self._claims[shard] = Claim(shard, parent.epoch, workers)
        self._note_change()
        taken = LeadershipTaken(
            shard, parent.epoch, "split off a shard led here", len(self.live) + 1
        )
        return [LogDecision(taken)]

    def _review_claim(
        self,
        now: float,
        shard: str,
        shards: Mapping[str, int],
        reachable_since: float | None,
    ) -> list[ShardAction]:
        """Yield a shard that this host leads if it should no longer lead it."""
        if self._leaving and self._has_successor():
            return self._yield(shard, "", "this host is shutting down")
        leader = self.leader(shard)
        if leader != self._me.name:
            return self._yield(shard, leader or "", "that host has a newer claim")
        if reachable_since is None:
            since = self._unreachable_since.setdefault(shard, now)
            # The data centre may be cut off, and one of its hosts may lead by now.
            centre = data_centre(shard)
            remote = centre != self._me.data_centre and not self._has_live_host(centre)
            if remote and now - since > _UNREACHABLE_S:
                del self._unreachable_since[shard]
                return self._yield(shard, "", "its data centre is unreachable")
        else:
            self._unreachable_since.pop(shard, None)
        if self._has_local_candidate(now, shard):
            return self._yield(shard, "", "a host in its data centre can lead it")
        target = self._merge_target(now)
        if target is not None:
            return self._yield(shard, target, "that host leads more workers")
        return []

    def _has_local_candidate(self, now: float, shard: str) -> bool:
        """Return whether a host in the shard's own data centre should lead it.

        This applies only to a fleet that is too large for one leader.
        """
        centre = data_centre(shard)
        if not self._large_fleet or centre == self._me.data_centre:
            return False
        return any(
            peer.heartbeat.data_centre == centre
            and self._is_present(peer)
            and peer.heartbeat.able
            and not peer.heartbeat.leaving
            and now - peer.live_since > _MERGE_WAIT_S
            for peer in self._peers.values()
        )

    def _merge_target(self, now: float) -> str | None:
        """Return the leader that should take over all shards of this host, or None.

        In a fleet that is too large for one leader, only leaders of one data centre
        merge, so that a partition between data centres separates no worker from its
        leader.
        """
        own_workers = sum(claim.workers for claim in self._claims.values())
        own_rank = (own_workers, self._me.name)
        for peer in self._peers.values():
            if not peer.live or peer.heartbeat.leaving or not peer.heartbeat.able:
                continue
            if self._large_fleet and peer.heartbeat.data_centre != self._me.data_centre:
                continue
            workers = sum(claim.workers for claim in peer.heartbeat.claims)
            cores, busy = peer.heartbeat.weight, peer.heartbeat.load.busy
            if (
                not workers
                or own_workers + workers > worker_capacity(cores)
                or not can_merge(cores, busy, self._busy * self._me.cores)
            ):
                continue
            if (
                workers,
                peer.name,
            ) > own_rank and now - peer.live_since > _MERGE_WAIT_S:
                return peer.name
        return None

    def _try_claim(
        self,
        now: float,
        time_s: float,
        shard: str,
        shards: Mapping[str, int],
        reachable_since: float | None,
    ) -> list[ShardAction]:
        """Claim a shard that has no leader if this host is the preferred one.

        A data centre that seems to have no live host may only be cut off. Its shards
        are claimed only after their workers have responded for a while and there is
        still no live host there.
        """
        if self.leader(shard) is not None:
            self._takeover_wait_since.pop(shard, None)
            return []
        if (
            now < self._started_at + _NEWCOMER_DELAY_S
            and self._older_hosts_report_peer_not_live_here()
        ):
            return []  # that peer may lead it
        if self._is_led_within_another_shard(shard, shards):
            since = self._takeover_wait_since.setdefault(shard, now)
            if now - since < _SPLIT_WAIT_S:
                return []
        centre = data_centre(shard)
        reason = "it has no leader"
        remote = centre != self._me.data_centre
        if remote and centre not in self._leaderless_since:
            return []  # other leaders report one of that data centre
        if remote and self._data_centre_reports_peer_not_live_here(centre):
            return []  # that peer may lead it
        if remote and not self._has_live_host(centre):
            since = self._takeover_wait_since.setdefault(shard, now)
            if now - since < _TAKEOVER_DELAY_S:
                return []
            if reachable_since is None or now - reachable_since < _TAKEOVER_DELAY_S:
                return []
            reason = "its data centre has no live host"
        if self._preferred_leader(shard, shards) != self._me.name:
            return []
        if remote and self._large_fleet and self._has_live_host(centre):
            # The hosts there are starting or leaving. They get time before a host of
            # another data centre has to lead their workers.
            since = self._takeover_wait_since.setdefault(shard, now)
            if now - since < _TAKEOVER_DELAY_S:
                return []
        self._takeover_wait_since.pop(shard, None)
        epoch = self._tokens.next(time_s)
        self._leading_since_epoch = self._leading_since_epoch or epoch
        self._claims[shard] = Claim(shard, epoch, shards[shard])
        self._note_change()
        taken = LeadershipTaken(shard, epoch, reason, len(self.live) + 1)
        return [LogDecision(taken)]

    def _relieve(self, now: float, shards: Mapping[str, int]) -> list[ShardAction]:
        """Yield a shard if this host is saturated and a neighbour can lead it."""
        if (
            not is_saturated(self._busy)
            or len(self._claims) < 2
            or now < self._relief_due_at
        ):
            return []
        own_workers = sum(claim.workers for claim in self._claims.values())
        shard = max(self._claims, key=lambda name: (self._claims[name].workers, name))
        workers = self._claims[shard].workers
        added_cores = self._busy * self._me.cores * workers / max(1, own_workers)
        name = self._preferred_leader(shard, shards)
        peer = self._peers.get(name or "")
        if (
            peer is None
            or peer.heartbeat.data_centre != self._me.data_centre
            or now - peer.live_since < _MERGE_WAIT_S
            or not can_relieve(
                peer.heartbeat.weight, peer.heartbeat.load.busy, added_cores
            )
        ):
            return []
        self._relief_due_at = now + _RELIEF_INTERVAL_S
        reason = "this host is saturated and that host has processor time"
        return self._yield(shard, peer.name, reason)

    def _largest_capacity(self) -> int:
        """Return how many workers the largest known host can lead."""
        cores = [peer.heartbeat.weight for peer in self._peers.values() if peer.live]
        return worker_capacity(max([self._me.cores, *cores]))

    def _is_led_within_another_shard(
        self, shard: str, shards: Mapping[str, int]
    ) -> bool:
        """Return whether another host leads the workers of a shard as part of another.

        Either that host has not read yet that the shard was split off, or this host
        has not read yet that it was merged again.
        """
        return any(
            _split_from(shard, {claim.shard: claim for claim in beat.claims}, shards)
            for beat in self.leaders.values()
        )

    def _preferred_leader(self, shard: str, shards: Mapping[str, int]) -> str | None:
        """Return the host that should lead a shard that has no leader, if any.

        A leader places tasks best when it sees all workers, so one host leads as many
        shards as its capacity allows: all shards of a small fleet, or the shards of
        its data centre in a fleet that is too large for one leader.

        Args:
            shard: The shard.
            shards: Count of the workers of each shard.
        """
        centre, workers = data_centre(shard), shards[shard]
        ranked = []
        candidates = [
            (
                peer.name,
                peer.heartbeat.data_centre,
                peer.heartbeat.weight,
                peer.heartbeat.load.busy,
                peer.heartbeat.claims,
            )
            for peer in self._peers.values()
            if peer.heartbeat.able
            and self._is_present(peer)
            and self._may_lead(peer.heartbeat)
        ]
        own = tuple(self._claims.values())
        me = self._me
        candidates.append((me.name, me.data_centre, me.cores, self._busy, own))
        for name, host_centre, cores, busy, claims in candidates:
            if (
                self._large_fleet
                and host_centre != centre
                and not claims
                and any(data_centre(other) == host_centre for other in shards)
            ):
                continue  # only leaders know which data centres have no leader
            led_workers = sum(claim.workers for claim in claims)
            fits = has_capacity(cores, busy, led_workers, workers)
            load_preference = led_workers if fits else -led_workers
            remote = self._large_fleet and host_centre != centre
            ranked.append((remote, -load_preference, -cores, name))
        return min(ranked)[-1] if ranked else None

    def _is_eligible(self) -> bool:
        """Return whether this host may lead: it stays, or it has no successor."""
        return not self._leaving or not self._has_successor()

    def _may_lead(self, heartbeat: Beat) -> bool:
        """Return whether another host may lead, given which hosts are leaving.

        A leaving host may lead only if this host is leaving too and has no successor.
        """
        if not heartbeat.leaving:
            return True
        return self._leaving and not self._has_successor()

    def _has_successor(self) -> bool:
        """Return whether another live host can lead and is not leaving."""
        return any(
            self._is_present(peer)
            and peer.heartbeat.able
            and not peer.heartbeat.leaving
            for peer in self._peers.values()
        )

    def _has_live_host(self, centre: str) -> bool:
        """Return whether another host of a data centre is live."""
        return any(
            peer.heartbeat.data_centre == centre and self._is_present(peer)
            for peer in self._peers.values()
        )

    def _is_present(self, peer: Peer) -> bool:
        """Return whether a host is live, also in the view of its leaders.

        The silence of a host whose heartbeats are rare shows late. The leaders of its
        data centre notice it sooner. While there is none, a host counts if it has
        sent a heartbeat since the last leader was lost.
        """
        if not peer.live:
            return False
        if self._last_tick_at - peer.received_at <= HOST_TIMEOUT_S:
            return True
        centre = peer.heartbeat.data_centre
        reported = self._reported_by_leaders.get(centre)
        if reported is not None:
            return peer.name in reported
        leaderless_since = self._leaderless_since.get(centre, self._last_tick_at)
        if peer.received_at >= leaderless_since:
            return True
        return self._last_tick_at - leaderless_since <= _PROBE_TIME_S

    def _is_reported_gone(self, now: float, peer: Peer) -> bool:
        """Return whether the leaders of a live host's data centre have lost it."""
        reported = self._reported_by_leaders.get(peer.heartbeat.data_centre)
        return (
            peer.live
            and reported is not None
            and peer.name not in reported
            and now - peer.received_at > HOST_TIMEOUT_S
            and now - peer.live_since > _REPORT_DELAY_S
        )

    def _update_reports(self) -> None:
        """Note which hosts the leaders of each data centre receive heartbeats from."""
        self._reported_by_leaders = {}
        for name, heartbeat in self._direct_leaders().items():
            if not heartbeat.nearby:
                continue  # it names only hosts of this data centre
            for centre in {data_centre(claim.shard) for claim in heartbeat.claims}:
                reported = self._reported_by_leaders.setdefault(centre, {name})
                reported.update(heartbeat.heard)

    def _update_leaderless(self, now: float) -> None:
        """Note since when each data centre has had no leader."""
        led = self._led_data_centres()
        centres = {peer.heartbeat.data_centre for peer in self._peers.values()}
        centres.add(self._me.data_centre)
        for centre in centres - led:
            self._leaderless_since.setdefault(centre, now)
        for centre in led:
            self._leaderless_since.pop(centre, None)

    def _led_data_centres(self) -> set[str]:
        """Return the data centres of which a shard has a leader here."""
        if self._leader_of_shard is None:
            self._leader_of_shard = self._find_leaders()
        led = {data_centre(shard) for shard in self._leader_of_shard}
        for digest in self._reported_leaders():
            led.update(
                centre
                for centre in digest.led_data_centres
                if centre != self._me.data_centre
            )
        return led

    def _data_centre_reports_peer_not_live_here(self, centre: str) -> bool:
        """Return whether a live host there reports a peer that is not live here."""
        return self._report_peer_not_live_here(
            peer
            for peer in self._peers.values()
            if peer.heartbeat.data_centre == centre
        )

    def _older_hosts_report_peer_not_live_here(self) -> bool:
        """Return whether an older live host reports a peer that is not live here.

        Hosts that start together with this one, as after a power loss, do not count,
        because they have no leader either.
        """
        before = self._me.incarnation - 1000 * _NEWCOMER_DELAY_S
        return self._report_peer_not_live_here(
            peer for peer in self._peers.values() if peer.heartbeat.incarnation < before
        )

    def _report_peer_not_live_here(self, peers: Iterable[Peer]) -> bool:
        """Return whether a live one of the peers reports a host that is not live here.

        That is a host whose heartbeats the peer receives, but which is not live in
        the view of this host.
        """
        known = {peer.name for peer in self._peers.values() if peer.live}
        known.add(self._me.name)
        return any(
            self._is_present(peer) and not known.issuperset(peer.heartbeat.heard)
            for peer in peers
        )

    def _yield(self, shard: str, to: str, reason: str) -> list[ShardAction]:
        claim = self._claims.pop(shard)
        self._note_change()
        return [LogDecision(LeadershipYielded(shard, claim.epoch, to, reason))]

    def _note_change(self) -> None:
        """Forget what was worked out from the hosts and their claims."""
        self._leader_of_shard = None
        self._update_intervals_at = -math.inf

    # Liveness

    def _relation(self, peer: Peer) -> Relation:
        """Return what a peer is to this host."""
        own_centre, centre = self._me.data_centre, peer.heartbeat.data_centre
        claims = peer.heartbeat.claims
        leaderless = self._leaderless_since
        if (
            any(data_centre(shard) == centre for shard in self._claims)
            or any(data_centre(claim.shard) == own_centre for claim in claims)
            or (self._claims and centre in leaderless)
            or (claims and own_centre in leaderless)
        ):
            return Relation.CLOSE
        if self._claims and claims:
            return Relation.LEADERS
        if own_centre == centre:
            both_probe = own_centre in leaderless
            return Relation.CLOSE if both_probe else Relation.NEIGHBOURS
        if not self._large_fleet and own_centre in leaderless and centre in leaderless:
            return Relation.CLOSE  # any of them may lead all workers
        return Relation.FAR

    def _update_intervals(self, now: float) -> None:
        """Work out how often this host and each peer send each other heartbeats."""
        if now < self._update_intervals_at:
            return
        self._update_intervals_at = now + _INTERVALS_LIFETIME_S
        self._update_leaderless(now)
        small = len(self._peers) < SMALL_FLEET_HOSTS
        if self._update_relations(small):
            # Leaders that are nearby now count, and those that are distant do not.
            self._leader_of_shard = None
            self._update_leaderless(now)
            self._update_relations(small)
        counts = Counter(peer.relation for peer in self._peers.values())
        neighbours = sum(
            peer.heartbeat.data_centre == self._me.data_centre
            for peer in self._peers.values()
        )
        for peer in self._peers.values():
            expected_s = peer.send_interval_s = HEARTBEAT_INTERVAL_S
            if not small:
                send_count = expected_count = counts[peer.relation]
                if peer.relation is Relation.CLOSE:
                    # Only what the hosts of a data centre send to a leader adds up.
                    peer_leads = bool(peer.heartbeat.claims)
                    expected_count = (
                        send_count if self._claims and not peer_leads else 1
                    )
                    send_count = neighbours if peer_leads and not self._claims else 1
                live_s = now - peer.live_since if peer.live else 0.0
                expected_s = interval_s(peer.relation, expected_count, live_s)
                peer.send_interval_s = interval_s(peer.relation, send_count, live_s)
            if expected_s < peer.interval_s:
                peer.shortened_at = now
            peer.interval_s = expected_s

    def _update_relations(self, small: bool) -> bool:
        """Work out what each peer is to this host; return whether one has changed."""
        changed = False
        for peer in self._peers.values():
            relation = Relation.CLOSE if small else self._relation(peer)
            changed = changed or relation is not peer.relation
            peer.relation = relation
        return changed

    def _is_stale(self, now: float, peer: Peer, heartbeat: Beat) -> bool:
        """Return whether a heartbeat was sent before its sender restarted.

        A lower incarnation counts as a restart once the timeout has passed, because
        the host's time of day may have been set back.
        """
        older = heartbeat.incarnation < peer.heartbeat.incarnation
        return older and peer.is_recent(now)

    def _mark_lost(self, now: float, peer: Peer, reason: str) -> list[ShardAction]:
        peer.live = False
        self._note_change()
        address = Address(peer.heartbeat.host, peer.heartbeat.port)
        target = self._targets.get(address)
        if target is not None:
            # It may be there still, and the next rare heartbeat may be a minute away.
            target.next_heartbeat_at = min(
                target.next_heartbeat_at, now + HEARTBEAT_INTERVAL_S
            )
        peer.lost_at = now
        gone = HostGone(peer.name, reason, round(now - peer.received_at, 3))
        return [LogDecision(gone)]

    def _give_up(self, peer: Peer) -> list[ShardAction]:
        """Return that the work for a lost host is to stop, if not told before."""
        if peer.lost_at is None:
            return []
        peer.lost_at = None
        return [HostLost(peer.name)]

    def _due_heartbeats(
        self, now: float, can_lead: bool, load: Load, version: int, at_once: set[str]
    ) -> list[ShardAction]:
        """Return the heartbeats that are due, and those to peers named in `at_once`."""
        if not at_once and all(
            now < target.next_heartbeat_at for target in self._targets.values()
        ):
            return []
        recent = [peer for peer in self._peers.values() if peer.is_recent(now)]
        recent_by_address = {
            Address(peer.heartbeat.host, peer.heartbeat.port): peer for peer in recent
        }
        heartbeats = HeartbeatForms(
            self._build_heartbeat(can_lead, load, version),
            recent,
            self._leader_digests(),
            self._last_heartbeats,
        )
        actions: list[ShardAction] = []
        for address, target in list(self._targets.items()):
            peer = recent_by_address.get(address)
            if peer is None and now - target.last_responsive_at > _FORGET_ADDRESS_S:
                del self._targets[address]
                continue
            told_at_once = peer is not None and peer.name in at_once
            if now < target.next_heartbeat_at and not told_at_once:
                continue
            if peer is None:
                target.next_heartbeat_at = now + _RETRY_INTERVAL_S
            else:
                target.last_responsive_at = now
                target.next_heartbeat_at = now + peer.send_interval_s
            target.sent += 1
            full = target.sent % _HEARTBEATS_PER_FULL == 1
            actions.append(SendHeartbeat(address, heartbeats.form(peer, full)))
        self._last_heartbeats = heartbeats.built
        return actions

    def _build_heartbeat(self, can_lead: bool, load: Load, version: int) -> Beat:
        """Return a heartbeat that lists no hosts."""
        return Beat(
            *self._me.address,
            self._me.data_centre,
            self._me.incarnation,
            self._me.cores,
            can_lead,
            self._leaving,
            (),
            tuple(self._claims.values()),
            (),
            version,
            self._leading_since_epoch,
            load,
            outdated=self._outdated,
        )

    def _leader_digests(self) -> tuple[LeaderDigest, ...]:
        """Return what a leader of a large fleet reports of the other leaders."""
        if not self._claims or len(self._peers) < SMALL_FLEET_HOSTS:
            return ()
        return tuple(
            LeaderDigest(
                name,
                heartbeat.host,
                heartbeat.port,
                heartbeat.data_centre,
                tuple(sorted({data_centre(claim.shard) for claim in heartbeat.claims})),
                heartbeat.tenure,
                heartbeat.load,
            )
            for name, heartbeat in self._direct_leaders().items()
        )


def _leadership_of(heartbeat: Beat) -> tuple:
    """Return the fields of a heartbeat that decide who leads a shard."""
    return heartbeat.claims, heartbeat.able, heartbeat.leaving


@lru_cache(maxsize=_ADDRESS_LISTS_KEPT)
def _parse_addresses(texts: tuple[str, ...]) -> tuple[Address, ...]:
    """Return the addresses in a heartbeat.

    Raises:
        ValueError: A text is not an address.
    """
    return tuple(Address.from_text(text) for text in texts)


def _split_from(
    shard: str, claims: Mapping[str, Claim], shards: Mapping[str, int]
) -> Claim | None:
    """Return the claim that covered the workers of a shard before it was split off.

    Args:
        shard: The shard.
        claims: Claims of one leader.
        shards: Count of the workers of each shard now.
    """
    if shard in claims:
        return None
    for ancestor in ancestors(shard):
        claim = claims.get(ancestor)
        if claim is not None:
            # Lists of workers that hosts read at different times differ a little.
            covered = claim.workers - shards.get(ancestor, 0)
            return claim if covered >= shards[shard] / 2 else None
    return None
