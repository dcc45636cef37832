"""Outcomes of jobs."""

from typing import NamedTuple

from poplarhill.exceptions import Failure


class Completed(NamedTuple):
    """Outcome of a job of which every task succeeded.

    Attributes:
        results: The result of each task, in task order.
    """

    results: tuple[bytes, ...]


JobOutcome = Completed | Failure
