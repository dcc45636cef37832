"""Injects faults into a running fleet at fixed times."""

import sched
import time
from collections.abc import Callable
from typing import Any

from poplarhill_dev.experiment.config import Fault
from poplarhill_dev.fleet import Fleet, put_json
from poplarhill_dev.relay_plan import Cut

_NO_PLATFORM_FAULTS: dict[str, Any] = {}
_NO_WORKER_FAULTS: dict[str, Any] = {}

Action = Callable[[], None]


class UnknownFaultError(Exception):
    """The kind of a fault is unknown."""


def schedule_faults(
    fleet: Fleet, faults: tuple[Fault, ...], start: float
) -> sched.scheduler:
    """Return a scheduler that begins and ends the faults.

    Args:
        fleet: The fleet.
        faults: The faults; cancel waves are skipped, as the load generator makes them.
        start: When the load starts, by the machine's monotonic clock, s.
    """
    scheduler = sched.scheduler(time.monotonic, time.sleep)
    for fault in faults:
        if fault.kind == "cancel_wave":
            continue
        begin, end = _actions(fleet, fault)
        scheduler.enterabs(start + fault.at_s, 1, begin)
        if fault.until_s is not None:
            scheduler.enterabs(start + fault.until_s, 1, end)
    return scheduler


def _actions(fleet: Fleet, fault: Fault) -> tuple[Action, Action]:
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
                lambda: put_json(port, "/faults", _NO_PLATFORM_FAULTS),
            )
        case "worker":
            port = fleet.worker_ports[target]
            return (
                lambda: put_json(port, "/faults", fault.set),
                lambda: put_json(port, "/faults", _NO_WORKER_FAULTS),
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
