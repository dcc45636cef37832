"""Commands for jobs: submit, cancel."""

import click
import msgspec

from poplarhill.cli._support import call, host_option
from poplarhill.http import Request

_ANSWER_MARGIN_S = 1.0


@click.group()
def job() -> None:
    """Submit and cancel jobs."""


@job.command()
@click.argument("service")
@click.argument("bodies", nargs=-1, required=True)
@host_option
@click.option(
    "--timeout", default=10.0, help="Longest time to wait for the response, s."
)
@click.option(
    "--customer", default="default", help="Customer whose quota the job counts against."
)
@click.option(
    "--job-id", help="Id by which the job can be cancelled while it is in flight."
)
@click.option("--key", help="Idempotency key; the job is then not run more than once.")
def submit(
    service: str,
    bodies: tuple[str, ...],
    host: tuple[str, int],
    timeout: float,
    customer: str,
    job_id: str | None,
    key: str | None,
) -> None:
    """Submit a job with one task for each of BODIES and print the response."""
    job_request = {"tasks": bodies, "timeout_s": timeout, "customer": customer}
    headers = {} if job_id is None else {"job-id": job_id}
    if key is not None:
        headers["idempotency-key"] = key
        job_request["idempotent"] = False
    path = f"/v1/services/{service}/jobs"
    body = msgspec.json.encode(job_request)
    request = Request("POST", path, headers=headers, body=body)
    response = call(host, request, timeout + _ANSWER_MARGIN_S)
    click.echo(response.body.decode())


@job.command()
@click.argument("job_id")
@host_option
def cancel(job_id: str, host: tuple[str, int]) -> None:
    """Cancel a job that is in flight on an entry host."""
    call(host, Request("DELETE", f"/v1/jobs/{job_id}"))
    click.echo(f"cancelled {job_id}")
