"""What becomes of a job."""

from typing import NamedTuple

from poplarhill.exceptions import Failure


class Completed(NamedTuple):
    """A job whose every task succeeded.

    Attributes:
        results: One body a task, in task order.
    """

    results: tuple[bytes, ...]


JobOutcome = Completed | Failure
