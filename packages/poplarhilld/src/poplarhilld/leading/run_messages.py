"""Log lines on runs whose start or end this leader has not seen itself."""

from typing import NamedTuple


class RunFound(NamedTuple):
    """Log line: a worker reports a run that this leader has not ordered.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Name of the worker.
        action: What follows: "adopted"; "orphan" if this leader does not have the
            job; "stopped" if the task is done or has another run.
        offer_age_s: Longest time since the last offer of an orphan's job, by which its
            lease is extended, s; `None` if that is not known.
    """

    task: str
    run: int
    worker: str
    action: str
    offer_age_s: float | None = None


class WorkersQueried(NamedTuple):
    """Log line: workers are asked for their runs, as a job was handed over.

    Attributes:
        job: Id of the job, which waits for the replies to start tasks.
        workers: Count of the workers that are asked.
        known_s: Time since which the runs of one of them are not known, s.
    """

    job: str
    workers: int
    known_s: float


class RunAdopted(NamedTuple):
    """Log line: a run without a job became that of a job that was offered.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Name of the worker.
        orphan_s: Time since it was found, s.
    """

    task: str
    run: int
    worker: str
    orphan_s: float


class UnknownRunEnded(NamedTuple):
    """Log line: a run has ended that is not, or no longer, that of a job here.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Name of the worker.
        fate: What became of the run, a value of `RunOutcome`.
        listed_s: Time since the request whose reply was the last one before this to
            list the runs of the worker, s.
    """

    task: str
    run: int
    worker: str
    fate: str
    listed_s: float


class RunPresumedEnded(NamedTuple):
    """Log line: a run counts as ended although its worker has not reported that.

    Its task may start again, unless another leader may have had the worker.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Name of the worker.
        reason: Why it counts as ended.
        lease_left_s: Time until the lease ends, or an order may still start, by the
            estimated clock of the worker, s; negative if that has passed.
        heard_s: Time since the last reply of the worker, s.
    """

    task: str
    run: int
    worker: str
    reason: str
    lease_left_s: float
    heard_s: float


class StopOrdered(NamedTuple):
    """Log line: a worker is ordered to stop a run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Name of the worker.
        reason: Why it is stopped.
        repeated: Whether such an order was sent before and the run has not ended.
    """

    task: str
    run: int
    worker: str
    reason: str
    repeated: bool
