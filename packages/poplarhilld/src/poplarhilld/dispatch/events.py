"""Events that the dispatcher decides on."""

from dataclasses import dataclass

from poplarhill.configuration import Configuration
from poplarhill.exceptions import ErrorKind
from poplarhill.types import Address, JobSpec, TaskId
from poplarhilld.claims.messages import ClaimsAppended, ClaimsDue, ClaimsRead
from poplarhilld.configuration.messages import LogRead
from poplarhilld.freshness.messages import HostsRead
from poplarhilld.peers.messages import Message


@dataclass(frozen=True)
class Started:
    """The process is up."""


@dataclass(frozen=True)
class JobSubmitted:
    """A caller submitted a job."""

    spec: JobSpec


@dataclass(frozen=True)
class JobCancelled:
    """A caller cancelled its job or hung up."""

    job_id: str


@dataclass(frozen=True)
class TaskSucceeded:
    """A worker answered a task.

    Attributes:
        task: The task.
        worker: Name of the worker.
        body: Its result.
        free_slots: Slots free on the worker just after, if it shows them.
    """

    task: TaskId
    worker: str
    body: bytes
    attempt: int = 0
    free_slots: int | None = None


@dataclass(frozen=True)
class TaskUnsent:
    """A task was provably not started: nothing left, or the worker says so.

    Attributes:
        task: The task.
        worker: The worker that it was to go to.
        detail: What happened.
        attempt: Count of earlier sends of the task.
        by_worker: Whether the worker, not this host, kept it from being sent.
    """

    task: TaskId
    worker: str
    detail: str
    attempt: int = 0
    by_worker: bool = True


@dataclass(frozen=True)
class TaskLost:
    """A task may have run and gave no usable result.

    Attributes:
        task: The task.
        worker: Where it was sent.
        kind: What went wrong.
        detail: One sentence for a person.
        attempt: Count of earlier sends of the task, each proved unsent.
        stopped: Whether the worker says that it stopped the task.
    """

    task: TaskId
    worker: str
    kind: ErrorKind
    detail: str
    attempt: int = 0
    stopped: bool = False


@dataclass(frozen=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: Configuration


@dataclass(frozen=True)
class FrameReceived:
    """A frame came from another entry host."""

    sender: str
    message: Message


@dataclass(frozen=True)
class PeerConnectionRefused:
    """The address of an entry host refused a connection."""

    address: Address


@dataclass(frozen=True)
class ShutdownStarted:
    """The process was asked to stop."""


@dataclass(frozen=True)
class Ticked:
    """Time has passed."""


Event = (
    Started
    | JobSubmitted
    | JobCancelled
    | TaskSucceeded
    | TaskUnsent
    | TaskLost
    | ConfigurationChanged
    | LogRead
    | HostsRead
    | FrameReceived
    | PeerConnectionRefused
    | ShutdownStarted
    | Ticked
    | ClaimsAppended
    | ClaimsRead
    | ClaimsDue
)
