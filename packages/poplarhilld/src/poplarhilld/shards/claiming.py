"""Claims shards that have no leader, and yields shards to other hosts."""

from collections.abc import Iterable, Mapping

from poplarhilld.decisions import LogDecision
from poplarhilld.peers.messages import Claim
from poplarhilld.shards.capacity import (
    can_merge,
    can_relieve,
    has_capacity,
    is_saturated,
    worker_capacity,
)
from poplarhilld.shards.fleet import Fleet
from poplarhilld.shards.messages import (
    LeadershipTaken,
    LeadershipYielded,
    ShardAction,
)
from poplarhilld.shards.partition import ancestors, data_centre
from poplarhilld.shards.peer import Peer

# After a saturated leader has yielded a shard, until that shows in what it measures.
_RELIEF_INTERVAL_S = 4.0
_MERGE_WAIT_S = 3.0  # a host must be live this long before shards move to it
_UNREACHABLE_S = 1.0  # without a worker that responds; then a remote shard is yielded
# For this long after its start a host may not have found all its peers: a lost first
# heartbeat is sent again after 1 s, and a busy host takes 0.6 s.
NEWCOMER_DELAY_S = 1.6
_TAKEOVER_DELAY_S = 2.0  # to claim a remote shard; a host restarts in about a second
# To claim a shard whose workers another host leads as part of another shard. Hosts that
# lead nothing read the list of workers every 2 s, or later if the store is slow.
_SPLIT_WAIT_S = 10.0
# From when a shard lacks a leader until each next candidate of its data centre claims
# it. The one before may read another list of workers, by which it should not lead it.
_CANDIDATE_WAIT_S = 1.0
_DECLINED_S = 30.0  # no shards go to a host that has not taken one


class Claiming:
    """Decides which shards this host leads.

    Args:
        fleet: What this host knows of the fleet.
        now: This host's clock, s.
    """

    def __init__(self, fleet: Fleet, now: float) -> None:
        self._fleet = fleet
        self._takeover_wait_since: dict[str, float] = {}
        # Since when each shard has had no leader while this host might have claimed it.
        self._unclaimed_since: dict[str, float] = {}
        # Until when each host counts as one that does not take shards.
        self._declined_until: dict[str, float] = {}
        self._unreachable_since: dict[str, float] = {}
        self._relief_due_at = now

    def update_claims(
        self,
        now: float,
        time_s: float,
        shards: Mapping[str, int],
        can_lead: bool,
        reachable_since: Mapping[str, float],
    ) -> list[ShardAction]:
        """Claim and yield shards; keep the counts of workers in the claims."""
        actions: list[ShardAction] = []
        for shard in self._fleet.claims.keys() - shards.keys():
            actions += self._yield(shard, "", "the shard has no workers")
        claims_before = dict(self._fleet.claims)
        for shard in sorted(shards):
            parent = _split_from(shard, claims_before, shards)
            if parent is not None and parent.shard in self._fleet.claims:
                actions += self._claim_split_shard(shard, parent, shards[shard])
            if shard in self._fleet.claims:
                self._fleet.claims[shard] = self._fleet.claims[shard]._replace(
                    workers=shards[shard]
                )
                actions += self._review_claim(
                    now, shard, shards, reachable_since.get(shard)
                )
            elif can_lead and self._is_eligible() and now >= self._fleet.may_claim_at:
                actions += self._try_claim(
                    now, time_s, shard, shards, reachable_since.get(shard)
                )
        return actions + self._relieve(now, shards)

    def _claim_split_shard(
        self, shard: str, parent: Claim, workers: int
    ) -> list[ShardAction]:
        """Go on leading the workers of a shard that was split off one led here."""
        if shard in self._fleet.claims:
            return []
        self._fleet.claims[shard] = Claim(shard, parent.epoch, workers)
        self._fleet.note_change()
        taken = LeadershipTaken(
            shard, parent.epoch, "split off a shard led here", len(self._fleet.live) + 1
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
        if self._fleet.leaving and self._fleet.has_successor():
            return self._yield(shard, "", "this host is shutting down")
        leader = self._fleet.leader(shard)
        if leader != self._fleet.me.name:
            return self._yield(shard, leader or "", "that host has a newer claim")
        if reachable_since is None:
            since = self._unreachable_since.setdefault(shard, now)
            # The data centre may be cut off, and one of its hosts may lead by now.
            centre = data_centre(shard)
            remote = (
                centre != self._fleet.me.data_centre
                and not self._fleet.has_live_host(centre)
            )
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
        if not self._fleet.large_fleet or centre == self._fleet.me.data_centre:
            return False
        return any(
            peer.heartbeat.data_centre == centre
            and self._fleet.is_present(peer)
            and peer.heartbeat.able
            and not peer.heartbeat.leaving
            and now - peer.live_since > _MERGE_WAIT_S
            for peer in self._fleet.peers.values()
        )

    def _merge_target(self, now: float) -> str | None:
        """Return the leader that should take over all shards of this host, or None.

        In a fleet that is too large for one leader, only leaders of one data centre
        merge, so that a partition between data centres separates no worker from its
        leader.
        """
        own_workers = sum(claim.workers for claim in self._fleet.claims.values())
        own_rank = (own_workers, self._fleet.me.name)
        for peer in self._fleet.peers.values():
            if not peer.live or peer.heartbeat.leaving or not peer.heartbeat.able:
                continue
            if now < self._declined_until.get(peer.name, now):
                continue
            if (
                self._fleet.large_fleet
                and peer.heartbeat.data_centre != self._fleet.me.data_centre
            ):
                continue
            workers = sum(claim.workers for claim in peer.heartbeat.claims)
            cores, busy = peer.heartbeat.weight, peer.heartbeat.load.busy
            if (
                not workers
                or own_workers + workers > worker_capacity(cores)
                or not can_merge(cores, busy, self._fleet.busy * self._fleet.me.cores)
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
        if self._fleet.leader(shard) is not None:
            self._takeover_wait_since.pop(shard, None)
            self._unclaimed_since.pop(shard, None)
            return []
        if (
            now < self._fleet.started_at + NEWCOMER_DELAY_S
            and self._older_hosts_report_peer_not_live_here()
        ):
            return []  # that peer may lead it
        if self._is_led_within_another_shard(shard, shards):
            since = self._takeover_wait_since.setdefault(shard, now)
            if now - since < _SPLIT_WAIT_S:
                return []
        centre = data_centre(shard)
        reason = "it has no leader"
        remote = centre != self._fleet.me.data_centre
        if remote and centre not in self._fleet.leaderless_since:
            return []  # other leaders report one of that data centre
        if remote and self._data_centre_reports_peer_not_live_here(centre):
            return []  # that peer may lead it
        if remote and not self._fleet.has_live_host(centre):
            since = self._takeover_wait_since.setdefault(shard, now)
            if now - since < _TAKEOVER_DELAY_S:
                return []
            if reachable_since is None or now - reachable_since < _TAKEOVER_DELAY_S:
                return []
            reason = "its data centre has no live host"
        candidates = self._candidates(now, shard, shards)
        if self._fleet.me.name not in candidates:
            return []
        before = candidates[: candidates.index(self._fleet.me.name)]
        unclaimed_since = self._unclaimed_since.setdefault(shard, now)
        if now - unclaimed_since < len(before) * _CANDIDATE_WAIT_S or (
            remote and before
        ):
            return []
        if remote and self._fleet.large_fleet and self._fleet.has_live_host(centre):
            # The hosts there are starting or leaving. They get time before a host of
            # another data centre has to lead their workers.
            since = self._takeover_wait_since.setdefault(shard, now)
            if now - since < _TAKEOVER_DELAY_S:
                return []
        self._takeover_wait_since.pop(shard, None)
        del self._unclaimed_since[shard]
        self._declined_until.update(dict.fromkeys(before, now + _DECLINED_S))
        epoch = self._fleet.tokens.next(time_s)
        self._fleet.leading_since_epoch = self._fleet.leading_since_epoch or epoch
        self._fleet.claims[shard] = Claim(shard, epoch, shards[shard])
        self._fleet.note_successor(shard, self._fleet.me.name)
        self._fleet.note_change()
        taken = LeadershipTaken(shard, epoch, reason, len(self._fleet.live) + 1)
        return [LogDecision(taken)]

    def _relieve(self, now: float, shards: Mapping[str, int]) -> list[ShardAction]:
        """Yield a shard if this host is saturated and a neighbour can lead it."""
        if (
            not is_saturated(self._fleet.busy)
            or len(self._fleet.claims) < 2
            or now < self._relief_due_at
        ):
            return []
        own_workers = sum(claim.workers for claim in self._fleet.claims.values())
        shard = max(
            self._fleet.claims,
            key=lambda name: (self._fleet.claims[name].workers, name),
        )
        workers = self._fleet.claims[shard].workers
        added_cores = (
            self._fleet.busy * self._fleet.me.cores * workers / max(1, own_workers)
        )
        candidates = self._candidates(now, shard, shards)
        peer = self._fleet.peers.get(candidates[0]) if candidates else None
        if (
            peer is None
            or peer.heartbeat.data_centre != self._fleet.me.data_centre
            or now - peer.live_since < _MERGE_WAIT_S
            or not can_relieve(
                peer.heartbeat.weight, peer.heartbeat.load.busy, added_cores
            )
        ):
            return []
        self._relief_due_at = now + _RELIEF_INTERVAL_S
        reason = "this host is saturated and that host has processor time"
        return self._yield(shard, peer.name, reason)

    def _is_led_within_another_shard(
        self, shard: str, shards: Mapping[str, int]
    ) -> bool:
        """Return whether another host leads the workers of a shard as part of another.

        Either that host has not read yet that the shard was split off, or this host
        has not read yet that it was merged again.
        """
        return any(
            _split_from(shard, {claim.shard: claim for claim in beat.claims}, shards)
            for beat in self._fleet.leaders.values()
        )

    def _candidates(
        self, now: float, shard: str, shards: Mapping[str, int]
    ) -> list[str]:
        """Return the hosts that may lead a shard that has no leader, the best first.

        A leader places tasks best when it sees all workers, so one host leads as many
        shards as its capacity allows: all shards of a small fleet, or the shards of
        its data centre in a fleet that is too large for one leader.

        Args:
            now: This host's clock, s.
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
            for peer in self._fleet.peers.values()
            if peer.heartbeat.able
            and self._fleet.is_present(peer)
            and self._fleet.may_lead(peer.heartbeat)
            and now >= self._declined_until.get(peer.name, now)
        ]
        own = tuple(self._fleet.claims.values())
        me = self._fleet.me
        candidates.append((me.name, me.data_centre, me.cores, self._fleet.busy, own))
        for name, host_centre, cores, busy, claims in candidates:
            if (
                self._fleet.large_fleet
                and host_centre != centre
                and not claims
                and any(data_centre(other) == host_centre for other in shards)
            ):
                continue  # only leaders know which data centres have no leader
            led_workers = sum(claim.workers for claim in claims)
            fits = has_capacity(cores, busy, led_workers, workers)
            load_preference = led_workers if fits else -led_workers
            remote = self._fleet.large_fleet and host_centre != centre
            ranked.append((remote, -load_preference, -cores, name))
        return [row[-1] for row in sorted(ranked)]

    def _is_eligible(self) -> bool:
        """Return whether this host may lead: it stays, or it has no successor."""
        return not self._fleet.leaving or not self._fleet.has_successor()

    def _data_centre_reports_peer_not_live_here(self, centre: str) -> bool:
        """Return whether a live host there reports a peer that is not live here."""
        return self._report_peer_not_live_here(
            peer
            for peer in self._fleet.peers.values()
            if peer.heartbeat.data_centre == centre
        )

    def _older_hosts_report_peer_not_live_here(self) -> bool:
        """Return whether an older live host reports a peer that is not live here.

        Hosts that start together with this one, as after a power loss, do not count,
        because they have no leader either.
        """
        before = self._fleet.me.incarnation - 1000 * NEWCOMER_DELAY_S
        return self._report_peer_not_live_here(
            peer
            for peer in self._fleet.peers.values()
            if peer.heartbeat.incarnation < before
        )

    def _report_peer_not_live_here(self, peers: Iterable[Peer]) -> bool:
        """Return whether a live one of the peers reports a host that is not live here.

        That is a host whose heartbeats the peer receives, but which is not live in
        the view of this host.
        """
        known = {peer.name for peer in self._fleet.peers.values() if peer.live}
        known.add(self._fleet.me.name)
        return any(
            self._fleet.is_present(peer) and not known.issuperset(peer.heartbeat.heard)
            for peer in peers
        )

    def _yield(self, shard: str, to: str, reason: str) -> list[ShardAction]:
        claim = self._fleet.claims.pop(shard)
        self._fleet.note_change()
        return [LogDecision(LeadershipYielded(shard, claim.epoch, to, reason))]


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
