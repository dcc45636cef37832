"""Intervals of the heartbeats between two hosts.

In a large fleet most pairs of hosts need each other rarely: the hosts of a data centre
watch its leaders and are watched by them, and the leaders of all data centres watch
each other. What a host receives from all other pairs together has a fixed rate, so that
it does not grow with the fleet.
"""

from enum import Enum, auto

HEARTBEAT_INTERVAL_S = 0.15  # a quarter of the timeout
HOST_TIMEOUT_S = 0.6  # four heartbeats; below half of the time until callers retry
# After the loss of a host, others may be lost with it, or may claim what it led.
UNSETTLED_S = 1.5
TIMEOUT_HEARTBEATS = 4  # a host is lost after this many intervals of silence
# While fewer other hosts than this are known, all hosts use the short interval.
SMALL_FLEET_HOSTS = 12
_FIRST_INTERVAL_S = 0.5  # until two hosts have found each other
_SETTLED_S = 3.0  # a neighbour must be live this long before heartbeats become rare
_RARE_INTERVAL_S = 1.8
_FAR_INTERVAL_S = 3.0
# Heartbeats a second that a host receives from all hosts of a relation.
_LEADERS_PER_S = 20.0
_LED_HOSTS_PER_S = 133.0
_NEIGHBOURS_PER_S = 3.0
_FAR_HOSTS_PER_S = 0.5


class Relation(Enum):
    """What one host is to another; it decides how often they send heartbeats.

    Attributes:
        CLOSE: One leads workers in the data centre of the other, or both look for a
            leader.
        LEADERS: Both lead workers, in different data centres.
        NEIGHBOURS: Both are in one data centre, and neither leads workers there.
        FAR: Any other two hosts.
    """

    CLOSE = auto()
    LEADERS = auto()
    NEIGHBOURS = auto()
    FAR = auto()


def interval_s(relation: Relation, count: int, live_s: float) -> float:
    """Return the interval of the heartbeats between two hosts of a large fleet, s.

    Args:
        relation: What they are to each other.
        count: Count of the hosts whose heartbeats add up at the receiver.
        live_s: For how long the peer has been live, s; 0 if it is not.
    """
    match relation:
        case Relation.CLOSE:
            return max(HEARTBEAT_INTERVAL_S, count / _LED_HOSTS_PER_S)
        case Relation.LEADERS:
            return max(HEARTBEAT_INTERVAL_S, count / _LEADERS_PER_S)
        case Relation.NEIGHBOURS if live_s >= _SETTLED_S:
            return max(_RARE_INTERVAL_S, count / _NEIGHBOURS_PER_S)
        case Relation.FAR if live_s > 0:
            return max(_FAR_INTERVAL_S, count / _FAR_HOSTS_PER_S)
    return _FIRST_INTERVAL_S
