"""Measures processor time and memory of a real daemon."""

import os
import time
from pathlib import Path
from typing import NamedTuple

import curio
import msgspec

from poplarhill.http import Connection, Limits, Request
from poplarhill_dev.fleet import Fleet
from poplarhill_dev.slopes.fit import Point, Slope, fit
from poplarhill_dev.slopes.pure import document

_JOB_SIZES = (1, 16, 64, 160)
_TASKS_PER_POINT = 1600
_CALLERS = 8
_WORKERS = 6
_IDLE_WAIT_S = 5.0
_CHANGES = 3
_FLEET_SIZES = (24, 2400, 21000)
_US = 1e6
_KIB = 1024
_TICKS = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """Resource usage of a process.

    Attributes:
        processor_s: Processor time since the start of the process, s.
        memory_kib: Resident memory, KiB.
    """

    processor_s: float
    memory_kib: float


def usage(pid: int) -> Usage:
    """Return the resource usage of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    processor_s = (int(fields[11]) + int(fields[12])) / _TICKS
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(processor_s, pages * os.sysconf("SC_PAGE_SIZE") / _KIB)


class ProcessCosts(NamedTuple):
    """Costs of a daemon.

    Attributes:
        job: Processor time of a job against its number of tasks.
        idle_share: Fraction of a core that an idle daemon uses.
        memory_kib: Resident memory of an idle daemon, KiB.
    """

    job: Slope
    idle_share: float
    memory_kib: float


def process_costs() -> ProcessCosts:
    """Measure one of three daemons with six workers on loopback."""
    fleet = Fleet.start(hosts=3, workers=_WORKERS)
    try:
        daemon = fleet.daemons()[0]
        points = [
            _job_point(daemon.handle.pid, daemon.port, size) for size in _JOB_SIZES
        ]
        idle_s, after = _idle_usage(daemon.handle.pid)
    finally:
        fleet.stop()
    idle_share = idle_s / _IDLE_WAIT_S
    job = fit("job carried", "us", "task", points)
    return ProcessCosts(job, idle_share, after.memory_kib)


class SizeCosts(NamedTuple):
    """Costs of a daemon with a configuration of a given size.

    Attributes:
        workers: Number of workers in the configuration.
        memory_kib: Resident memory, KiB.
        idle_share: Fraction of a core that it uses without jobs.
        change_s: Processor time to apply a change of one worker, s.
    """

    workers: int
    memory_kib: float
    idle_share: float
    change_s: float


def size_costs() -> list[SizeCosts]:
    """Measure one of three daemons with configurations of several sizes."""
    fleet = Fleet.start(hosts=3, workers=1)
    try:
        return [_size_cost(fleet, workers) for workers in _FLEET_SIZES]
    finally:
        fleet.stop()


def _size_cost(fleet: Fleet, workers: int) -> SizeCosts:
    pid = fleet.daemons()[0].handle.pid
    fleet.publish(document(workers), "a fleet of this size")
    time.sleep(_IDLE_WAIT_S)
    idle_s, idle = _idle_usage(pid)
    spent_s = 0.0
    for slots in range(_CHANGES):
        changed = document(workers)
        changed["services"]["booking"]["workers"]["worker-00001"]["slots"] = slots + 1
        before = usage(pid)
        fleet.publish(changed, "one worker")
        begin = time.monotonic()
        time.sleep(_IDLE_WAIT_S)
        waited_s = time.monotonic() - begin
        after = usage(pid)
        spent_s += after.processor_s - before.processor_s
        spent_s -= idle_s / _IDLE_WAIT_S * waited_s
    return SizeCosts(
        workers, idle.memory_kib, idle_s / _IDLE_WAIT_S, spent_s / _CHANGES
    )


def _idle_usage(pid: int) -> tuple[float, Usage]:
    """Return the processor time of an idle interval, and the usage after it."""
    before = usage(pid)
    time.sleep(_IDLE_WAIT_S)
    after = usage(pid)
    return after.processor_s - before.processor_s, after


def _job_point(pid: int, port: int, size: int) -> Point:
    jobs = _TASKS_PER_POINT // size
    curio.run(_send_load, port, size, _CALLERS)
    before = usage(pid)
    curio.run(_send_load, port, size, jobs)
    spent_s = usage(pid).processor_s - before.processor_s
    return Point(size, spent_s / jobs * _US)


async def _send_load(port: int, size: int, jobs: int) -> None:
    async with curio.TaskGroup() as group:
        for caller in range(_CALLERS):
            share = len(range(caller, jobs, _CALLERS))
            await group.spawn(_send_jobs, port, size, share)


async def _send_jobs(port: int, size: int, jobs: int) -> None:
    connection = await Connection.open("127.0.0.1", port, Limits(), 5.0)
    body = msgspec.json.encode({"tasks": ["x" * 200] * size})
    request = Request("POST", "/v1/services/booking/jobs", body=body)
    for _ in range(jobs):
        response = await connection.exchange(request)
        assert response.status == 200, response.body
    await connection.close()
