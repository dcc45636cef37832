"""When a host in a settled fleet next has to send a heartbeat or lose a host."""

import math
from collections.abc import Iterable

from poplarhilld.shards.intervals import TIMEOUT_HEARTBEATS
from poplarhilld.shards.peer import Peer, Target


def next_due_at(peers: Iterable[Peer], targets: Iterable[Target]) -> float:
    """Return when the next heartbeat or timeout is due, by the host's clock, s.

    After a host was lost, something is due at once for some time.
    """
    due_at = math.inf
    for target in targets:
        if target.next_heartbeat_at < due_at:
            due_at = target.next_heartbeat_at
    for peer in peers:
        if peer.lost_at is not None:
            return -math.inf
        if peer.live:
            heard_at = max(peer.received_at, peer.shortened_at)
            due_at = min(due_at, heard_at + TIMEOUT_HEARTBEATS * peer.interval_s)
    return due_at
