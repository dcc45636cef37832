"""Capacity of a worker that a run holds or may hold."""

import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

from poplarhill.types import Resources
from poplarhilld.leases.messages import Run


class Offered(Protocol):
    """What a run is done for, such as a job.

    Attributes:
        offer_lapses_at: When its offer lapses unless it is repeated, by the leader's
            clock, s.
    """

    offer_lapses_at: float


class Lapsing(NamedTuple):
    """Stands for a job that is not known, whose offer is not repeated here.

    Attributes:
        offer_lapses_at: When its offer lapses, by the leader's clock, s.
    """

    offer_lapses_at: float


UNLIMITED = Lapsing(math.inf)
LAPSED = Lapsing(-math.inf)


class ReservationState(Enum):
    """What this leader knows about a run that holds capacity.

    Attributes:
        ORDERED: The start order was sent and has no reply yet.
        UNCERTAIN: The worker may or may not have received the start order.
        RUNNING: The worker accepted the order or lists the run.
    """

    ORDERED = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"


@dataclass
class Reservation:
    """Capacity of a worker that a run holds or may hold.

    Attributes:
        run: The run.
        needs: Capacity that it holds; `None` while this is unknown.
        state: What is known about the run.
        deadline_s: Time by the worker's clock after which it cannot start, s.
        job: What it is done for. It gets no lease that outlasts the offer of that by
            more than the time to stop it.
        token: Fencing token under which it was ordered or last listed. If the worker
            has been claimed under another one since, another leader may have had it. 0
            if a new process of the worker may have ended it.
        last_event_at: When it was ordered or discovered, or when the worker last
            answered an order to stop it, by the leader's clock, s. Only a renewal
            that is sent at or after this time can prove that the run never started.
        running_since: When this leader learnt that it runs, by the leader's clock,
            s; 0 before that.
        accepted_clock_s: When the worker accepted the order, by its clock, s; infinite
            if it has listed the run, or did not report its clock.
        stall_check_at: Until then it can't count as stalled, by the leader's clock, s.
    """

    run: Run
    needs: Resources | None
    state: ReservationState
    deadline_s: float
    job: Offered
    token: int
    last_event_at: float
    running_since: float = 0.0
    accepted_clock_s: float = math.inf
    stall_check_at: float = 0.0
