"""The action that writes a decision to the log."""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True)
class LogDecision:
    """Write the log line of a decision.

    Attributes:
        decision: A named tuple; its type names the line, its fields are the
            inputs and the choice, enough to replay the decision.
    """

    decision: NamedTuple
