"""Decides which hosts are live and how often they exchange heartbeats."""

from collections import Counter

from poplarhill.types import Address
from poplarhilld.decisions import LogDecision
from poplarhilld.peers.messages import Beat
from poplarhilld.shards.fleet import Fleet
from poplarhilld.shards.intervals import (
    HEARTBEAT_INTERVAL_S,
    HOST_TIMEOUT_S,
    SMALL_FLEET_HOSTS,
    Relation,
    interval_s,
)
from poplarhilld.shards.messages import (
    HostGone,
    ShardAction,
)
from poplarhilld.shards.partition import data_centre
from poplarhilld.shards.peer import Peer

# A host that has just been found is known to its leader a second later.
_REPORT_DELAY_S = 2.0
_INTERVALS_LIFETIME_S = 0.3  # hosts that settle may send often for that much longer


class Liveness:
    """Notices lost hosts and works out the intervals of heartbeats.

    Args:
        fleet: What this host knows of the fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def is_reported_gone(self, now: float, peer: Peer) -> bool:
        """Return whether the leaders of a live host's data centre have lost it."""
        reported = self._fleet.reported_by_leaders.get(peer.heartbeat.data_centre)
        return (
            peer.live
            and reported is not None
            and peer.name not in reported
            and now - peer.received_at > HOST_TIMEOUT_S
            and now - peer.live_since > _REPORT_DELAY_S
        )

    def update_reports(self) -> None:
        """Note which hosts the leaders of each data centre receive heartbeats from."""
        self._fleet.reported_by_leaders = {}
        for name, heartbeat in self._fleet.direct_leaders().items():
            if not heartbeat.nearby:
                continue  # it names only hosts of this data centre
            for centre in {data_centre(claim.shard) for claim in heartbeat.claims}:
                reported = self._fleet.reported_by_leaders.setdefault(centre, {name})
                reported.update(heartbeat.heard)

    def _update_leaderless(self, now: float) -> None:
        """Note since when each data centre has had no leader."""
        led = self._led_data_centres()
        centres = {peer.heartbeat.data_centre for peer in self._fleet.peers.values()}
        centres.add(self._fleet.me.data_centre)
        for centre in centres - led:
            self._fleet.leaderless_since.setdefault(centre, now)
        for centre in led:
            self._fleet.leaderless_since.pop(centre, None)

    def _led_data_centres(self) -> set[str]:
        """Return the data centres of which a shard has a leader here."""
        if self._fleet.leader_of_shard is None:
            self._fleet.leader_of_shard = self._fleet.find_leaders()
        led = {data_centre(shard) for shard in self._fleet.leader_of_shard}
        for digest in self._fleet.reported_leaders():
            led.update(
                centre
                for centre in digest.led_data_centres
                if centre != self._fleet.me.data_centre
            )
        return led

    def _relation(self, peer: Peer) -> Relation:
        """Return what a peer is to this host."""
        own_centre, centre = self._fleet.me.data_centre, peer.heartbeat.data_centre
        claims = peer.heartbeat.claims
        leaderless = self._fleet.leaderless_since
        if (
            any(data_centre(shard) == centre for shard in self._fleet.claims)
            or any(data_centre(claim.shard) == own_centre for claim in claims)
            or (self._fleet.claims and centre in leaderless)
            or (claims and own_centre in leaderless)
        ):
            return Relation.CLOSE
        if self._fleet.claims and claims:
            return Relation.LEADERS
        if own_centre == centre:
            both_probe = own_centre in leaderless
            return Relation.CLOSE if both_probe else Relation.NEIGHBOURS
        if (
            not self._fleet.large_fleet
            and own_centre in leaderless
            and centre in leaderless
        ):
            return Relation.CLOSE  # any of them may lead all workers
        return Relation.FAR

    def update_intervals(self, now: float) -> None:
        """Work out how often this host and each peer send each other heartbeats."""
        if now < self._fleet.update_intervals_at:
            return
        self._fleet.update_intervals_at = now + _INTERVALS_LIFETIME_S
        self._update_leaderless(now)
        small = len(self._fleet.peers) < SMALL_FLEET_HOSTS
        if self._update_relations(small):
            # Leaders that are nearby now count, and those that are distant do not.
            self._fleet.leader_of_shard = None
            self._update_leaderless(now)
            self._update_relations(small)
        counts = Counter(peer.relation for peer in self._fleet.peers.values())
        neighbours = sum(
            peer.heartbeat.data_centre == self._fleet.me.data_centre
            for peer in self._fleet.peers.values()
        )
        for peer in self._fleet.peers.values():
            expected_s = peer.send_interval_s = HEARTBEAT_INTERVAL_S
            if not small:
                send_count = expected_count = counts[peer.relation]
                if peer.relation is Relation.CLOSE:
                    # Only what the hosts of a data centre send to a leader adds up.
                    peer_leads = bool(peer.heartbeat.claims)
                    expected_count = (
                        send_count if self._fleet.claims and not peer_leads else 1
                    )
                    send_count = (
                        neighbours if peer_leads and not self._fleet.claims else 1
                    )
                live_s = now - peer.live_since if peer.live else 0.0
                expected_s = interval_s(peer.relation, expected_count, live_s)
                peer.send_interval_s = interval_s(peer.relation, send_count, live_s)
            if expected_s < peer.interval_s:
                peer.shortened_at = now
            peer.interval_s = expected_s

    def _update_relations(self, small: bool) -> bool:
        """Work out what each peer is to this host; return whether one has changed."""
        changed = False
        for peer in self._fleet.peers.values():
            relation = Relation.CLOSE if small else self._relation(peer)
            changed = changed or relation is not peer.relation
            peer.relation = relation
        return changed

    def is_stale(self, now: float, peer: Peer, heartbeat: Beat) -> bool:
        """Return whether a heartbeat was sent before its sender restarted.

        A lower incarnation counts as a restart once the timeout has passed, because
        the host's time of day may have been set back.
        """
        older = heartbeat.incarnation < peer.heartbeat.incarnation
        return older and peer.is_recent(now)

    def mark_lost(self, now: float, peer: Peer, reason: str) -> list[ShardAction]:
        """Mark a host as no longer live."""
        peer.live = False
        self._fleet.note_change()
        address = Address(peer.heartbeat.host, peer.heartbeat.port)
        target = self._fleet.targets.get(address)
        if target is not None:
            # It may be there still, and the next rare heartbeat may be a minute away.
            target.next_heartbeat_at = min(
                target.next_heartbeat_at, now + HEARTBEAT_INTERVAL_S
            )
        peer.lost_at = now
        gone = HostGone(peer.name, reason, round(now - peer.received_at, 3))
        return [LogDecision(gone)]
