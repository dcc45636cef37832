"""Commands for the logs of entry hosts: history of a job, leaders of workers."""

from collections.abc import Iterator
from pathlib import Path

import click

from poplarhill.cli._support import bad_request
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError
from poplarhill.overlaps import Overlap, TaskRun, find_overlaps, time_text
from poplarhill.story import (
    Attempt,
    JobEvent,
    Line,
    attempts,
    failure_reason,
    job_events,
    read_lines,
    worker_leaders,
)

_EXIT_OVERLAP = 1

_files = click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path)
)


@click.group()
def log() -> None:
    """Show the history of a job, leaders of workers or overlapping runs from logs."""


@log.command("job")
@click.argument("job_id")
@_files
def explain_job(job_id: str, files: tuple[Path, ...]) -> None:
    """Show all lines about a job in FILES, and why it was refused or failed.

    A job that was submitted more than once has a line for each submission first.
    """
    events = job_events(_lines(files), job_id)
    if not events:
        detail = f"no line of job {job_id} in {len(files)} files"
        raise PoplarhillError(Failure(ErrorKind.UNKNOWN_JOB, detail))
    submitted = attempts(events)
    if len(submitted) > 1:
        for count, attempt in enumerate(submitted, start=1):
            click.echo(f"attempt {count}: {_format_attempt(attempt)}")
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


@log.command("overlaps")
@_files
def show_overlaps(files: tuple[Path, ...]) -> None:
    """Show the tasks in FILES of which two runs may have been under way at once.

    The most certain ones come first. The exit code is 1 if two runs were under way at
    the same time for certain. FILES should be the logs of all hosts; where lines are
    missing, more overlaps look possible than there were.
    """
    overlaps = find_overlaps(_lines(files))
    wanted = {overlap.task.partition(".")[0] for overlap in overlaps}
    events: dict[str, list[JobEvent]] = {job: [] for job in wanted}
    for line in _lines(files) if wanted else ():
        if line.get("job") in wanted:
            events[line["job"]] += job_events([line], line["job"])
    for overlap in overlaps:
        click.echo(_format_overlap(overlap))
        for run in (overlap.first, overlap.second):
            click.echo(f"  {_format_run(run)}")
        job = overlap.task.partition(".")[0]
        for attempt in attempts(sorted(events[job], key=lambda entry: entry.time)):
            click.echo(f"  submitted: {_format_attempt(attempt)}")
    certain = sum(overlap.certain_s > 0 for overlap in overlaps)
    click.echo(f"{certain} certain and {len(overlaps) - certain} possible overlaps")
    if certain:
        click.get_current_context().exit(_EXIT_OVERLAP)


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


def _format_attempt(attempt: Attempt) -> str:
    answered = "no answer in the logs"
    if attempt.answered_at:
        answered = f"{attempt.outcome} at {attempt.answered_at}"
        if attempt.limit_s:
            answered += f", limit {attempt.limit_s} s"
    leaders = ", ".join(attempt.leaders) or "none"
    name = f"{attempt.host} number {attempt.number}"
    return f"{name} at {attempt.received_at}, leaders {leaders}: {answered}"


def _format_overlap(overlap: Overlap) -> str:
    certain, possible = f"{overlap.certain_s:.3f}", f"{overlap.possible_s:.3f}"
    return f"{overlap.task} {certain} s for certain, {possible} s at most"


def _format_run(run: TaskRun) -> str:
    begin, end = time_text(run.began_at), time_text(run.ended_at)
    leaders = ", ".join(run.leaders)
    return f"run {run.number} on {run.worker} by {leaders}: {begin} to {end}, {run.end}"
