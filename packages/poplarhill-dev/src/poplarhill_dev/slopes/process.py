"""Slopes of a real daemon: processor time and memory against load."""

import os
import time
from pathlib import Path
from typing import NamedTuple

import curio
import msgspec

from poplarhill.http import Connection, Limits, Request
from poplarhill_dev.fleet import Fleet
from poplarhill_dev.slopes.fit import Point, Slope, fit

_JOB_SIZES = (1, 16, 64, 160)
_TASKS_A_POINT = 1600
_CALLERS = 8
_WORKERS = 6
_IDLE_S = 5.0
_US = 1e6
_KIB = 1024
_TICKS = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """What a process has used.

    Attributes:
        processor_s: Processor time since its start, s.
        memory_kib: Resident memory, KiB.
    """

    processor_s: float
    memory_kib: float


def usage(pid: int) -> Usage:
    """Read a process's use of processor and memory."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    processor_s = (int(fields[11]) + int(fields[12])) / _TICKS
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(processor_s, pages * os.sysconf("SC_PAGE_SIZE") / _KIB)


class ProcessCosts(NamedTuple):
    """What a daemon costs.

    Attributes:
        job: Processor time of a job against its tasks.
        idle_share: Share of a core that an idle daemon uses.
        memory_kib: Resident memory of an idle daemon, KiB.
    """

    job: Slope
    idle_share: float
    memory_kib: float


def process_costs() -> ProcessCosts:
    """Measure a daemon among three, with its workers, on loopback."""
    fleet = Fleet.start(hosts=3, workers=_WORKERS)
    try:
        daemon = fleet.daemons()[0]
        points = [
            _job_point(daemon.handle.pid, daemon.port, size) for size in _JOB_SIZES
        ]
        before = usage(daemon.handle.pid)
        time.sleep(_IDLE_S)
        after = usage(daemon.handle.pid)
    finally:
        fleet.stop()
    idle_share = (after.processor_s - before.processor_s) / _IDLE_S
    job = fit("job carried", "us", "task", points)
    return ProcessCosts(job, idle_share, after.memory_kib)


def _job_point(pid: int, port: int, size: int) -> Point:
    jobs = _TASKS_A_POINT // size
    curio.run(_load, port, size, _CALLERS)
    before = usage(pid)
    curio.run(_load, port, size, jobs)
    spent_s = usage(pid).processor_s - before.processor_s
    return Point(size, spent_s / jobs * _US)


async def _load(port: int, size: int, jobs: int) -> None:
    async with curio.TaskGroup() as group:
        for caller in range(_CALLERS):
            share = len(range(caller, jobs, _CALLERS))
            await group.spawn(_call, port, size, share)


async def _call(port: int, size: int, jobs: int) -> None:
    connection = await Connection.open("127.0.0.1", port, Limits(), 5.0)
    body = msgspec.json.encode({"tasks": ["x" * 200] * size})
    request = Request("POST", "/v1/services/booking/jobs", body=body)
    for _ in range(jobs):
        response = await connection.exchange(request)
        assert response.status == 200, response.body
    await connection.close()
