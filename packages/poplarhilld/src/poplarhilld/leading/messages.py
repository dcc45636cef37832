"""Actions of a leader, and the lines that it writes to the log."""

from dataclasses import dataclass
from typing import NamedTuple

from poplarhilld.catalogue import WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.leases import Renewal, Run
from poplarhilld.peers.messages import JobProgress, JobReport


class Order(NamedTuple):
    """An order to start a run.

    Attributes:
        run: The run.
        body: Input of the task.
        deadline_s: Time by the worker's clock after which it must not start, s.
        token: Fencing token of the leader.
    """

    run: Run
    body: str
    deadline_s: float
    token: int


@dataclass(frozen=True)
class RenewLease:
    """Renew the lease on a worker.

    Attributes:
        worker: The worker.
        renewal: The renewal to send.
        pause_s: Time to wait before it is sent, s.
    """

    worker: WorkerEntry
    renewal: Renewal
    pause_s: float = 0.0


@dataclass(frozen=True)
class QueryWorker:
    """Query the state of a worker at once, beside the renewal that is under way."""

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
    """Send the progress or outcome of a job to an entry host."""

    host: str
    report: JobReport


@dataclass(frozen=True)
class ShareReport:
    """Send a report that is about the tasks of any jobs to all hosts."""

    report: JobProgress


@dataclass(frozen=True)
class SendClock:
    """Send a heartbeat to a host soon, so that its next offers can be dated."""

    host: str


LeaderAction = (
    RenewLease
    | QueryWorker
    | StartRun
    | StopRun
    | ReportJob
    | ShareReport
    | SendClock
    | LogDecision
)


class WorkerTaken(NamedTuple):
    """Log line: this host has claimed a worker.

    Attributes:
        worker: Name of the worker.
        address: Its address, as `host:port`.
        token: Fencing token of this host for it.
        reason: Why it was claimed.
        lease_s: Longest lease that it grants, s.
    """

    worker: str
    address: str
    token: int
    reason: str
    lease_s: float


class WorkerConfirmed(NamedTuple):
    """Log line: a worker has accepted the fencing token of this host.

    Attributes:
        worker: Name of the worker.
        token: The token.
        running: Count of runs that the worker reports as running.
        waited_s: Time from the renewal to this reply, s.
    """

    worker: str
    token: int
    running: int
    waited_s: float


class WorkerReleased(NamedTuple):
    """Log line: this host has stopped leading a worker.

    Attributes:
        worker: Name of the worker.
        token: Fencing token that this host had for it.
        reason: Why it was released.
        runs: Count of runs that held capacity of it.
    """

    worker: str
    token: int
    reason: str
    runs: int


class WorkerState(NamedTuple):
    """Log line: the state of a worker has changed.

    Attributes:
        worker: Name of the worker.
        state: "lost", "back", "fenced", "ejected" or "restored".
        reason: Why it has changed.
        heard_s: Time since the last reply of the worker, s.
    """

    worker: str
    state: str
    reason: str
    heard_s: float


class JobTaken(NamedTuple):
    """Log line: a job that an entry host offered was taken, joined or refused.

    Attributes:
        job: Id of the job.
        route: Its route.
        host: Entry host that offered it first.
        tasks: Count of its tasks.
        handovers: Count of earlier leaders that it was offered to.
        wait_s: Expected time until it starts, s.
        run_s: Expected run time of its longest chain of steps, s.
        queued: Count of jobs that this leader has.
        outcome: "taken", "joined" if it was accepted before, or "refused: " with
            the kind of the error and its detail.
        offered_by: Entry host of this offer.
        number: Number of the submission at that host.
        age_s: Time since the submission was received there, s.
        left_s: Time until its deadline, s.
        ran_before: Whether this leader had ordered runs of the job before it was
            offered again.
        knows_runs: Whether this leader knows all runs that the job has had at earlier
            leaders; if not, it starts none of its tasks.
    """

    job: str
    route: str
    host: str
    tasks: int
    handovers: int
    wait_s: float
    run_s: float
    queued: int
    outcome: str
    offered_by: str
    number: int
    age_s: float
    left_s: float
    ran_before: bool
    knows_runs: bool = True


class OfferAnswered(NamedTuple):
    """Log line: an offered job was answered from its recorded outcome.

    Attributes:
        job: Id of the job.
        offered_by: Entry host of this offer.
        number: Number of the submission at that host.
        outcome: "complete" or the kind of the error.
    """

    job: str
    offered_by: str
    number: int
    outcome: str


class JobWithdrawal(NamedTuple):
    """Log line: a submission of a job was withdrawn from this leader.

    Attributes:
        job: Id of the job.
        withdrawn_by: Entry host of the submission.
        reason: Why it was withdrawn.
        subscribers: Count of submissions that still wait for the job.
        under_way: Count of its runs that are or may be under way.
    """

    job: str
    withdrawn_by: str
    reason: str
    subscribers: int
    under_way: int


class LostHostWithdrawn(NamedTuple):
    """Log line: the jobs of a lost entry host were withdrawn.

    Attributes:
        lost: Name of the host.
        reason: Why its jobs were withdrawn.
        lost_s: Time since it was no longer considered live, s.
        jobs: Count of the jobs.
    """

    lost: str
    reason: str
    lost_s: float
    jobs: int


class RunOrdered(NamedTuple):
    """Log line: a run of a task was ordered from a worker.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Name of the worker.
        free_cores: Free cores of the worker before the order.
        waited_s: Time since the job arrived at its entry host, s.
        candidates: Count of workers that could be given tasks.
        data: Where it runs in relation to its data: `none` if it names no rack, `near`
            or `remote`.
    """

    task: str
    run: int
    worker: str
    free_cores: float
    waited_s: float
    candidates: int
    data: str = "none"


class RunResolved(NamedTuple):
    """Log line: a run has ended, or is certain never to have started.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Name of the worker.
        fate: What became of the run, a value of `RunOutcome`.
        took_s: Time since the run was ordered or adopted, s.
        listed_s: Time since the request whose reply was the last one before this to
            list the runs of the worker, s. An end that was reported lies within it.
    """

    task: str
    run: int
    worker: str
    fate: str
    took_s: float
    listed_s: float


class TaskSuspected(NamedTuple):
    """Log line: a worker was lost that may have crashed under a task.

    Attributes:
        task: Name of the task.
        worker: Name of the worker.
        incarnation: When the lost process started, ms since the Unix epoch.
        lost: Count of workers lost under the task that have not come back.
    """

    task: str
    worker: str
    incarnation: int
    lost: int


class TaskCleared(NamedTuple):
    """Log line: a worker that was lost under a task responds again; it was cut off.

    Attributes:
        task: Name of the task.
        worker: Name of the worker.
        lost: Count of workers lost under the task that have not come back.
    """

    task: str
    worker: str
    lost: int


class JobClosed(NamedTuple):
    """Log line: a leader has closed a job.

    Attributes:
        job: Id of the job.
        outcome: "complete" or the kind of the error.
        detail: Explanation of the error; empty without one.
        took_s: Time since the job arrived at its entry host, s.
        runs: Count of runs that were ordered or adopted for it.
        tasks: Count of its tasks.
        cores: Cores that all its tasks need together.
        last_start_s: Time from the job's arrival until its last task was started, s;
            `None` if that is unknown or a task was never started.
        mean_run_s: Mean run time of its tasks so far, s; `None` if that is unknown.
        longest_run_s: Longest of these run times, s.
    """

    job: str
    outcome: str
    detail: str
    took_s: float
    runs: int
    tasks: int
    cores: float
    last_start_s: float | None
    mean_run_s: float | None
    longest_run_s: float | None


class OfferIgnored(NamedTuple):
    """Log line: a leader has ignored an offer that was too long under way.

    Attributes:
        job: Id of the job.
        host: Entry host that sent it.
        age_s: How long it was under way, s; `None` if that is not known.
    """

    job: str
    host: str
    age_s: float | None
