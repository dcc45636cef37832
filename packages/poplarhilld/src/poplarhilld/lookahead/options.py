"""Options of the placement that looks ahead."""

from enum import Enum
from typing import NamedTuple


class LookaheadMode(Enum):
    """When placement looks ahead.

    Attributes:
        AUTO: While tasks take a sizeable share of a worker, as observed.
        ON: Always.
        OFF: Never.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class LookaheadOptions(NamedTuple):
    """When placement looks ahead, and which of its parts are used.

    Attributes:
        mode: When placement looks ahead.
        whole_jobs: Whether a job counts as late once its last task would end late.
        reservations: Whether jobs that wait for long reserve places.
        gap_filling: Whether tasks are chosen by the capacity that they leave unusable.
        upcoming_ends: Whether a task may wait for a place that is about to be free.
        admission: Whether offers are judged by the expected start of the job.
    """

    mode: LookaheadMode = LookaheadMode.AUTO
    whole_jobs: bool = True
    reservations: bool = True
    gap_filling: bool = True
    upcoming_ends: bool = True
    admission: bool = True
