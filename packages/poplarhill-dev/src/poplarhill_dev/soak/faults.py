"""The faults that the soak injects, and planned changes, from outside."""

from enum import Enum
from typing import NamedTuple

from poplarhill_dev.relay_plan import Break, LinkFault
from poplarhill_platform_dev import StoreFaults, WorkerFaults


class Reload(Enum):
    """What changes in a host's settings before SIGHUP."""

    SEEDS = "seeds"
    GRACE = "grace"
    UNREADABLE = "unreadable"


class EndHost(NamedTuple):
    """End a host, by SIGTERM or at once, and start it again `back_s` later."""

    host: str
    kill: bool
    back_s: float


class ReloadHost(NamedTuple):
    """Change a host's settings and send it SIGHUP."""

    host: str
    change: Reload


class Pause(NamedTuple):
    """Stop a process where it stands for a while."""

    name: str
    for_s: float


class HarmLink(NamedTuple):
    """Hold back or delay what a place sends to another for a while."""

    fault: LinkFault
    for_s: float


class HarmStore(NamedTuple):
    """Let the store fail, answer late, or lose answers for a while."""

    faults: StoreFaults
    for_s: float


class ForgetHistory(NamedTuple):
    """Let the store forget all but the newest record of each key."""


class EndWorker(NamedTuple):
    """End a worker, drained or not; a new life comes `back_s` later."""

    worker: str
    drained: bool
    back_s: float
    renamed: bool


class HarmWorker(NamedTuple):
    """Let a worker carry orders out late, answer late, fail or be slow."""

    worker: str
    faults: WorkerFaults
    for_s: float


class Publish(NamedTuple):
    """Publish a version that adds a route and drops another."""


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
)
