"""Error kinds, the response to each of them, and the command's exceptions.

Every failure that is returned to a caller, shown to an operator or logged has one
of the kinds in `ErrorKind`; the list is closed. `ANSWERS` maps each kind to its only
response: HTTP status, whether the work may have started, advice on retries, and exit
code of the command.
"""

from enum import Enum
from typing import NamedTuple, TypedDict


class RunState(Enum):
    """Whether the work of a failed request may have started."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class RetryAdvice(Enum):
    """Whether and how a caller should retry the same request."""

    NEVER = "never"
    LATER = "later"
    NEW_KEY = "new_key"


class ErrorKind(Enum):
    """The closed list of the kinds of failure."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_JOB = "unknown_job"
    IMPOSSIBLE = "impossible"
    EXPIRED = "expired"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    STOPPED = "stopped"
    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    NOT_READY = "not_ready"
    NO_WORKERS = "no_workers"
    SHUTTING_DOWN = "shutting_down"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    DUPLICATE = "duplicate"
    TASK_FAILED = "task_failed"
    WORKER_LOST = "worker_lost"
    BAD_RESPONSE = "bad_response"
    CONFLICT = "conflict"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """The response to a failure of one kind.

    Attributes:
        status: HTTP status code.
        run_state: Whether the work may have started.
        retry: Whether and how the caller should retry.
        exit_code: Exit code of the operators' command.
    """

    status: int
    run_state: RunState
    retry: RetryAdvice
    exit_code: int


_NOT_RUN = RunState.NOT_RUN
_MAY_HAVE_RUN = RunState.MAY_HAVE_RUN
_NEVER = RetryAdvice.NEVER
_LATER = RetryAdvice.LATER
_NEW_KEY = RetryAdvice.NEW_KEY

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, _NEVER, 2),
    ErrorKind.TOO_LARGE: Answer(413, _NOT_RUN, _NEVER, 2),
    ErrorKind.REQUEST_TIMEOUT: Answer(408, _NOT_RUN, _LATER, 3),
    ErrorKind.UNKNOWN_PATH: Answer(404, _NOT_RUN, _NEVER, 2),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, _NOT_RUN, _NEVER, 4),
    ErrorKind.UNKNOWN_JOB: Answer(404, _NOT_RUN, _NEVER, 4),
    ErrorKind.IMPOSSIBLE: Answer(422, _NOT_RUN, _NEVER, 4),
    ErrorKind.EXPIRED: Answer(504, _NOT_RUN, _LATER, 5),
    ErrorKind.TIMEOUT: Answer(504, _MAY_HAVE_RUN, _NEW_KEY, 6),
    ErrorKind.CANCELLED: Answer(499, _NOT_RUN, _NEVER, 5),
    ErrorKind.STOPPED: Answer(499, _MAY_HAVE_RUN, _NEVER, 6),
    ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, _LATER, 3),
    ErrorKind.QUOTA_EXCEEDED: Answer(429, _NOT_RUN, _LATER, 3),
    ErrorKind.NOT_READY: Answer(503, _NOT_RUN, _LATER, 3),
    ErrorKind.NO_WORKERS: Answer(503, _NOT_RUN, _LATER, 3),
    ErrorKind.SHUTTING_DOWN: Answer(503, _NOT_RUN, _LATER, 3),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(503, _NOT_RUN, _LATER, 3),
    ErrorKind.DUPLICATE: Answer(409, _MAY_HAVE_RUN, _NEVER, 6),
    ErrorKind.TASK_FAILED: Answer(502, _MAY_HAVE_RUN, _NEW_KEY, 6),
    ErrorKind.WORKER_LOST: Answer(502, _MAY_HAVE_RUN, _NEW_KEY, 6),
    ErrorKind.BAD_RESPONSE: Answer(502, _MAY_HAVE_RUN, _NEW_KEY, 6),
    ErrorKind.CONFLICT: Answer(409, _NOT_RUN, _LATER, 7),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, _NOT_RUN, _LATER, 3),
    ErrorKind.INTERNAL: Answer(500, _MAY_HAVE_RUN, _NEVER, 1),
}


class Failure(NamedTuple):
    """The failure of one request.

    Attributes:
        kind: Kind of the failure.
        detail: Human-readable explanation, one sentence.
        retry_after_s: Seconds to wait before a retry, if a retry can help.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None

    @property
    def answer(self) -> Answer:
        """The entry of `ANSWERS` for this kind."""
        return ANSWERS[self.kind]


class ErrorBody(TypedDict, total=False):
    """JSON form of a failure, as it is sent to callers."""

    kind: str
    detail: str
    run_state: str
    retry: str
    retry_after_s: float


def error_body(failure: Failure) -> ErrorBody:
    """Return the JSON form of a failure."""
    body = ErrorBody(
        kind=failure.kind.value,
        detail=failure.detail,
        run_state=failure.answer.run_state.value,
        retry=failure.answer.retry.value,
    )
    if failure.retry_after_s is not None:
        body["retry_after_s"] = round(failure.retry_after_s, 3)
    return body


class PoplarhillError(Exception):
    """Base class of the exceptions that a command reports to its user.

    Args:
        failure: The failure to report.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self._failure = failure

    @property
    def failure(self) -> Failure:
        """The failure to report."""
        return self._failure

    @property
    def exit_code(self) -> int:
        """Exit code of a command that fails with this error."""
        return self._failure.answer.exit_code

    def format_message(self) -> str:
        """Return the error as one line of text for the user."""
        message = f"{self._failure.kind.value}: {self._failure.detail}"
        if self._failure.retry_after_s is not None:
            message += f" (retry after {self._failure.retry_after_s:g} s)"
        return message


class SettingsError(PoplarhillError):
    """Settings or a configuration document are invalid.

    Args:
        problems: One line for each problem, starting with the path of the bad
            value.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__(Failure(ErrorKind.BAD_REQUEST, "; ".join(problems)))
        self._problems = problems

    @property
    def problems(self) -> tuple[str, ...]:
        """Every problem found, each starting with the path of the bad value."""
        return self._problems
