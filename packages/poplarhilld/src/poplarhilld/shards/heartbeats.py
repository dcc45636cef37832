"""Builds the heartbeats that are due."""

from poplarhill.types import Address
from poplarhilld.peers.messages import Beat, LeaderDigest, Load
from poplarhilld.shards.fleet import Fleet
from poplarhilld.shards.forms import HeartbeatForms
from poplarhilld.shards.intervals import (
    SMALL_FLEET_HOSTS,
)
from poplarhilld.shards.messages import (
    SendHeartbeat,
    ShardAction,
)
from poplarhilld.shards.partition import data_centre

_RETRY_INTERVAL_S = 1.0  # between heartbeats to an address that does not respond
_FORGET_ADDRESS_S = 60.0  # without a response; a replaced host gets another address
# Every tenth heartbeat to an address lists the addresses of the hosts in `heard`.
_HEARTBEATS_PER_FULL = 10
# Shards that leaders report of each other, about 8 bytes each. Control traffic may take
# 7 KB/s of a host; in larger fleets receivers go by the data centres.
_MAX_REPORTED_SHARDS = 64


class Heartbeats:
    """Builds the heartbeats of this host.

    Args:
        fleet: What this host knows of the fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._last_heartbeats: dict[tuple[str, bool], Beat] = {}

    def due_heartbeats(
        self, now: float, can_lead: bool, load: Load, version: int, at_once: set[str]
    ) -> list[ShardAction]:
        """Return the heartbeats that are due, and those to peers named in `at_once`."""
        if not at_once and all(
            now < target.next_heartbeat_at for target in self._fleet.targets.values()
        ):
            return []
        recent = [peer for peer in self._fleet.peers.values() if peer.is_recent(now)]
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
        for address, target in list(self._fleet.targets.items()):
            peer = recent_by_address.get(address)
            if peer is None and now - target.last_responsive_at > _FORGET_ADDRESS_S:
                del self._fleet.targets[address]
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
        sent_at_s = oldest_offer_at_s = 0.0
        if self._fleet.claims:
            sent_at_s = self._fleet.last_tick_at
            oldest_offer_at_s = max(0.0, min(sent_at_s, self._fleet.oldest_offer_at))
        return Beat(
            *self._fleet.me.address,
            self._fleet.me.data_centre,
            self._fleet.me.incarnation,
            self._fleet.me.cores,
            can_lead,
            self._fleet.leaving,
            (),
            tuple(self._fleet.claims.values()),
            (),
            version,
            self._fleet.leading_since_epoch,
            load,
            outdated=self._fleet.outdated,
            evacuations=self._fleet.evacuations.in_force,
            evacuations_end=self._fleet.evacuations.end,
            workers_digests=self._fleet.workers_digests,
            sent_at_s=sent_at_s,
            oldest_offer_at_s=oldest_offer_at_s,
        )

    def _leader_digests(self) -> tuple[LeaderDigest, ...]:
        """Return what a leader of a large fleet reports of the other leaders."""
        if not self._fleet.claims or len(self._fleet.peers) < SMALL_FLEET_HOSTS:
            return ()
        leaders = self._fleet.direct_leaders()
        shards = sum(len(heartbeat.claims) for heartbeat in leaders.values())
        with_shards = self._fleet.reports_shards and shards <= _MAX_REPORTED_SHARDS
        return tuple(
            LeaderDigest(
                name,
                heartbeat.host,
                heartbeat.port,
                heartbeat.data_centre,
                tuple(sorted({data_centre(claim.shard) for claim in heartbeat.claims})),
                heartbeat.tenure,
                heartbeat.load,
                tuple(claim.shard for claim in heartbeat.claims) if with_shards else (),
                heartbeat.workers_digests,
            )
            for name, heartbeat in leaders.items()
        )
