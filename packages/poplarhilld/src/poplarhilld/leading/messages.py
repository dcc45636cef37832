"""What a leader does and writes to its log."""

from dataclasses import dataclass
from typing import NamedTuple

from poplarhilld.catalogue import WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.leases import Renewal, Run
from poplarhilld.peers.messages import JobReport


class Order(NamedTuple):
    """An order to start a run.

    Attributes:
        run: The run.
        body: What the task is given.
        deadline_s: Time by the worker's clock after which it must not start, s.
        token: Fencing token of the leader.
    """

    run: Run
    body: str
    deadline_s: float
    token: int


@dataclass(frozen=True)
class RenewLease:
    """Renew the lease on a worker, after a pause."""

    worker: WorkerEntry
    renewal: Renewal
    pause_s: float = 0.0


@dataclass(frozen=True)
class QueryWorker:
    """Ask a worker for its state at once, beside the renewal that waits."""

    worker: WorkerEntry
    renewal: Renewal


@dataclass(frozen=True)
class StartRun:
    """Send an order to start a run."""

    worker: WorkerEntry
    order: Order


@dataclass(frozen=True)
class StopRun:
    """Send an order to stop a run."""

    worker: WorkerEntry
    run: Run
    token: int


@dataclass(frozen=True)
class ReportJob:
    """Tell an entry host of its job."""

    host: str
    report: JobReport


LeaderAction = RenewLease | QueryWorker | StartRun | StopRun | ReportJob | LogDecision


class WorkerTaken(NamedTuple):
    """Log line: this host leads a worker from now on."""

    worker: str
    address: str
    token: int
    reason: str


class WorkerConfirmed(NamedTuple):
    """Log line: a worker has accepted this host's token."""

    worker: str
    token: int
    running: int
    waited_s: float


class WorkerReleased(NamedTuple):
    """Log line: this host leads a worker no more."""

    worker: str
    token: int
    reason: str
    runs: int


class WorkerState(NamedTuple):
    """Log line: a worker is lost, back, out of use or in use again."""

    worker: str
    state: str
    reason: str
    heard_s: float


class JobTaken(NamedTuple):
    """Log line: a job was taken from an entry host, or refused."""

    job: str
    route: str
    host: str
    tasks: int
    handovers: int
    wait_s: float
    run_s: float
    queued: int
    outcome: str


class RunOrdered(NamedTuple):
    """Log line: a task was placed on a worker."""

    task: str
    run: int
    worker: str
    free_cores: float
    waited_s: float
    candidates: int


class RunResolved(NamedTuple):
    """Log line: a run has ended, or was proved never to have started."""

    task: str
    run: int
    worker: str
    fate: str
    took_s: float


class JobClosed(NamedTuple):
    """Log line: a leader is done with a job."""

    job: str
    outcome: str
    detail: str
    took_s: float
    runs: int
