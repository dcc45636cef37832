"""The demo: jobs of several sizes through three daemons and six workers."""

import json
import time
from typing import NamedTuple

import click
import curio
import msgspec

from poplarhill.http import Request, Response, fetch
from poplarhill_dev.fleet import Fleet

_TASK_COUNTS = (1, 16, 160)
_RUN_S = 0.1
_TIMEOUT_S = 30.0
_HTTP_OK = 200


class DemoAnswer(NamedTuple):
    """One job of the demo.

    Attributes:
        host: Entry host that it was submitted to.
        tasks: Count of its tasks.
        complete: Whether every task was answered with the right result.
        seconds: Response time, s.
    """

    host: str
    tasks: int
    complete: bool
    seconds: float


def run_demo() -> int:
    """Run the demo and return the exit code."""
    click.echo("starting the platform, 6 workers and 3 daemons")
    fleet = Fleet.start(hosts=3, workers=6)
    try:
        answers = [
            _run_job(process.name, process.port, task_count)
            for task_count in _TASK_COUNTS
            for process in fleet.daemons()
        ]
    finally:
        codes = fleet.stop()
    for answer in answers:
        state = "complete" if answer.complete else "NOT COMPLETE"
        click.echo(
            f"{answer.host}: {answer.tasks:3d} tasks {state} in {answer.seconds:.3f} s"
        )
    complete = sum(answer.complete for answer in answers)
    click.echo(f"{complete} of {len(answers)} answers complete")
    stopped = all(codes[name] == 0 for name in codes if name.startswith("h"))
    click.echo("daemons stopped gracefully" if stopped else f"exit codes: {codes}")
    return 0 if complete == len(answers) and stopped else 1


def _run_job(host: str, port: int, task_count: int) -> DemoAnswer:
    echoes = [f"task {index}" for index in range(task_count)]
    tasks = [json.dumps({"run_s": _RUN_S, "echo": echo}) for echo in echoes]
    body = msgspec.json.encode({"tasks": tasks, "timeout_s": _TIMEOUT_S})
    request = Request("POST", "/v1/services/booking/jobs", body=body)
    begin = time.monotonic()
    response: Response = curio.run(fetch, "127.0.0.1", port, request, _TIMEOUT_S)
    seconds = time.monotonic() - begin
    complete = response.status == _HTTP_OK
    complete = complete and msgspec.json.decode(response.body)["results"] == echoes
    if not complete:
        click.echo(f"{host}: {response.status} {response.body.decode()}")
    return DemoAnswer(host, task_count, complete, seconds)
