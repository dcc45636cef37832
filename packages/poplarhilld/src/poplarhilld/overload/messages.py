"""What the overload control returns and logs."""

from typing import NamedTuple

from poplarhill.exceptions import ErrorKind, Failure


class Shed(NamedTuple):
    """A new job is refused because this host is late.

    Attributes:
        detail: Explanation for people.
        retry_after_s: Time after which the caller may return, s.
    """

    detail: str
    retry_after_s: float

    @property
    def failure(self) -> Failure:
        """The answer to a caller."""
        return Failure(ErrorKind.OVERLOADED, self.detail, self.retry_after_s)


class OverloadBegan(NamedTuple):
    """Log line: this host is late and begins to refuse some of the new jobs.

    Attributes:
        delay_s: How late its event loop is, s.
        busy: Share of its processor that the last turn of the loop used.
    """

    delay_s: float
    busy: float


class OverloadProgress(NamedTuple):
    """Log line, once a second at most: the overload goes on.

    Attributes:
        delay_s: How late the event loop is, s.
        busy: Share of the processor that the last turn of the loop used.
        accepted_share: Share of new jobs that is accepted.
        accepted: New jobs accepted since the last such line.
        refused: New jobs refused since then.
    """

    delay_s: float
    busy: float
    accepted_share: float
    accepted: int
    refused: int


class OverloadEnded(NamedTuple):
    """Log line: this host has accepted all new jobs for a second and is not late.

    Attributes:
        lasted_s: Time since it began to refuse jobs, s.
        refused: New jobs refused in that time.
    """

    lasted_s: float
    refused: int
