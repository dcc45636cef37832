"""What a leader and a worker tell each other."""

from enum import Enum
from typing import NamedTuple


class Run(NamedTuple):
    """One start of one task.

    Attributes:
        task: Name of the task, unique in the fleet.
        number: Count of the start; a worker refuses numbers that do not rise.
    """

    task: str
    number: int


class RunEndKind(Enum):
    """How a run ended at its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


class RunEnd(NamedTuple):
    """An end that a worker lists.

    Attributes:
        sequence: Position in the worker's list, rising from 1 in each life.
        run: The run.
        kind: How it ended.
    """

    sequence: int
    run: Run
    kind: RunEndKind


class Renewal(NamedTuple):
    """Renews the lease on a worker and asks for its state.

    Attributes:
        token: Fencing token of the leader.
        last_seen: Sequence of the last end that was taken in.
        deadline_s: End of the lease by the worker's clock, s; `None` while
            that clock is not known.
        wait_s: Longest time that the worker may wait for an end, s.
        asked_at: When it was sent, by the leader's clock, s.
    """

    token: int
    last_seen: int
    deadline_s: float | None
    wait_s: float
    sent_at: float


class LeaseReply(NamedTuple):
    """A worker's state, in answer to a renewal.

    Attributes:
        clock_s: The worker's clock, s.
        born: Start of this life of the worker, ms since the epoch.
        running: Runs that it holds.
        ends: Ends after `last_seen`, oldest first.
    """

    clock_s: float
    incarnation: int
    running: tuple[Run, ...]
    ends: tuple[RunEnd, ...]


class RenewalFailure(Enum):
    """Why a renewal brought no state."""

    FENCED = "fenced"
    REPLACED = "replaced"
    REFUSED = "refused"
    SILENT = "silent"
    UNHEALTHY = "unhealthy"


class OrderOutcome(Enum):
    """What a worker made of an order."""

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
    """A worker's answer to an order.

    Attributes:
        outcome: What it made of it.
        clock_s: The worker's clock, s; `None` without an answer.
    """

    outcome: OrderOutcome
    clock_s: float | None = None


class RunOutcome(Enum):
    """What has become of a run that holds no room any more."""

    DONE = "done"
    FAILED = "failed"
    ENDED = "ended"
    NEVER_STARTED = "never_started"


class RunClosed(NamedTuple):
    """A run that holds no room any more."""

    run: Run
    fate: RunOutcome


class RunDiscovered(NamedTuple):
    """A run that another leader had started, or that started after all."""

    run: Run
