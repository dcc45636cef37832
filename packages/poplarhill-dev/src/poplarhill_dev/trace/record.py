"""Records the trace of a running fleet."""

import json
from collections.abc import Iterable
from typing import Any

import msgspec

from poplarhill_dev.experiment.load import CallerResult
from poplarhill_dev.fleet import Fleet, get_page
from poplarhill_dev.trace.checker import Trace

_IN_FORCE = '"event": "ConfigurationInForce"'
_STARTED = '"event": "started"'


def record(fleet: Fleet, answers: Iterable[CallerResult]) -> Trace:
    """Return the trace of a fleet whose workers are still running.

    Args:
        fleet: The fleet.
        answers: Results of the load generator.
    """
    return {
        "requests": [_request(result) for result in answers],
        "starts": _starts(fleet),
        "leaving": [{"worker": w, "at": at} for w, at in fleet.leaving.items()],
        "versions": _versions(fleet),
    }


def _request(result: CallerResult) -> dict[str, Any]:
    return {
        "name": result.name,
        "tasks": result.tasks,
        "key": result.key,
        "idempotent": result.key is None,
        "outcome": result.outcome,
        "run_state": result.run_state,
        "results": result.results,
    }


def _starts(fleet: Fleet) -> list[dict[str, Any]]:
    starts = []
    for worker, port in fleet.worker_ports.items():
        for at, task, echo in msgspec.json.decode(get_page(port, "/trace")):
            starts.append({"worker": worker, "at": at, "task": task, "echo": echo})
    return starts


def _versions(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the versions in each log, in order; `started` begins a new process."""
    versions = []
    for daemon in fleet.daemons():
        log = fleet.directory / f"{daemon.name}.log"
        run = 0
        for line in log.read_text(encoding="utf-8").splitlines():
            if _STARTED in line:
                run += 1
            if _IN_FORCE in line and line.startswith("{"):
                version = json.loads(line)["version"]
                process = f"{daemon.name} run {run}"
                versions.append({"process": process, "version": version})
    return versions
