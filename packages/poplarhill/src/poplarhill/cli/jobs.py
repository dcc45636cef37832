"""Commands on jobs: submit."""

import click
import curio
import msgspec

from poplarhill.cli._support import Address, CommandGroup
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError
from poplarhill.http import ConnectionLostError, InvalidResponseError, Request, fetch

_HTTP_OK = 200


@click.group(cls=CommandGroup)
def job() -> None:
    """Submit jobs."""


@job.command()
@click.argument("service")
@click.argument("bodies", nargs=-1, required=True)
@click.option("--host", type=Address(), required=True, help="Entry host to ask.")
@click.option("--timeout", default=10.0, help="Longest wait for the answer, s.")
@click.option("--customer", default="default", help="Customer it counts against.")
def submit(
    service: str,
    bodies: tuple[str, ...],
    host: tuple[str, int],
    timeout: float,
    customer: str,
) -> None:
    """Submit a job with one task for each of BODIES and print its answer."""
    job_request = {"tasks": bodies, "timeout_s": timeout, "customer": customer}
    request = Request(
        "POST", f"/v1/services/{service}/jobs", body=msgspec.json.encode(job_request)
    )
    try:
        response = curio.run(fetch, *host, request, timeout + 1.0)
    except (ConnectionLostError, InvalidResponseError) as error:
        failure = Failure(ErrorKind.INTERNAL, str(error))
        raise PoplarhillError(failure) from error
    click.echo(response.body.decode())
    if response.status != _HTTP_OK:
        raise click.exceptions.Exit(1)
