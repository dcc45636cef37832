"""Replays recorded decision logs without sockets and compares them exactly.

A line with `>` is an event, a line with `<` the decision that followed:

    > time submit job tasks deadline
    > time end job/index worker free-slots
    > time hosts names
    < job/index on worker of candidates, waiting
"""

from pathlib import Path

import pytest

from poplarhill.types import TaskId

RECORDED = sorted(Path(__file__).parent.glob("recorded/*.txt"))


def apply_event(
    placement, make_job, now: float, kind: str, arguments: list[str]
) -> None:
    match kind, arguments:
        case "submit", [job_id, tasks, deadline]:
            job = make_job(job_id, int(tasks), deadline=float(deadline))
            placement.enqueue(now, job)
        case "end", [task, worker, free_slots]:
            job_id, index = task.split("/")
            placement.release(worker, TaskId(job_id, int(index)))
            reported = None if free_slots == "-" else int(free_slots)
            placement.note_free_slots(now, worker, reported)
        case "hosts", names:
            placement.set_hosts(names)
        case _:
            raise ValueError(f"unknown line: {kind} {arguments}")


def format_decision(placed) -> str:
    weighed = " ".join(f"{c.worker}:{c.headroom}" for c in placed.candidates)
    return f"< {placed.task} on {placed.worker} of {weighed}, {placed.waiting} waiting"


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_replaying_a_recorded_log_gives_the_same_decisions(
    make_placement, make_job, view, path
) -> None:
    placement = make_placement(lending=False)
    recorded = path.read_text(encoding="utf-8").splitlines()
    replayed = []
    for line in recorded:
        if line.startswith("#"):
            replayed.append(line)
        elif line.startswith(">"):
            replayed.append(line)
            _, time, kind, *arguments = line.split()
            apply_event(placement, make_job, float(time), kind, arguments)
            placed = placement.place(float(time), view)
            replayed += [format_decision(item) for item in placed]
    assert replayed == recorded
