"""Which leader an entry host offers a job to."""

from collections.abc import Mapping
from typing import NamedTuple

from poplarhilld.peers.messages import Load
from poplarhilld.submissions.messages import LeaderView

_SHORT_S = 0.02  # an expected wait below a third of the shortest task is none
_FAR_S = 0.01  # a few ms of network, and a view that is a heartbeat old
_FREE_SHARE = 0.8  # part of the room told free that is still so a heartbeat later
_TURNOVER_S = 0.3  # a task runs about so long until its room is free


class Choice(NamedTuple):
    """A leader and why it was chosen.

    Attributes:
        leader: Its name; empty if there is none.
        reason: Why.
    """

    leader: str
    reason: str


def expected_wait_s(load: Load, needs_cores: float) -> float:
    """Return how long a job will wait at a leader, roughly, s.

    Args:
        load: How busy the leader was when it last said so.
        needs_cores: Cores that all tasks of the job take together.
    """
    if load.cores <= 0:
        return 60.0
    short = max(0.0, needs_cores - load.free_cores * _FREE_SHARE)
    return (short * _TURNOVER_S + load.queued_core_s) / load.cores


def choose_leader(leaders: Mapping[str, LeaderView], needs_cores: float) -> Choice:
    """Choose the leader that has room for a job soonest, near ones first."""
    best: tuple | None = None
    choice = Choice("", "no leader is known")
    for name, leader in leaders.items():
        wait_s = expected_wait_s(leader.load, needs_cores)
        key = (wait_s if wait_s > _SHORT_S else 0.0) + (0.0 if leader.near else _FAR_S)
        if best is None or (key, name) < best:
            best = (key, name)
            choice = Choice(name, "near" if leader.near else "more room far away")
    return choice
