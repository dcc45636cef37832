"""What a host knows of another host and of the addresses that it sends to."""

import math
from dataclasses import dataclass

from poplarhilld.peers.messages import Beat, LeaderDigest
from poplarhilld.shards.intervals import (
    HEARTBEAT_INTERVAL_S,
    TIMEOUT_HEARTBEATS,
    Relation,
)


@dataclass
class Peer:
    """Another host.

    Attributes:
        name: Name of the host.
        heartbeat: Its newest heartbeat.
        received_at: When that was received, s.
        led_at: When a heartbeat was received in which it claims a shard, s, from this
            process or an earlier one.
        led_tenure: Tenure in that heartbeat; 0 if there was none.
        oldest_offer_at: Time after which the runs were offered that it may leave, as it
            reported then, s; minus infinity if that is not known.
        reported_leaders: What it reported of other leaders while it led last.
        reported_at: When it reported that, s.
        live: Whether heartbeats pass in both directions.
        live_since: When it last became live, s.
        lost_at: When it was last lost, s; None once it is live again or some time has
            passed.
        given_up: Whether its address has refused a connection since it was live.
        interval_s: Interval at which its heartbeats are expected, s.
        send_interval_s: Interval of the heartbeats to it, s.
        relation: What it is to this host.
        shortened_at: When that interval last became shorter, s. The heartbeat before
            that may be older than the new timeout.
    """

    name: str
    heartbeat: Beat
    received_at: float
    led_at: float = -math.inf
    led_tenure: int = 0
    oldest_offer_at: float = -math.inf
    live: bool = False
    live_since: float = 0.0
    lost_at: float | None = None
    given_up: bool = False
    interval_s: float = HEARTBEAT_INTERVAL_S
    send_interval_s: float = HEARTBEAT_INTERVAL_S
    relation: Relation = Relation.CLOSE
    shortened_at: float = 0.0
    reported_leaders: tuple[LeaderDigest, ...] = ()
    reported_at: float = -math.inf

    @property
    def nearby(self) -> bool:
        """Whether heartbeats to it list nearby hosts only."""
        return self.relation is not Relation.FAR

    def note_leading(self, now: float, age_s: float | None) -> None:
        """Note what its newest heartbeat, in which it claims a shard, says.

        Args:
            now: This host's clock, s.
            age_s: How long that was under way, s; `None` if it is not known.
        """
        beat = self.heartbeat
        self.led_at, self.led_tenure = now, beat.tenure
        self.oldest_offer_at = -math.inf
        if beat.oldest_offer_at_s and age_s is not None:
            offer_age_s = beat.sent_at_s - beat.oldest_offer_at_s
            self.oldest_offer_at = now - age_s - offer_age_s
        self.reported_leaders, self.reported_at = beat.leaders, now

    def is_recent(self, now: float) -> bool:
        """Return whether its last heartbeat is not older than the timeout."""
        since = max(self.received_at, self.shortened_at)
        return now - since <= TIMEOUT_HEARTBEATS * self.interval_s


@dataclass
class Target:
    """An address to which heartbeats are sent.

    Attributes:
        next_heartbeat_at: When the next heartbeat is due, s.
        last_responsive_at: When a heartbeat was last sent while the host there was
            responding, or when the address was added, s.
        sent: Count of heartbeats sent.
    """

    next_heartbeat_at: float = 0.0
    last_responsive_at: float = 0.0
    sent: int = 0
