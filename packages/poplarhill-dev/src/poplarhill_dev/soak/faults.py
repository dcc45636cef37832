"""Faults and planned changes that a soak applies to processes from outside."""

from enum import Enum
from typing import NamedTuple

from poplarhill_dev.relay_plan import Break, LinkFault
from poplarhill_platform_dev import StoreFaults, WorkerFaults


class Reload(Enum):
    """Changes to a host's settings file before SIGHUP."""

    SEEDS = "seeds"
    GRACE = "grace"
    UNREADABLE = "unreadable"


class EndHost(NamedTuple):
    """Stop a host and restart it.

    Attributes:
        host: The host.
        kill: Whether the host is killed instead of sent SIGTERM.
        back_s: Delay until the restart, s.
    """

    host: str
    kill: bool
    back_s: float


class ReloadHost(NamedTuple):
    """Change a host's settings and send it SIGHUP.

    Attributes:
        host: The host.
        change: The change to its settings.
    """

    host: str
    change: Reload


class Pause(NamedTuple):
    """Suspend a process and resume it later.

    Attributes:
        name: The process.
        for_s: How long it is suspended, s.
    """

    name: str
    for_s: float


class HarmLink(NamedTuple):
    """Hold back or delay traffic from one process to another.

    Attributes:
        fault: The fault of the link.
        for_s: How long it lasts, s.
    """

    fault: LinkFault
    for_s: float


class HarmStore(NamedTuple):
    """Make the store fail requests, answer late, or lose responses.

    Attributes:
        faults: The faults of the store.
        for_s: How long they last, s.
    """

    faults: StoreFaults
    for_s: float


class ForgetHistory(NamedTuple):
    """Compact the store: make it drop all but the newest record of each key."""


class EndWorker(NamedTuple):
    """Kill a worker and restart it.

    Attributes:
        worker: The worker's machine.
        drained: Whether it is set to drain first.
        back_s: Delay until the restart, s.
        renamed: Whether it restarts under a new name.
    """

    worker: str
    drained: bool
    back_s: float
    renamed: bool


class HarmWorker(NamedTuple):
    """Make a worker carry out calls late, answer late, fail tasks or run slowly.

    Attributes:
        worker: The worker's machine.
        faults: The faults of the worker.
        for_s: How long they last, s.
    """

    worker: str
    faults: WorkerFaults
    for_s: float


class Publish(NamedTuple):
    """Publish a configuration version that adds one route and drops another."""


class Evacuate(NamedTuple):
    """Evacuate a data centre and lift it again.

    Attributes:
        data_centre: The data centre.
        for_s: How long it is evacuated, s.
    """

    data_centre: str
    for_s: float


Fault = (
    EndHost
    | ReloadHost
    | Pause
    | HarmLink
    | Break
    | HarmStore
    | ForgetHistory
    | EndWorker
    | HarmWorker
    | Publish
    | Evacuate
)
