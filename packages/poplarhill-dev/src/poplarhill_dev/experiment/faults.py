"""Faults brought about in a running fleet at set times."""

import sched
import time
from collections.abc import Callable
from typing import Any

from poplarhill_dev.experiment.config import Fault
from poplarhill_dev.fleet import Fleet, put_json
from poplarhill_dev.relay_plan import Cut

_PLATFORM_WELL: dict[str, Any] = {}
_WORKER_WELL: dict[str, Any] = {}

Change = Callable[[], None]


class UnknownFaultError(Exception):
    """A fault of a kind that this tool does not know."""


def schedule_faults(
    fleet: Fleet, faults: tuple[Fault, ...], start: float
) -> sched.scheduler:
    """Return a scheduler that brings the faults about and ends them.

    Args:
        fleet: The fleet.
        faults: The faults; cancel waves are part of the load instead.
        start: When the load starts, by the machine's monotonic clock, s.
    """
    scheduler = sched.scheduler(time.monotonic, time.sleep)
    for fault in faults:
        if fault.kind == "cancel_wave":
            continue
        begin, end = _changes(fleet, fault)
        scheduler.enterabs(start + fault.at_s, 1, begin)
        if fault.until_s is not None:
            scheduler.enterabs(start + fault.until_s, 1, end)
    return scheduler


def _changes(fleet: Fleet, fault: Fault) -> tuple[Change, Change]:
    target = fault.target
    match fault.kind:
        case "freeze_host":
            return lambda: fleet.freeze(target), lambda: fleet.resume(target)
        case "stop_host":
            return lambda: fleet.terminate(target), lambda: fleet.restart(target)
        case "kill_host" | "kill_workers":
            return lambda: fleet.kill(target), lambda: fleet.restart(target)
        case "platform":
            port = fleet.platform_port
            return (
                lambda: put_json(port, "/faults", fault.set),
                lambda: put_json(port, "/faults", _PLATFORM_WELL),
            )
        case "worker":
            port = fleet.worker_ports[target]
            return (
                lambda: put_json(port, "/faults", fault.set),
                lambda: put_json(port, "/faults", _WORKER_WELL),
            )
        case "drain":
            return lambda: fleet.drain(target), lambda: None
        case "informed":
            return lambda: fleet.wait_informed(target), lambda: None
        case "listening":
            return lambda: fleet.wait_listening(target), lambda: None
        case "cut":
            cut = Cut(target, fault.direction)
            return lambda: fleet.cut([cut]), lambda: fleet.cut([])
        case _:
            raise UnknownFaultError(fault.kind)
