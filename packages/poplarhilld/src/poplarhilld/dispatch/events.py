"""Events that the dispatcher processes."""

from dataclasses import dataclass

from poplarhill.configuration import Configuration
from poplarhill.exceptions import ErrorKind
from poplarhill.types import Address, JobSpec, TaskId
from poplarhilld.claims.messages import ClaimsAppendDue, ClaimsAppended, ClaimsRead
from poplarhilld.configuration.messages import LogRead
from poplarhilld.freshness.messages import HostsRead
from poplarhilld.peers.messages import Message


@dataclass(frozen=True)
class Started:
    """The process has started."""


@dataclass(frozen=True)
class JobSubmitted:
    """A caller submitted a job."""

    spec: JobSpec


@dataclass(frozen=True)
class JobCancelled:
    """A caller cancelled its job or disconnected."""

    job_id: str


@dataclass(frozen=True)
class TaskSucceeded:
    """A worker returned the result of a task.

    Attributes:
        task: The task.
        worker: Name of the worker.
        body: The result.
        attempt: Count of earlier sends of the task, each proved unsent.
        free_slots: Slots free on the worker right after the response, if it reports
            them.
    """

    task: TaskId
    worker: str
    body: bytes
    attempt: int = 0
    free_slots: int | None = None


@dataclass(frozen=True)
class TaskUnsent:
    """A task was provably not started.

    Either no byte of it left this host, or the worker reported that it did not start
    the task.

    Attributes:
        task: The task.
        worker: Name of the intended worker.
        detail: Reason, for a human reader.
        attempt: Count of earlier sends of the task.
        by_worker: Whether the cause lies with the worker, not with this host.
    """

    task: TaskId
    worker: str
    detail: str
    attempt: int = 0
    by_worker: bool = True


@dataclass(frozen=True)
class TaskLost:
    """A task may have run but has no usable result.

    Attributes:
        task: The task.
        worker: Name of the worker that it was sent to.
        kind: Kind of the failure.
        detail: Reason in one sentence, for a human reader.
        attempt: Count of earlier sends of the task, each proved unsent.
        stopped: Whether the worker reported that it stopped the task on request.
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
    """A frame was received from another entry host."""

    sender: str
    message: Message


@dataclass(frozen=True)
class PeerConnectionRefused:
    """The address of an entry host refused a connection."""

    address: Address


@dataclass(frozen=True)
class ShutdownStarted:
    """The process was asked to shut down."""


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
    | ClaimsAppendDue
)
