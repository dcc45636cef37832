"""Commands for the logs of entry hosts: history of a job, leaders of workers."""

from collections.abc import Iterator
from pathlib import Path

import click

from poplarhill.cli._support import bad_request
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError
from poplarhill.story import (
    JobEvent,
    Line,
    failure_reason,
    job_events,
    read_lines,
    worker_leaders,
)

_files = click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path)
)


@click.group()
def log() -> None:
    """Show the history of a job or the leaders of workers from log files."""


@log.command("job")
@click.argument("job_id")
@_files
def explain_job(job_id: str, files: tuple[Path, ...]) -> None:
    """Show all lines about a job in FILES, and why it was refused or failed."""
    events = job_events(_lines(files), job_id)
    if not events:
        detail = f"no line of job {job_id} in {len(files)} files"
        raise PoplarhillError(Failure(ErrorKind.UNKNOWN_JOB, detail))
    for entry in events:
        click.echo(_format_event(entry))
    reason = failure_reason(events)
    if reason is not None:
        click.echo(f"not completed: {reason}")


@log.command("workers")
@_files
def explain_workers(files: tuple[Path, ...]) -> None:
    """Show the leader of each worker at the end of FILES, since when, and its token."""
    for worker, host, token, since, state, reason in worker_leaders(_lines(files)):
        click.echo(f"{worker} {state} by {host} since {since} token {token}: {reason}")


def _lines(files: tuple[Path, ...]) -> Iterator[Line]:
    for path in files:
        try:
            with path.open("rb") as text:
                yield from read_lines(text)
        except OSError as error:
            raise bad_request(f"{path}: {error.strerror}") from error


def _format_event(entry: JobEvent) -> str:
    details = " ".join(f"{name}={value}" for name, value in entry.details.items())
    return f"{entry.time} {entry.host} {entry.event} {details}"
