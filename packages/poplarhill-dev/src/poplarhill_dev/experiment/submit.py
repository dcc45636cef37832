"""Submits load to a running fleet and injects faults."""

import subprocess
import sys
import time
from pathlib import Path

import curio
import msgspec

from poplarhill_dev.experiment.config import Fault
from poplarhill_dev.experiment.faults import schedule_faults
from poplarhill_dev.experiment.load import CallerResult, LoadGenerator, LoadPlan
from poplarhill_dev.experiment.workload import PlannedJob
from poplarhill_dev.fleet import Fleet

_START_DELAY_S = 2.0
_LOAD_TIMEOUT_S = 180.0


def submit(
    fleet: Fleet,
    jobs: list[PlannedJob],
    faults: tuple[Fault, ...] = (),
    processes: int = 1,
) -> list[CallerResult]:
    """Submit jobs at their arrival times, inject faults, and wait for the answers.

    Args:
        fleet: The fleet.
        jobs: Jobs in order of arrival.
        faults: Faults at fixed times.
        processes: Number of processes that generate the load.
    """
    start = time.monotonic() + _START_DELAY_S
    loads = [
        _start_load(fleet, start, number, jobs[number::processes])
        for number in range(processes)
    ]
    try:
        schedule_faults(fleet, faults, start).run()
        for process, _ in loads:
            process.wait(_LOAD_TIMEOUT_S)
    finally:
        for process, _ in loads:
            process.kill()
            process.wait()
    parts = [
        msgspec.json.decode(p.read_bytes(), type=list[CallerResult]) for _, p in loads
    ]
    return sorted((a for part in parts for a in part), key=lambda a: a.at_s)


def submit_now(fleet: Fleet, jobs: list[PlannedJob]) -> list[CallerResult]:
    """Submit jobs from this process and wait for the answers."""
    ports = [daemon.port for daemon in fleet.daemons()]
    return curio.run(LoadGenerator(LoadPlan(time.monotonic(), ports, jobs)).run)


def _start_load(
    fleet: Fleet, start: float, number: int, jobs: list[PlannedJob]
) -> tuple[subprocess.Popen, Path]:
    """Start a load process; return it and the path of its answers."""
    ports = [daemon.port for daemon in fleet.daemons()]
    plan = fleet.directory / f"load{number}.json"
    plan.write_bytes(msgspec.json.encode(LoadPlan(start, ports, jobs)))
    out = fleet.directory / f"answers{number}.json"
    command = [sys.executable, "-m", "poplarhill_dev", "load", str(plan)]
    return subprocess.Popen([*command, "--out", str(out)]), out
