"""Actions that the dispatcher's process carries out."""

from dataclasses import dataclass

from poplarhill.types import TaskId, WorkerSpec
from poplarhilld.claims.messages import ClaimRequest
from poplarhilld.configuration.messages import AppendRecord, ReadLog
from poplarhilld.decisions import LogDecision
from poplarhilld.freshness.messages import ReadHosts, ReadLogNow
from poplarhilld.jobs import JobOutcome
from poplarhilld.peers.messages import Message


@dataclass(frozen=True)
class SendTask:
    """Send a task to a worker, once.

    Attributes:
        task: The task.
        worker: The worker.
        body: Body of the task.
        deadline: Time by which the result is due, in the host's own clock, s.
        send_by: Time from which the first byte must no longer be sent, in the host's
            own clock, s.
        attempt: Count of earlier sends of this task, each proved unsent.
    """

    task: TaskId
    worker: WorkerSpec
    body: bytes
    deadline: float
    send_by: float
    attempt: int = 0


@dataclass(frozen=True)
class StopTask:
    """Ask a worker to stop a task that it runs."""

    task: TaskId
    worker: WorkerSpec


@dataclass(frozen=True)
class AnswerJob:
    """Send a job's caller its only answer."""

    job_id: str
    outcome: JobOutcome


@dataclass(frozen=True)
class SendFrame:
    """Send a frame to another entry host, best effort."""

    peer: str
    message: Message


Action = (
    SendTask
    | StopTask
    | AnswerJob
    | LogDecision
    | SendFrame
    | ReadLog
    | ReadLogNow
    | ReadHosts
    | AppendRecord
    | ClaimRequest
)
