"""Which leader an entry host offers a job to."""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from poplarhilld.peers.messages import Load
from poplarhilld.submissions.messages import LeaderView

_NEGLIGIBLE_WAIT_S = 0.02  # an expected wait below a third of the shortest task is none
_REMOTE_PENALTY_S = 0.01  # a few ms of network, and a view that is a heartbeat old
_STILL_FREE_SHARE = 0.8  # part of the room told free that is still so a heartbeat later
_TASK_RUN_TIME_S = 0.3  # a task runs about so long until its room is free
_COMPARED_LEADERS = 2  # leaders; of more, all hosts would take the same one at once


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
    missing_cores = max(0.0, needs_cores - load.free_cores * _STILL_FREE_SHARE)
    return (missing_cores * _TASK_RUN_TIME_S + load.queued_core_s) / load.cores


def choose_leader(
    leaders: Mapping[str, LeaderView], needs_cores: float, job_id: str
) -> Choice:
    """Choose a leader that has room for a job soon, near ones first.

    All hosts see the same loads, a heartbeat old, and would send every job to the
    far leader that had the most room. So a job is compared at the near leaders and
    at a far one that its id draws.

    Args:
        leaders: The leaders by name.
        needs_cores: Cores that all tasks of the job take together.
        job_id: Id of the job.
    """
    compared = [name for name, leader in leaders.items() if leader.same_data_centre]
    remote = [name for name, leader in leaders.items() if not leader.same_data_centre]
    remote.sort(key=lambda name: xxhash.xxh32_intdigest(f"{job_id}/{name}".encode()))
    compared += remote[: max(1, _COMPARED_LEADERS - len(compared))]
    best: tuple | None = None
    choice = Choice("", "no leader is known")
    for name in compared:
        leader = leaders[name]
        wait_s = expected_wait_s(leader.load, needs_cores)
        key = (wait_s if wait_s > _NEGLIGIBLE_WAIT_S else 0.0) + (
            0.0 if leader.same_data_centre else _REMOTE_PENALTY_S
        )
        if best is None or (key, name) < best:
            best = (key, name)
            choice = Choice(
                name, "near" if leader.same_data_centre else "more room far away"
            )
    return choice
