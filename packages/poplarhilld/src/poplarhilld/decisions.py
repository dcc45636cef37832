"""The action that writes a decision to the log."""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True)
class LogDecision:
    """Write a decision to the log.

    Attributes:
        decision: A named tuple. The name of its type is the event of the log line.
            Its fields are the inputs and the choice, enough to replay the decision.
    """

    decision: NamedTuple
