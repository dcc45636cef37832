"""An open-loop load generator that submits planned jobs at their arrival times.

It never waits for an answer before it submits the next job. It records how late it
submitted each job, so that its own delay can be told from the fleet's.
"""

import json
import time
from pathlib import Path
from typing import Any

import curio
import msgspec

from poplarhill.http import (
    Connection,
    ConnectionLostError,
    IdleState,
    InvalidResponseError,
    Limits,
    Request,
    Response,
)
from poplarhill_dev.experiment.workload import PlannedJob

_HOST = "127.0.0.1"
_LIMITS = Limits()
_CONNECT_TIMEOUT_S = 1.0
_ANSWER_MARGIN_S = 10.0
_PATH = "/v1/services/booking/jobs"


class LoadPlan(msgspec.Struct):
    """Jobs that one load process submits.

    Attributes:
        start: When the load starts, by the machine's monotonic clock, s.
        ports: Port of each entry host.
        jobs: Jobs in order of arrival.
    """

    start: float
    ports: list[int]
    jobs: list[PlannedJob]


class CallerResult(msgspec.Struct):
    """Result of one job as its caller saw it.

    Attributes:
        name: Name of the job in the plan.
        at_s: Planned arrival, s from the start of the load.
        late_s: Delay from the planned arrival until submission, s.
        response_s: Time from the planned arrival until the answer, s.
        tasks: Number of tasks.
        longest_s: Run time of the longest task, s.
        host: Index of the entry host that answered.
        outcome: `complete`, the error kind of the answer, or why there is no answer.
        run_state: Run state in a failure answer.
        whole: Whether all results arrived, correct and in order.
        results: The results received.
        key: Idempotency key of the job, if any.
        job_id: Job id in the answer, if any.
        hung_up: Whether the caller hung up.
    """

    name: str
    at_s: float
    late_s: float
    response_s: float
    tasks: int
    longest_s: float
    host: int
    outcome: str
    run_state: str = ""
    whole: bool = False
    results: list[str] = []
    key: str | None = None
    job_id: str | None = None
    hung_up: bool = False


class LoadGenerator:
    """Submits the jobs of one plan.

    Args:
        plan: Jobs to submit.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._idle: dict[int, list[Connection]] = {}
        self._answers: list[CallerResult] = []

    async def run(self) -> list[CallerResult]:
        """Submit every job and return the result of each."""
        requests = [(job, _request(job)) for job in self._plan.jobs]
        async with curio.TaskGroup() as group:
            for job, request in requests:
                delay_s = self._plan.start + job.at_s - time.monotonic()
                if delay_s > 0:
                    await curio.sleep(delay_s)
                await group.spawn(self._submit, job, request)
        return self._answers

    async def _submit(self, job: PlannedJob, request: Request) -> None:
        due = self._plan.start + job.at_s
        late_s = time.monotonic() - due
        host, response, failure = await self._exchange(job, request)
        result = CallerResult(
            name=job.name,
            at_s=job.at_s,
            late_s=round(late_s, 6),
            response_s=round(time.monotonic() - due, 6),
            tasks=len(job.run_s),
            longest_s=job.longest_s,
            host=host,
            outcome=failure,
            key=job.key,
            hung_up=failure == "hung up",
        )
        if response is not None:
            _read_response(result, response, _echoes(job))
        self._answers.append(result)

    async def _exchange(
        self, job: PlannedJob, request: Request
    ) -> tuple[int, Response | None, str]:
        """Submit a job to its host, or to the next host that accepts a connection.

        Returns:
            Index of the host, its response if any, and the failure or "".
        """
        ports = self._plan.ports
        for shift in range(len(ports)):
            host = (job.host + shift) % len(ports)
            try:
                connection = await self._connection(ports[host])
            except ConnectionLostError:
                continue
            limit_s = job.timeout_s + _ANSWER_MARGIN_S
            if job.hang_up_s is not None:
                limit_s = self._plan.start + job.hang_up_s - time.monotonic()
            try:
                response = await curio.timeout_after(
                    max(0.0, limit_s), connection.exchange, request
                )
            except ConnectionLostError:
                await connection.close()
                return host, None, "connection lost"
            except InvalidResponseError:
                await connection.close()
                return host, None, "invalid response"
            except curio.TaskTimeout:
                await connection.close()
                hung_up = job.hang_up_s is not None
                return host, None, "hung up" if hung_up else "no answer"
            await self._reuse_or_close(ports[host], connection)
            return host, response, ""
        return job.host, None, "no host"

    async def _connection(self, port: int) -> Connection:
        idle = self._idle.setdefault(port, [])
        while idle:
            connection = idle.pop()
            if connection.idle_state() is IdleState.USABLE:
                return connection
            await connection.close()
        return await Connection.open(_HOST, port, _LIMITS, _CONNECT_TIMEOUT_S)

    async def _reuse_or_close(self, port: int, connection: Connection) -> None:
        if connection.reusable:
            self._idle[port].append(connection)
        else:
            await connection.close()


async def run_load(plan_path: Path, out: Path) -> None:
    """Run the load plan of one file and write the results to another file."""
    plan = msgspec.json.decode(plan_path.read_bytes(), type=LoadPlan)
    answers = await LoadGenerator(plan).run()
    out.write_bytes(msgspec.json.encode(answers))


def _echoes(job: PlannedJob) -> list[str]:
    return [f"{job.name}/{index}" for index in range(len(job.run_s))]


def _request(job: PlannedJob) -> Request:
    tasks = [
        json.dumps({"run_s": run_s, "echo": echo})
        for run_s, echo in zip(job.run_s, _echoes(job), strict=True)
    ]
    fields: dict[str, Any] = {
        "tasks": tasks,
        "timeout_s": job.timeout_s,
        "customer": job.customer,
        "run_time_s": job.declared_s,
        "idempotent": job.key is None,
    }
    headers = {"idempotency-key": job.key} if job.key else {}
    return Request("POST", _PATH, headers=headers, body=msgspec.json.encode(fields))


def _read_response(result: CallerResult, response: Response, echoes: list[str]) -> None:
    try:
        body = msgspec.json.decode(response.body)
    except msgspec.MsgspecError:
        result.outcome = "not JSON"
        return
    result.job_id = body.get("job_id")
    if body.get("state") == "complete":
        result.outcome = "complete"
        result.results = body["results"]
        result.whole = result.results == echoes
    else:
        result.outcome = body["error"]["kind"]
        result.run_state = body["error"]["run_state"]
