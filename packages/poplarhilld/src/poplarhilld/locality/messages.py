"""What hosts tell each other of racks, and the log line on a task that waits."""

from enum import StrEnum
from typing import NamedTuple

OFF = 1.0  # slowdown of remote runs where the settings give none


class DataPlace(StrEnum):
    """Where a task runs in relation to its data."""

    NONE = "none"  # its step names no rack
    NEAR = "near"
    REMOTE = "remote"


class RackLoad(NamedTuple):
    """Expected wait in a rack, as reported by a leader of workers there.

    Attributes:
        rack: Name of the rack.
        wait_s: Expected time until a place there is free for another task, s.
    """

    rack: str
    wait_s: float


class TaskHeld(NamedTuple):
    """Log line: a task waits for the rack of its data; once per job.

    Attributes:
        task: Name of the task.
        rack: Rack of its data.
        near_s: Expected time until it ends there, s.
        remote_s: Expected time until it would end elsewhere, s; -1 if nothing is free.
    """

    task: str
    rack: str
    near_s: float
    remote_s: float
