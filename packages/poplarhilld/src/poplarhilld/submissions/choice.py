"""Choice of the leader that an entry host offers a job to."""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from poplarhilld.locality import OFF, choose_by_data
from poplarhilld.peers.messages import Load, StepSpec
from poplarhilld.submissions.lateness import without_late
from poplarhilld.submissions.messages import LeaderView

# An expected wait below a third of the shortest task counts as none.
_NEGLIGIBLE_WAIT_S = 0.02
# Covers a few ms of network latency and a reported load that is a heartbeat old.
_REMOTE_PENALTY_S = 0.01
# Share of the cores reported as free that are still free one heartbeat later.
_STILL_FREE_SHARE = 0.8
# Approximate time after which a running task frees its cores.
_TASK_RUN_TIME_S = 0.3
# Remote leaders, at least one, are added until this many leaders are compared. With
# more remote ones, all hosts would choose the same one at once.
_MIN_COMPARED_LEADERS = 2


class Choice(NamedTuple):
    """A leader and why it was chosen.

    Attributes:
        leader: Its name; empty if no leader is known.
        reason: Why it was chosen, for the log.
    """

    leader: str
    reason: str


def expected_wait_s(load: Load, needs_cores: float) -> float:
    """Return roughly how long a job will wait for capacity at a leader, s.

    Args:
        load: Load that the leader reported last.
        needs_cores: Cores that all tasks of the job need together.
    """
    if load.cores <= 0:
        return 60.0  # no usable worker
    missing_cores = max(0.0, needs_cores - load.free_cores * _STILL_FREE_SHARE)
    return (missing_cores * _TASK_RUN_TIME_S + load.queued_core_s) / load.cores


def has_free_cores(load: Load, needs_cores: float) -> bool:
    """Return whether a leader probably has free cores for all tasks of a job."""
    return load.free_cores * _STILL_FREE_SHARE >= needs_cores


def expected_end_s(leader: LeaderView, needs_cores: float, run_s: float) -> float:
    """Return how long it takes until a job that is offered now ends, s.

    Args:
        leader: The leader.
        needs_cores: Cores that all tasks of the job need together.
        run_s: Its run time, s.
    """
    wait_s = expected_wait_s(leader.load, needs_cores)
    if wait_s <= _NEGLIGIBLE_WAIT_S:
        wait_s = 0.0
    return wait_s + (0.0 if leader.same_data_centre else _REMOTE_PENALTY_S) + run_s


def choose_leader(
    leaders: Mapping[str, LeaderView],
    needs_cores: float,
    job_id: str,
    steps: tuple[StepSpec, ...] = (),
    remote_slowdown: float = OFF,
) -> Choice:
    """Choose the leader at which the job is expected to end first.

    All hosts see the same loads, which are a heartbeat old. If they compared all
    leaders, they would send every job to the remote leader that had the most
    capacity. So this compares only the leaders of this host's data centre and a
    remote one that a hash of the job id selects. Without a leader in this data
    centre, it compares two remote ones. Leaders that are as good are chosen by the
    hash, too: by name, all hosts would choose the same one.

    Args:
        leaders: The leaders by name.
        needs_cores: Cores that all tasks of the job need together.
        job_id: Id of the job.
        steps: Steps of the job.
        remote_slowdown: Factor on run times outside the rack of the data.
    """
    leaders = without_late(leaders)
    if remote_slowdown > OFF and any(step.data_rack for step in steps):
        found = choose_by_data(leaders, steps, remote_slowdown, job_id, expected_wait_s)
        if found is not None:
            return Choice(*found)
    names = sorted(
        leaders, key=lambda name: xxhash.xxh32_intdigest(f"{job_id}/{name}".encode())
    )
    compared = [name for name in names if leaders[name].same_data_centre]
    remote = [name for name in names if not leaders[name].same_data_centre]
    compared += remote[: max(1, _MIN_COMPARED_LEADERS - len(compared))]
    best_s: float | None = None
    choice = Choice("", "no leader is known")
    for name in compared:
        leader = leaders[name]
        # The run takes as long at each of them.
        end_s = expected_end_s(leader, needs_cores, 0.0)
        if best_s is None or end_s < best_s:
            best_s = end_s
            choice = Choice(
                name,
                "same data centre"
                if leader.same_data_centre
                else "shortest expected wait, in another data centre",
            )
    return choice
