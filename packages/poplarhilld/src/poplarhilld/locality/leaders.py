"""Choice of the leader for a job whose steps name racks."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

import xxhash

from poplarhilld.locality.messages import OFF

if TYPE_CHECKING:
    from poplarhilld.catalogue import WorkerEntry
    from poplarhilld.peers.messages import Load, StepSpec
    from poplarhilld.submissions.messages import LeaderView

_NETWORK_S = 0.01  # a few ms between data centres, and a load that is a heartbeat old
# Ends that differ by less than a link's delay count as equal, and a hash of the job
# decides. Otherwise all hosts would choose the same leader until its next heartbeat.
_TIE_S = 0.01
_FAR_LEADERS = 2  # others that are compared; with more, all hosts choose the same one


def cores_by_rack(entries: Iterable[WorkerEntry]) -> dict[str, float]:
    """Return the cores of the workers that take new tasks, by rack."""
    cores: dict[str, float] = {}
    for entry in entries:
        if entry.rack and not entry.draining:
            cores[entry.rack] = cores.get(entry.rack, 0.0) + entry.room.cores
    return cores


def expected_end_s(
    leader: LeaderView, steps: Iterable[StepSpec], wait_s: float, slowdown: float
) -> float:
    """Return the expected time until a leader has completed a job, s.

    Args:
        leader: The leader.
        steps: Steps of the job.
        wait_s: Expected wait for any capacity at this leader, s.
        slowdown: Factor on the run time outside the rack of the data.
    """
    waits = {load.rack: load.wait_s for load in leader.load.racks}
    end_s = 0.0 if leader.same_data_centre else _NETWORK_S
    for step in steps:
        run_s = step.run_time_s
        far_s = wait_s + run_s * (slowdown if step.data_rack else 1.0)
        cores = leader.racks.get(step.data_rack, 0.0)
        if step.data_rack and cores > 0 and leader.load.cores > 0:
            # More tasks than the rack has room for run one after the other.
            rounds = max(1.0, step.count * step.needs.cores / cores)
            far_s = min(far_s, waits.get(step.data_rack, 0.0) + rounds * run_s)
        end_s += far_s
    return end_s


def time_lost_by_data_s(
    leader: LeaderView, steps: Iterable[StepSpec], slowdown: float
) -> float:
    """Return how much later a job ends at a leader because of where its data are, s.

    Args:
        leader: The leader.
        steps: Steps of the job.
        slowdown: Factor on the run time outside the rack of the data.
    """
    waits = {load.rack: load.wait_s for load in leader.load.racks}
    lost_s = 0.0
    for step in steps:
        if step.data_rack:
            step_s = (slowdown - OFF) * step.run_time_s
            if leader.racks.get(step.data_rack, 0.0) > 0:
                step_s = min(step_s, waits.get(step.data_rack, 0.0))
            lost_s += step_s
    return lost_s


def choose_by_data(
    leaders: Mapping[str, LeaderView],
    steps: tuple[StepSpec, ...],
    slowdown: float,
    job_id: str,
    wait_of: Callable[[Load, float], float],
) -> tuple[str, str] | None:
    """Return the leader that is expected to complete a job first, and the reason.

    Compares the leaders of the racks that the job names, those of this data centre and
    two others that a hash of the job selects.

    Args:
        leaders: The leaders by name.
        steps: Steps of the job.
        slowdown: Factor on the run time outside the rack of the data.
        job_id: Id of the job.
        wait_of: Returns the expected wait for cores at a leader, s, by its load.

    Returns:
        `None` if no compared leader has a rack that the job names; the usual choice
        applies then.
    """
    racks = {step.data_rack for step in steps if step.data_rack}

    def hash_of(name: str) -> int:
        return xxhash.xxh32_intdigest(f"{job_id}/{name}".encode())

    near = {n for n, v in leaders.items() if not racks.isdisjoint(v.racks)}
    if not near:
        return None
    others = sorted((n for n in leaders if n not in near), key=hash_of)
    local = [n for n in others if leaders[n].same_data_centre]
    far = [n for n in others if not leaders[n].same_data_centre][:_FAR_LEADERS]
    needs = sum(step.count * step.needs.cores for step in steps)
    best: tuple | None = None
    for name in [*near, *local, *far]:
        leader = leaders[name]
        end_s = expected_end_s(leader, steps, wait_of(leader.load, needs), slowdown)
        key = (round(end_s / _TIE_S), name not in near, hash_of(name), name)
        if best is None or key < best:
            best = key
    chosen = best[-1]
    if chosen in near:
        return chosen, "leads the rack of the data"
    return chosen, "expected to end sooner than in the rack of the data"
