"""What a host knows of the fleet: live hosts, claims and leaders."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from poplarhill.types import Address
from poplarhilld.evacuation.messages import Evacuations
from poplarhilld.leases import TokenSource
from poplarhilld.peers.messages import Beat, Claim, LeaderDigest
from poplarhilld.shards.intervals import (
    HEARTBEAT_INTERVAL_S,
    HOST_TIMEOUT_S,
)
from poplarhilld.shards.peer import Peer, Target

_RELAY_LIFETIME_S = 3.0  # longer than it takes to replace the leader that relayed
# After a data centre has lost its leader, its live hosts have sent a heartbeat to each
# other and to the leaders of other data centres within this time.
_PROBE_TIME_S = 2 * HEARTBEAT_INTERVAL_S
CLAIM_DELAY_S = 0.3  # two heartbeats, so that a new host learns of existing leaders


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


class FormerLeader(NamedTuple):
    """What a leader that no longer leads a shard reported last while it led.

    Attributes:
        heard_at: When it was last heard as a leader, s.
        oldest_offer_at: Time after which the runs were offered that it and the leaders
            before it may have left, s; minus infinity if that is not known.
    """

    heard_at: float
    oldest_offer_at: float


_UNKNOWN_LEADER = FormerLeader(-math.inf, -math.inf)


class Fleet:
    """The hosts that this host knows, and the shards that each of them leads.

    Args:
        me: This host.
        tokens: Source of epochs, which rise with each claim.
        now: This host's clock, s.

    Attributes:
        me: This host.
        tokens: Source of epochs.
        started_at: When this host started, s.
        may_claim_at: From when on this host may claim shards, s.
        registered_known: Whether the addresses of all registered hosts are known.
        last_tick_at: When the last tick began, s.
        peers: Other hosts by name.
        targets: Addresses to which heartbeats are sent.
        claims: Claims of the shards that this host leads, by shard.
        leader_of_shard: Leader of each shard that has one; None after a change of a
            host or claim.
        last_leader: The last known leader of each shard, which may be lost.
        former_leaders: The leader before the last known one of each shard.
        update_intervals_at: When the intervals of heartbeats are next worked out, s.
        reported_by_leaders: For each data centre with a live leader, the hosts whose
            heartbeats its leaders receive.
        leaderless_since: Since when a data centre has had no leader that this host
            knows, s.
        large_fleet: Whether the fleet has more workers than any of its hosts can lead.
        busy: Share of its processor that this host uses.
        leaving: Whether this host is shutting down.
        outdated: Whether this host leads and has not read the workers for some time.
        workers_digests: Digests of the workers on which this host may have runs.
        oldest_offer_at: Time after which the runs were offered that this host may leave
            as a leader, s; minus infinity if that is not known.
        reports_shards: Whether to report which shards other leaders lead.
        evacuations: The copy of the evacuations that heartbeats carry.
        leading_since_epoch: Epoch since which this host has led continuously; 0 if it
            leads nothing.
    """

    def __init__(self, me: LocalHost, tokens: TokenSource, now: float) -> None:
        self.me = me
        self.tokens = tokens
        self.started_at = now
        self.may_claim_at = now + CLAIM_DELAY_S
        self.registered_known = False
        self.last_tick_at = now
        self.peers: dict[str, Peer] = {}
        self.targets: dict[Address, Target] = {}
        self.claims: dict[str, Claim] = {}
        self.leader_of_shard: dict[str, str] | None = None
        self.last_leader: dict[str, str] = {}
        self.former_leaders: dict[str, FormerLeader] = {}
        self.update_intervals_at = now
        self.reported_by_leaders: dict[str, set[str]] = {}
        self.leaderless_since: dict[str, float] = {}
        self.large_fleet = False
        self.busy = 0.0
        self.leaving = False
        self.outdated = False
        self.workers_digests: tuple[int, ...] = ()
        self.oldest_offer_at = -math.inf
        self.reports_shards = False
        self.evacuations = Evacuations()
        self.leading_since_epoch = 0

    @property
    def live(self) -> dict[str, Beat]:
        """The newest heartbeat of every other live host, by name."""
        return {peer.name: peer.heartbeat for peer in self.peers.values() if peer.live}

    @property
    def leaders(self) -> dict[str, Beat]:
        """The newest heartbeat of every other live host that leads, by name.

        Leaders of other data centres that only the leader of this one receives
        heartbeats from are included, without their claims.
        """
        return self.relayed_leaders() | self.direct_leaders()

    def direct_leaders(self) -> dict[str, Beat]:
        """Return the newest heartbeat of the leaders that are live here, by name.

        What a distant host told some time ago says little about who leads now.
        """
        oldest = self.last_tick_at - _RELAY_LIFETIME_S
        return {
            peer.name: peer.heartbeat
            for peer in self.peers.values()
            if peer.live
            and peer.heartbeat.claims
            and (peer.nearby or peer.received_at >= oldest)
            and self.may_lead(peer.heartbeat)
        }

    def relayed_leaders(self) -> dict[str, Beat]:
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
                workers_digests=digest.workers_digests,
            )
            for digest in self.reported_leaders()
            if digest.name != self.me.name
        }

    def reported_leaders(self) -> list[LeaderDigest]:
        """Return what other leaders report of leaders, the newest reports last.

        The last report of a host that stops to lead holds on until its successor
        reports: the other leaders go on.
        """
        oldest = self.last_tick_at - _RELAY_LIFETIME_S
        reporters = [
            peer
            for peer in self.peers.values()
            if peer.reported_leaders and peer.reported_at >= oldest
        ]
        reporters.sort(key=lambda peer: peer.reported_at)
        return [digest for peer in reporters for digest in peer.reported_leaders]

    def leader(self, shard: str) -> str | None:
        """Return the live host with the newest claim to a shard, or None."""
        if self.leader_of_shard is None:
            self.leader_of_shard = self.find_leaders()
        return self.leader_of_shard.get(shard)

    def find_leaders(self) -> dict[str, str]:
        """Work out the leader of each shard that has one."""
        newest = {
            claim.shard: (claim.epoch, self.me.name) for claim in self.claims.values()
        }
        for name, heartbeat in self.direct_leaders().items():
            for claim in heartbeat.claims:
                claimant = (claim.epoch, name)
                newest[claim.shard] = max(newest.get(claim.shard, claimant), claimant)
        leaders = {shard: name for shard, (_, name) in newest.items()}
        for shard, name in leaders.items():
            if self.last_leader.get(shard) != name:
                self.note_successor(shard, name)
        return leaders

    def note_successor(self, shard: str, name: str) -> None:
        """Note what the former leader of a shard reported last.

        It has taken account of the leaders before it.
        """
        former = self.peers.get(self.last_leader.get(shard, ""))
        if former is not None:
            self.former_leaders[shard] = FormerLeader(
                former.led_at, former.oldest_offer_at
            )
        self.last_leader[shard] = name
        if name == self.me.name:
            # The first heartbeat with the claim precedes the workers' replies.
            reported = self.former_leaders.get(shard, _UNKNOWN_LEADER)
            self.oldest_offer_at = min(self.oldest_offer_at, reported.oldest_offer_at)

    def note_change(self) -> None:
        """Forget what was worked out from the hosts and their claims."""
        self.leader_of_shard = None
        self.update_intervals_at = -math.inf

    def may_lead(self, heartbeat: Beat) -> bool:
        """Return whether another host may lead, given which hosts are leaving.

        A leaving host may lead only if this host is leaving too and has no successor.
        """
        if not heartbeat.leaving:
            return True
        return self.leaving and not self.has_successor()

    def has_successor(self) -> bool:
        """Return whether another live host can lead and is not leaving."""
        return any(
            self.is_present(peer) and peer.heartbeat.able and not peer.heartbeat.leaving
            for peer in self.peers.values()
        )

    def has_live_host(self, centre: str) -> bool:
        """Return whether another host of a data centre is live."""
        return any(
            peer.heartbeat.data_centre == centre and self.is_present(peer)
            for peer in self.peers.values()
        )

    def is_present(self, peer: Peer) -> bool:
        """Return whether a host is live, also in the view of its leaders.

        The silence of a host whose heartbeats are rare shows late. The leaders of its
        data centre notice it sooner. While there is none, a host counts if it has
        sent a heartbeat since the last leader was lost.
        """
        if not peer.live:
            return False
        if self.last_tick_at - peer.received_at <= HOST_TIMEOUT_S:
            return True
        centre = peer.heartbeat.data_centre
        reported = self.reported_by_leaders.get(centre)
        if reported is not None:
            return peer.name in reported
        leaderless_since = self.leaderless_since.get(centre, self.last_tick_at)
        if peer.received_at >= leaderless_since:
            return True
        return self.last_tick_at - leaderless_since <= _PROBE_TIME_S

    def add_addresses(self, now: float, addresses: Iterable[Address]) -> None:
        """Add addresses at which there may be hosts; they get heartbeats."""
        for address in addresses:
            if address != self.me.address and address not in self.targets:
                self.targets[address] = Target(now, now)
