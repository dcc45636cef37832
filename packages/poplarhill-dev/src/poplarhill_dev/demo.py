"""The demo: jobs of several sizes through three daemons and six workers."""

import json
import time
from typing import NamedTuple

import click
import curio
import msgspec

from poplarhill.http import Request, Response, fetch
from poplarhill_dev.fleet import Fleet

_SIZES = (1, 16, 160)
_RUN_S = 0.1
_TIMEOUT_S = 30.0
_HTTP_OK = 200


class DemoAnswer(NamedTuple):
    """One job of the demo.

    Attributes:
        host: Entry host that took it.
        tasks: Its size.
        whole: Whether the whole right answer came.
        seconds: Response time, s.
    """

    host: str
    tasks: int
    whole: bool
    seconds: float


def run_demo() -> int:
    """Run the demo and return the exit code."""
    click.echo("starting the platform, 6 workers and 3 daemons")
    fleet = Fleet.start(hosts=3, workers=6)
    try:
        answers = [
            _run_job(process.name, process.port, size)
            for size in _SIZES
            for process in fleet.daemons()
        ]
    finally:
        codes = fleet.stop()
    for answer in answers:
        state = "complete" if answer.whole else "NOT WHOLE"
        click.echo(
            f"{answer.host}: {answer.tasks:3d} tasks {state} in {answer.seconds:.3f} s"
        )
    whole = sum(answer.whole for answer in answers)
    click.echo(f"{whole} of {len(answers)} answers whole")
    stopped = all(codes[name] == 0 for name in codes if name.startswith("h"))
    click.echo("daemons stopped gracefully" if stopped else f"exit codes: {codes}")
    return 0 if whole == len(answers) and stopped else 1


def _run_job(host: str, port: int, size: int) -> DemoAnswer:
    echoes = [f"task {index}" for index in range(size)]
    tasks = [json.dumps({"run_s": _RUN_S, "echo": echo}) for echo in echoes]
    body = msgspec.json.encode({"tasks": tasks, "timeout_s": _TIMEOUT_S})
    request = Request("POST", "/v1/services/booking/jobs", body=body)
    begin = time.monotonic()
    response: Response = curio.run(fetch, "127.0.0.1", port, request, _TIMEOUT_S)
    seconds = time.monotonic() - begin
    whole = response.status == _HTTP_OK
    whole = whole and msgspec.json.decode(response.body)["results"] == echoes
    if not whole:
        click.echo(f"{host}: {response.status} {response.body.decode()}")
    return DemoAnswer(host, size, whole, seconds)
