"""Recorded decision logs, replayed without sockets and compared exactly.

A line with `>` is what happened, a line with `<` what was decided:

    > time submit job tasks deadline
    > time end job/index worker free-slots
    > time hosts names
    < job/index on worker of candidates, waiting
"""

from pathlib import Path

import pytest

from poplarhill.types import TaskId

RECORDED = sorted(Path(__file__).parent.glob("recorded/*.txt"))


def happen(placement, make_job, now: float, kind: str, arguments: list[str]) -> None:
    match kind, arguments:
        case "submit", [job_id, tasks, deadline]:
            job = make_job(job_id, int(tasks), deadline=float(deadline))
            placement.enqueue(now, job)
        case "end", [task, worker, free_slots]:
            job_id, index = task.split("/")
            placement.release(worker, TaskId(job_id, int(index)))
            shown = None if free_slots == "-" else int(free_slots)
            placement.note_free_slots(now, worker, shown)
        case "hosts", names:
            placement.set_hosts(names)
        case _:
            raise ValueError(f"unknown line: {kind} {arguments}")


def decision(placed) -> str:
    weighed = " ".join(f"{c.worker}:{c.headroom}" for c in placed.candidates)
    return f"< {placed.task} on {placed.worker} of {weighed}, {placed.waiting} waiting"


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_a_recorded_log_gives_the_same_decisions(
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
            happen(placement, make_job, float(time), kind, arguments)
            placed = placement.place(float(time), view)
            replayed += [decision(item) for item in placed]
    assert replayed == recorded
