"""JSON bodies of the requests and responses of the HTTP API."""

import uuid
from typing import Annotated, TypedDict

import msgspec
from expression import Error, Ok, Result

from poplarhill.decoding import (
    Accelerators,
    Cores,
    Duration,
    InvalidDataError,
    MemoryMb,
    decode_json,
)
from poplarhill.exceptions import ErrorBody, ErrorKind, Failure
from poplarhill.types import MAX_TASKS_PER_JOB, JobSpec, Resources

_DEFAULT_TIMEOUT_S = 30.0
_MAX_TIMEOUT_S = 3600.0
_MAX_KEY_CHARS = 200
_MAX_VALUES = 1024  # a job of 160 tasks has fewer

_Tasks = Annotated[list[str], msgspec.Meta(min_length=1, max_length=MAX_TASKS_PER_JOB)]
_Timeout = Annotated[float, msgspec.Meta(le=_MAX_TIMEOUT_S)]
_Name = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]


class JobRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that submits a job.

    Attributes:
        tasks: Bodies of the tasks, passed to the workers unchanged.
        timeout_s: Time from now until the response is due, s.
        customer: Customer whose quota the job counts against.
        idempotent: Whether it is safe to run the job more than once.
        cores: Processor cores that each task needs.
        memory_mb: Memory that each task needs, MB.
        accelerators: Accelerators that each task needs.
        run_time_s: Expected run time of a task, s.
    """

    tasks: _Tasks
    timeout_s: _Timeout = _DEFAULT_TIMEOUT_S
    customer: _Name = "default"
    idempotent: bool = True
    cores: Cores = 0.0
    memory_mb: MemoryMb = 0
    accelerators: Accelerators = 0
    run_time_s: Duration | None = None


class JobAnswer(TypedDict, total=False):
    """Body of the response: all results or one error.

    Attributes:
        job_id: ID of the job.
        state: `complete` or `failed`.
        results: Results of a completed job, in task order.
        error: Error of a failed job.
    """

    job_id: str
    state: str
    results: list[str]
    error: ErrorBody


def parse_job(
    service: str, body: bytes, key: str | None, now: float
) -> Result[JobSpec, Failure]:
    """Parse and check the body of a submission.

    Args:
        service: Name of the service, from the path.
        body: JSON body.
        key: Value of the `Idempotency-Key` header, if any.
        now: The host's own clock, s.
    """
    try:
        request = decode_json(body, JobRequest, _MAX_VALUES)
    except InvalidDataError as error:
        return Error(Failure(ErrorKind.BAD_REQUEST, str(error)))
    if key is not None and not 0 < len(key) <= _MAX_KEY_CHARS:
        detail = f"Idempotency-Key must have 1 to {_MAX_KEY_CHARS} characters"
        return Error(Failure(ErrorKind.BAD_REQUEST, detail))
    return Ok(
        JobSpec(
            job_id=uuid.uuid4().hex,
            service=service,
            customer=request.customer,
            tasks=tuple(task.encode() for task in request.tasks),
            deadline=now + request.timeout_s,
            idempotent=request.idempotent,
            key=key,
            resources=Resources(request.cores, request.memory_mb, request.accelerators),
            run_time_s=request.run_time_s,
        )
    )
