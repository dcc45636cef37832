"""Messages between a leader and a worker, and changes of a run's state."""

from enum import Enum
from typing import NamedTuple


class Run(NamedTuple):
    """One attempt to execute a task.

    Attributes:
        task: Name of the task, unique in the fleet.
        number: Number of the attempt. A worker refuses a number that is not higher
            than that of the last run of the task.
    """

    task: str
    number: int


class RunEndKind(Enum):
    """How a run ended on its worker.

    Attributes:
        DONE: The task succeeded.
        FAILED: The task failed.
        STOPPED: A leader stopped the run.
        LAPSED: The lease on the worker expired.
        BROKEN: The run ended in any other way.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


class RunEnd(NamedTuple):
    """The end of a run, as its worker reports it.

    Attributes:
        sequence: Position in the worker's list of ends; each incarnation of the
            worker counts from 1.
        run: The run that ended.
        kind: How it ended.
    """

    sequence: int
    run: Run
    kind: RunEndKind


class Renewal(NamedTuple):
    """A request that renews the lease on a worker and asks for its state.

    Attributes:
        token: Fencing token of the leader.
        last_seen: Sequence of the last end that the leader has processed.
        deadline_s: End of the lease by the worker's clock, s; `None` leaves the
            lease as it is, because the leader does not know that clock well enough.
        wait_s: Longest time that the worker may hold the request until a run ends, s.
        sent_at: When it was sent, by the leader's clock, s.
    """

    token: int
    last_seen: int
    deadline_s: float | None
    wait_s: float
    sent_at: float


class LeaseReply(NamedTuple):
    """The state of a worker, in reply to a renewal.

    Attributes:
        clock_s: The worker's clock, s.
        incarnation: When the worker process started, ms since the Unix epoch.
        running: Runs in progress on the worker.
        ends: Ends of runs after the renewal's `last_seen`, oldest first.
        unreadable_runs: Count of further runs in progress that could not be decoded.
            Any run that is not in `running` may be one of them.
    """

    clock_s: float
    incarnation: int
    running: tuple[Run, ...]
    ends: tuple[RunEnd, ...]
    unreadable_runs: int = 0


class RenewalFailure(Enum):
    """Why a renewal returned no state.

    Attributes:
        FENCED: The worker has accepted a newer fencing token.
        REPLACED: Another worker listens at the address.
        REFUSED: The connection was refused.
        SILENT: The worker did not reply.
        UNHEALTHY: The reply reports an error or cannot be decoded.
    """

    FENCED = "fenced"
    REPLACED = "replaced"
    REFUSED = "refused"
    SILENT = "silent"
    UNHEALTHY = "unhealthy"


class OrderOutcome(Enum):
    """Outcome of an order to start a run.

    Attributes:
        ACCEPTED: The worker started the run.
        FENCED: The worker has accepted a newer fencing token.
        OUTDATED: The worker has seen the same or a higher run number of the task.
        EXPIRED: The order arrived after its deadline.
        NO_ROOM: The worker lacks free capacity.
        UNHEALTHY: The worker is unable to start runs.
        REPLACED: Another worker listens at the address.
        INVALID: The worker rejected the order as malformed.
        UNSENT: The order was not sent.
        UNKNOWN: The order was sent, but the worker may or may not have started the
            run.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OUTDATED = "outdated"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    REPLACED = "replaced"
    INVALID = "invalid"
    UNSENT = "unsent"
    UNKNOWN = "unknown"


class OrderReply(NamedTuple):
    """The reply of a worker to an order to start a run.

    Attributes:
        outcome: Outcome of the order.
        clock_s: The worker's clock, s; `None` if the worker did not report it.
    """

    outcome: OrderOutcome
    clock_s: float | None = None


class RunOutcome(Enum):
    """Outcome of a run that no longer holds capacity.

    Attributes:
        DONE: The task succeeded.
        FAILED: The task failed.
        ENDED: The run ended without a result of the task.
        LOST: The process of its worker ended.
        NEVER_STARTED: The worker did not start the run and will not start it.
        UNKNOWN: The run has ended, and another leader may have acknowledged its end.
    """

    DONE = "done"
    FAILED = "failed"
    ENDED = "ended"
    LOST = "lost"
    NEVER_STARTED = "never_started"
    UNKNOWN = "unknown"


class RunClosed(NamedTuple):
    """A run no longer holds capacity."""

    run: Run
    outcome: RunOutcome


class RunDiscovered(NamedTuple):
    """A worker reports a run that this leader did not know to be running.

    Another leader started it, or the reply to its start order is missing.
    """

    run: Run
