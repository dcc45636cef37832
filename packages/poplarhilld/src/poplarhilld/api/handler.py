"""Routes of the HTTP API for callers."""

import math
import re
from collections.abc import Awaitable, Callable

import curio

from poplarhill.exceptions import ErrorKind, Failure, error_body
from poplarhill.http import Request, Response, json_response
from poplarhill.status import HostStatus
from poplarhill.types import JobSpec
from poplarhilld.api.requests import JobAnswer, parse_job
from poplarhilld.jobs import Completed, JobOutcome

KEY_HEADER = "idempotency-key"
JOB_ID_HEADER = "job-id"
_HTTP_OK = 200
_HTTP_ACCEPTED = 202
_HTTP_UNAVAILABLE = 503
_JOB_ID = re.compile("[A-Za-z0-9._-]{1,64}")
_CONFLICT_RETRY_S = 1.0
_MAX_SHOWN_CHARS = 100

Submit = Callable[[JobSpec], Awaitable[JobOutcome]]
Cancel = Callable[[str], Awaitable[bool]]


class Api:
    """Submits the jobs of requests and responds with their outcomes.

    Args:
        submit: Runs a job and returns its outcome.
        cancel: Cancels a job; returns whether it was in flight on this host.
        ready: Returns whether new jobs are accepted.
        status: Returns the status of this host, as shown to operators.
        metrics: Returns the metrics page.
        clock: Returns the host's own time, s.
    """

    def __init__(
        self,
        submit: Submit,
        cancel: Cancel,
        ready: Callable[[], bool],
        status: Callable[[], HostStatus],
        metrics: Callable[[], bytes],
        clock: Callable[[], float],
    ) -> None:
        self._submit = submit
        self._cancel = cancel
        self._ready = ready
        self._status = status
        self._metrics = metrics
        self._clock = clock
        # Ids of the jobs in flight, by the caller's id and by the job id itself.
        self._job_id_by_alias: dict[str, str] = {}

    async def handle(self, request: Request) -> Response:
        """Respond to one request."""
        match (request.method, request.path.strip("/").split("/")):
            case ("POST", ["v1", "services", service, "jobs"]):
                return await self._post_job(service, request)
            case ("DELETE", ["v1", "jobs", job_id]):
                return await self._delete_job(job_id)
            case ("GET", ["v1", "status"]):
                return json_response(_HTTP_OK, self._status())
            case ("GET", ["healthz"]):
                return json_response(_HTTP_OK, {"alive": True})
            case ("GET", ["readyz"]):
                ready = self._ready()
                status = _HTTP_OK if ready else _HTTP_UNAVAILABLE
                return json_response(status, {"ready": ready})
            case ("GET", ["metrics"]):
                headers = {"content-type": "text/plain; version=0.0.4"}
                return Response(_HTTP_OK, headers, self._metrics())
        detail = f"no route for {request.method} {request.path[:_MAX_SHOWN_CHARS]}"
        return _failure_response(None, Failure(ErrorKind.UNKNOWN_PATH, detail))

    async def _post_job(self, service: str, request: Request) -> Response:
        key = request.headers.get(KEY_HEADER)
        parsed = parse_job(service, request.body, key, self._clock())
        if parsed.is_error():
            return _failure_response(None, parsed.error)
        spec = parsed.ok
        requested_id = request.headers.get(JOB_ID_HEADER, spec.job_id)
        refusal = self._check_job_id(requested_id)
        if refusal is not None:
            return _failure_response(None, refusal)
        self._job_id_by_alias[requested_id] = self._job_id_by_alias[spec.job_id] = (
            spec.job_id
        )
        try:
            outcome = await self._submit(spec)
        except curio.CancelledError:
            await curio.disable_cancellation(self._cancel(spec.job_id))
            raise
        finally:
            self._job_id_by_alias.pop(requested_id)
            self._job_id_by_alias.pop(spec.job_id, None)
        return _outcome_response(spec.job_id, outcome)

    def _check_job_id(self, requested_id: str) -> Failure | None:
        if not _JOB_ID.fullmatch(requested_id):
            detail = f"Job-Id must match {_JOB_ID.pattern}"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        if requested_id in self._job_id_by_alias:
            detail = (
                f"a job with Job-Id {requested_id!r} is already in flight on this host"
            )
            return Failure(ErrorKind.CONFLICT, detail, _CONFLICT_RETRY_S)
        return None

    async def _delete_job(self, requested_id: str) -> Response:
        job_id = self._job_id_by_alias.get(requested_id)
        if job_id is not None and await self._cancel(job_id):
            return json_response(_HTTP_ACCEPTED, {"job_id": job_id})
        failure = Failure(
            ErrorKind.UNKNOWN_JOB,
            f"no job {requested_id[:_MAX_SHOWN_CHARS]!r} is in flight on this host",
        )
        return _failure_response(requested_id, failure)


def _outcome_response(job_id: str, outcome: JobOutcome) -> Response:
    match outcome:
        case Completed(results):
            try:
                texts = [result.decode() for result in results]
            except UnicodeDecodeError:
                detail = "a task result is not valid UTF-8"
                return _failure_response(
                    job_id, Failure(ErrorKind.BAD_RESPONSE, detail)
                )
            answer = JobAnswer(job_id=job_id, state="complete", results=texts)
            return json_response(_HTTP_OK, answer)
        case Failure():
            return _failure_response(job_id, outcome)


def _failure_response(job_id: str | None, failure: Failure) -> Response:
    answer = JobAnswer(state="failed", error=error_body(failure))
    if job_id is not None:
        answer["job_id"] = job_id
    headers = {}
    if failure.retry_after_s is not None:
        headers["retry-after"] = str(math.ceil(failure.retry_after_s))
    return json_response(failure.answer.status, answer, headers)
