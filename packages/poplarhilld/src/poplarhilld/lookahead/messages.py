"""Log lines of the placement that looks ahead."""

from typing import NamedTuple


class PlacesReserved(NamedTuple):
    """Log line: a job that fits nowhere has reserved places for the first time.

    Attributes:
        job: Id of the job.
        cores: Cores of each place.
        places: Count of the places.
        first: Name of the worker whose place becomes free first.
        wait_s: Expected time until then, s.
        waited_s: Time since the job arrived at its entry host, s.
    """

    job: str
    cores: float
    places: int
    first: str
    wait_s: float
    waited_s: float


class LookaheadSwitched(NamedTuple):
    """Log line: placement begins or ceases to look ahead.

    Attributes:
        active: Whether it looks ahead from now on.
        share: Mean share of a worker that tasks take.
    """

    active: bool
    share: float
