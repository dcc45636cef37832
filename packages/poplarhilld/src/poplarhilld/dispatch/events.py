"""Events that the dispatcher decides on."""

from dataclasses import dataclass

from poplarhill.configuration import Configuration
from poplarhill.exceptions import ErrorKind
from poplarhill.types import JobSpec, TaskId
from poplarhilld.claims.messages import ClaimsAppended, ClaimsDue, ClaimsRead
from poplarhilld.configuration.messages import LogRead
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
    """A worker answered a task."""

    task: TaskId
    worker: str
    body: bytes
    attempt: int = 0


@dataclass(frozen=True)
class TaskUnsent:
    """A task was provably not started: nothing left, or the worker says so."""

    task: TaskId
    worker: str
    detail: str
    attempt: int = 0


@dataclass(frozen=True)
class TaskLost:
    """A task may have run and gave no usable result."""

    task: TaskId
    worker: str
    kind: ErrorKind
    detail: str
    attempt: int = 0


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
    | FrameReceived
    | ShutdownStarted
    | Ticked
    | ClaimsAppended
    | ClaimsRead
    | ClaimsDue
)
