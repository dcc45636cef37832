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
        whole_jobs: Whether jobs start in the order of the credit that their waiting
            tasks are expected to gain.
        reservations: Whether the first jobs that fit nowhere reserve places.
    """

    mode: LookaheadMode = LookaheadMode.AUTO
    whole_jobs: bool = True
    reservations: bool = True


LOOKAHEAD_OFF = LookaheadOptions(LookaheadMode.OFF)
