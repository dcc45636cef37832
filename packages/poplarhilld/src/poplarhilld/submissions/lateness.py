"""Leaders whose own processor is overloaded are not chosen while others have time."""

from collections.abc import Mapping

from poplarhilld.shards.capacity import is_saturated
from poplarhilld.submissions.messages import LeaderView


def without_late(leaders: Mapping[str, LeaderView]) -> Mapping[str, LeaderView]:
    """Return the leaders that do not refuse jobs because they are late.

    All leaders are returned if none is late, or if no other one has workers and
    processor time. The choice among the rest stays that of `choose_leader`, which
    compares few of them, so that the jobs of a late leader do not all go to one.

    Args:
        leaders: The leaders by name.
    """
    if not any(leader.load.late for leader in leaders.values()):
        return leaders
    others = {
        name: leader
        for name, leader in leaders.items()
        if not leader.load.late
        and leader.load.cores > 0
        and not is_saturated(leader.load.busy)
    }
    return others or leaders
