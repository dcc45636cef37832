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
from collections.abc import Collection, Iterable, Mapping
from functools import lru_cache

from poplarhill.types import Address
from poplarhilld.decisions import LogDecision
from poplarhilld.evacuation.messages import Evacuations
from poplarhilld.leases import TokenSource
from poplarhilld.peers.messages import Beat, Claim, LeaderDigest, Load
from poplarhilld.shards.capacity import (
    worker_capacity,
)
from poplarhilld.shards.claiming import NEWCOMER_DELAY_S, Claiming
from poplarhilld.shards.fleet import CLAIM_DELAY_S, Fleet, FormerLeader, LocalHost
from poplarhilld.shards.heartbeats import Heartbeats
from poplarhilld.shards.intervals import (
    HEARTBEAT_INTERVAL_S,
    HOST_TIMEOUT_S,
    UNSETTLED_S,
)
from poplarhilld.shards.liveness import Liveness
from poplarhilld.shards.messages import (
    AnswerNewPeer,
    HeartbeatIgnored,
    HostFound,
    HostLost,
    ShardAction,
)
from poplarhilld.shards.partition import data_centre
from poplarhilld.shards.peer import Peer
from poplarhilld.shards.schedule import next_due_at

# The same once the addresses of all hosts are known: each answers the first heartbeat.
_ANSWER_DELAY_S = 0.15
_ADDRESS_LISTS_KEPT = 128  # peers list the same addresses in heartbeat after heartbeat
_MAX_REASON_CHARS = 120  # of a peer's invalid input that a log line repeats
_PAUSE_THRESHOLD_S = 0.45  # a tick late by three heartbeats: the process was paused


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
        self._fleet = Fleet(me, tokens, now)
        self._liveness = Liveness(self._fleet)
        self._claiming = Claiming(self._fleet, now)
        self._heartbeats = Heartbeats(self._fleet)
        # Whether a data centre with workers has no leader.
        self._lacks_leader = True
        self.add_addresses(now, seeds)

    @property
    def live(self) -> dict[str, Beat]:
        """The newest heartbeat of every other live host, by name."""
        return self._fleet.live

    @property
    def leaders(self) -> dict[str, Beat]:
        """The newest heartbeat of every other live host that leads, by name.

        Leaders of other data centres that only the leader of this one receives
        heartbeats from are included, without their claims.
        """
        return self._fleet.leaders

    @property
    def relayed_digests(self) -> dict[str, LeaderDigest]:
        """What other leaders report of leaders, by name."""
        return {digest.name: digest for digest in self._fleet.reported_leaders()}

    @property
    def outdated(self) -> bool:
        """Whether this host leads and has not read the workers for some time."""
        return self._fleet.outdated

    @property
    def claims(self) -> Mapping[str, Claim]:
        """Claims of the shards that this host leads, by shard."""
        return self._fleet.claims

    @property
    def former_leaders(self) -> Mapping[str, FormerLeader]:
        """The leader before the last one of each shard that has had two.

        The leader of a claimed shard is this host.
        """
        return self._fleet.former_leaders

    @property
    def leading_since_epoch(self) -> int:
        """Epoch since which this host has led continuously; 0 if it leads nothing.

        Heartbeats carry it as `tenure`.
        """
        return self._fleet.leading_since_epoch

    def add_addresses(self, now: float, addresses: Iterable[Address]) -> None:
        """Add addresses at which there may be hosts; they get heartbeats."""
        self._fleet.add_addresses(now, addresses)

    def leader(self, shard: str) -> str | None:
        """Return the live host with the newest claim to a shard, or None."""
        return self._fleet.leader(shard)

    def has_reported_all(self, name: str, tenure: int) -> bool:
        """Return whether all reports of a host that has led have arrived here.

        It has told since that it leads nothing, has restarted, or its process has
        ended. A host that is only silent may go on as a leader. If this host knows of
        that tenure from other leaders alone, its newest heartbeat may be from before.

        Args:
            name: Name of the host.
            tenure: Epoch since which it has led without a break.
        """
        if name == self._fleet.me.name:
            return True
        peer = self._fleet.peers.get(name)
        if peer is None or peer.given_up:
            return peer is not None
        return not peer.heartbeat.claims and peer.led_tenure >= tenure

    def address(self, name: str) -> Address | None:
        """Return the address of a host, or None if the host is unknown."""
        peer = self._fleet.peers.get(name)
        heartbeat = peer.heartbeat if peer else self._fleet.relayed_leaders().get(name)
        return Address(heartbeat.host, heartbeat.port) if heartbeat else None

    def set_registered_addresses(
        self, now: float, addresses: Iterable[Address]
    ) -> None:
        """Add the addresses of all hosts that are registered in the store."""
        self._fleet.add_addresses(now, addresses)
        if (
            not self._fleet.registered_known
            and now < self._fleet.started_at + CLAIM_DELAY_S
        ):
            self._fleet.may_claim_at = min(
                self._fleet.may_claim_at, now + _ANSWER_DELAY_S
            )
        self._fleet.registered_known = True

    def shards_to_watch(self, shards: Collection[str]) -> set[str]:
        """Return the shards without a leader that this host may have to claim.

        These are shards of other data centres, whose workers must have responded for
        a while first. In a large fleet only leaders claim such shards.
        """
        leads_or_has_none = self._fleet.claims or not any(
            data_centre(shard) == self._fleet.me.data_centre for shard in shards
        )
        if self._fleet.large_fleet and not leads_or_has_none:
            return set()
        return {
            shard
            for shard in shards
            if data_centre(shard) in self._fleet.leaderless_since
            and data_centre(shard) != self._fleet.me.data_centre
            and self._fleet.leader(shard) is None
        }

    def heartbeat_received(
        self, now: float, name: str, heartbeat: Beat, age_s: float | None = 0.0
    ) -> list[ShardAction]:
        """Update the sender's state from its heartbeat.

        Args:
            now: This host's clock, s.
            name: Name of the sender.
            heartbeat: The heartbeat.
            age_s: How long it was under way, s; `None` if it is not known.
        """
        if name == self._fleet.me.name:
            return []
        try:
            known_addresses = _parse_addresses(heartbeat.known)
        except ValueError as error:
            return [LogDecision(HeartbeatIgnored(name, str(error)[:_MAX_REASON_CHARS]))]
        peer = self._fleet.peers.get(name)
        if peer is not None and self._liveness.is_stale(now, peer, heartbeat):
            return []
        actions: list[ShardAction] = []
        found_now = peer is None or peer.heartbeat.incarnation != heartbeat.incarnation
        if found_now:
            if peer is not None and peer.live:
                actions += self._liveness.mark_lost(now, peer, "it has restarted")
            if peer is not None:
                lost_s = 0.0 if peer.lost_at is None else round(now - peer.lost_at, 3)
                actions.append(HostLost(name, "it has restarted", lost_s))
            former, peer = peer, Peer(name, heartbeat, now)
            if former is not None:
                peer.led_at, peer.led_tenure = former.led_at, former.led_tenure
                peer.oldest_offer_at = former.oldest_offer_at
            self._fleet.peers[name] = peer
            self._fleet.note_change()
            known = self._fleet.targets.get(Address(heartbeat.host, heartbeat.port))
            if (
                known is not None
                and heartbeat.data_centre == self._fleet.me.data_centre
            ):
                known.sent = 0  # the next heartbeat lists all addresses
            actions.append(AnswerNewPeer(Address(heartbeat.host, heartbeat.port)))
        if _leadership_of(heartbeat) != _leadership_of(peer.heartbeat):
            self._fleet.note_change()
        peer.heartbeat, peer.received_at = heartbeat, now
        if heartbeat.claims:
            peer.note_leading(now, age_s)
        address = Address(heartbeat.host, heartbeat.port)
        self._fleet.add_addresses(now, [address])
        target = self._fleet.targets[address]
        # A new peer waits for this reply to find this host.
        delay_s = 0.0 if found_now else peer.send_interval_s
        target.next_heartbeat_at = min(target.next_heartbeat_at, now + delay_s)
        self._fleet.add_addresses(now, known_addresses)
        if not peer.live and self._fleet.me.name in heartbeat.heard:
            peer.live, peer.live_since, peer.lost_at = True, now, None
            peer.given_up = False
            self._fleet.note_change()
            found = HostFound(
                name,
                f"{heartbeat.host}:{heartbeat.port}",
                heartbeat.data_centre,
                heartbeat.incarnation,
            )
            actions.append(LogDecision(found))
        elif peer.live and self._fleet.me.name not in heartbeat.heard:
            actions += self._liveness.mark_lost(
                now, peer, "it does not receive heartbeats from this host"
            )
        return actions

    def send_heartbeat(self, now: float, name: str) -> None:
        """Let the next tick send a heartbeat to a host."""
        peer = self._fleet.peers.get(name)
        if peer is not None:
            address = Address(peer.heartbeat.host, peer.heartbeat.port)
            self._fleet.add_addresses(now, [address])
            self._fleet.targets[address].next_heartbeat_at = now

    def connection_refused(self, now: float, address: Address) -> list[ShardAction]:
        """Mark the host at an address that refuses connections as no longer live."""
        actions: list[ShardAction] = []
        for peer in self._fleet.peers.values():
            if (peer.heartbeat.host, peer.heartbeat.port) != address:
                continue
            if peer.live:
                actions += self._liveness.mark_lost(
                    now, peer, "its address refuses connections"
                )
            if not peer.given_up:
                peer.given_up = True
                lost_s = round(now - (peer.lost_at or peer.received_at), 3)
                reason = "its address refuses connections"
                actions.append(HostLost(peer.name, reason, lost_s))
        return actions

    def set_outdated(self, outdated: bool) -> None:
        """Set whether this host leads and has not read the workers for some time."""
        self._fleet.outdated = outdated

    def set_workers_digests(self, digests: tuple[int, ...]) -> None:
        """Set the digests of the workers on which this host may have runs."""
        self._fleet.workers_digests = digests

    def set_oldest_offer(self, sent_at: float) -> None:
        """Set the time after which the runs were offered that it may leave, s."""
        self._fleet.oldest_offer_at = sent_at

    def set_reports_shards(self, reports_shards: bool) -> None:
        """Set whether to report to nearby hosts which shards other leaders lead."""
        self._fleet.reports_shards = reports_shards

    def set_evacuations(self, copy: Evacuations) -> None:
        """Set the copy of the evacuations that heartbeats carry."""
        self._fleet.evacuations = copy

    def leave(self) -> None:
        """Start to shut down: claim shards only if no other host can lead them."""
        self._fleet.leaving = True
        self._fleet.note_change()

    @property
    def changed(self) -> bool:
        """Whether a host or a claim has changed since leaders were worked out."""
        return self._fleet.leader_of_shard is None

    def next_tick_at(self, now: float) -> float:
        """Return when `tick` next has something to do, s, if no message arrives before.

        That is at once while this host leads, starts or leaves, while a data centre
        with workers has no leader, and after a change of a host or a claim. The time is
        at most one interval of the heartbeats ahead, because intervals depend on time
        as well.
        """
        ready_at = max(
            self._fleet.may_claim_at, self._fleet.started_at + NEWCOMER_DELAY_S
        )
        unsettled = self._fleet.claims or self._fleet.leaving or self._lacks_leader
        if unsettled or self.changed or now < ready_at:
            return now
        due_at = next_due_at(self._fleet.peers.values(), self._fleet.targets.values())
        return max(now, min(due_at, self._fleet.last_tick_at + HEARTBEAT_INTERVAL_S))

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
        if now - self._fleet.last_tick_at > _PAUSE_THRESHOLD_S:
            # This process was paused. The other hosts have lost it, and it has to find
            # them again before it can tell that a shard has no leader.
            self._fleet.may_claim_at = max(
                self._fleet.may_claim_at, now + HOST_TIMEOUT_S
            )
        self._fleet.last_tick_at = now
        self._fleet.busy = load.busy
        self._fleet.large_fleet = sum(shards.values()) > self._largest_capacity()
        self._liveness.update_intervals(now)
        for peer in list(self._fleet.peers.values()):
            if peer.live and not peer.is_recent(now):
                actions += self._liveness.mark_lost(now, peer, "silent")
        self._liveness.update_reports()
        for peer in self._fleet.peers.values():
            if peer.lost_at is not None and now - peer.lost_at > UNSETTLED_S:
                peer.lost_at = None
        for peer in list(self._fleet.peers.values()):
            if self._liveness.is_reported_gone(now, peer):
                reason = "the leader of its data centre receives no heartbeats from it"
                actions += self._liveness.mark_lost(now, peer, reason)
                peer.received_at = -math.inf
        at_once: set[str] = set()
        if actions and self._fleet.claims:
            # A host was lost, which the other leaders report.
            at_once.update(self._fleet.direct_leaders())
        nearby = {peer.name for peer in self._fleet.peers.values() if peer.nearby}
        changed = self._claiming.update_claims(
            now, time_s, shards, can_lead, reachable_since
        )
        if not self._fleet.claims:
            self._fleet.leading_since_epoch = 0
        actions += changed
        if changed:
            self._liveness.update_intervals(now)
            at_once |= nearby
            at_once.update(
                peer.name for peer in self._fleet.peers.values() if peer.nearby
            )
        self._lacks_leader = any(
            data_centre(shard) in self._fleet.leaderless_since for shard in shards
        )
        actions += self._heartbeats.due_heartbeats(
            now, can_lead, load, version, at_once
        )
        return actions

    def _largest_capacity(self) -> int:
        """Return how many workers the largest known host can lead."""
        cores = [
            peer.heartbeat.weight for peer in self._fleet.peers.values() if peer.live
        ]
        return worker_capacity(max([self._fleet.me.cores, *cores]))


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
