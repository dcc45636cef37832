"""Commands for the configuration: check, publish, show, diff, history."""

import difflib
from datetime import UTC, datetime
from pathlib import Path

import click
import curio

from poplarhill.cli._publishing import (
    author_option,
    format_document,
    platform_option,
    publish_edit,
    publisher_at,
    read_fold,
    timeout_option,
)
from poplarhill.cli._support import bad_request, load_json
from poplarhill.configuration import (
    Accepted,
    Configuration,
    DecidedChange,
    Document,
    Fold,
)
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError

_path_argument = click.argument("path", type=click.Path(path_type=Path))


@click.group()
def config() -> None:
    """Check, publish and show the configuration."""


@config.command()
@_path_argument
def check(path: Path) -> None:
    """Check a configuration document and list every problem."""
    configuration = Configuration.from_document(0, load_json(path))
    click.echo(f"{path}: good, {len(configuration.workers)} workers")


@config.command()
@platform_option
def show(platform: tuple[str, int]) -> None:
    """Print the document in force, and its version on standard error."""
    fold = read_fold(platform)
    click.echo(f"version {fold.configuration.version}", err=True)
    click.echo(format_document(fold.document))


@config.command()
@_path_argument
@platform_option
def diff(path: Path, platform: tuple[str, int]) -> None:
    """Show what publishing a document would change."""
    document = load_json(path)
    Configuration.from_document(0, document)
    fold = read_fold(platform)
    lines = difflib.unified_diff(
        format_document(fold.document).splitlines(),
        format_document(document).splitlines(),
        f"version {fold.configuration.version}",
        str(path),
        lineterm="",
    )
    for line in lines:
        click.echo(line)


@config.command()
@_path_argument
@click.option("--note", required=True, help="Reason for the change, in a sentence.")
@click.option(
    "--base",
    type=click.IntRange(min=0),
    help="Version that the document is based on; required after the first version.",
)
@author_option
@timeout_option
@platform_option
def publish(
    path: Path,
    note: str,
    base: int | None,
    author: str,
    timeout: float,
    platform: tuple[str, int],
) -> None:
    """Publish a document as the next version."""
    document = load_json(path)
    Configuration.from_document(0, document)

    def edit(fold: Fold) -> Document:
        _check_base(fold, base)
        return document

    publish_edit(platform, edit, note, author, timeout)


@config.command()
@platform_option
def history(platform: tuple[str, int]) -> None:
    """List the changes that the log still keeps, and the outcome of each."""
    publisher = publisher_at(platform)
    curio.run(publisher.read)
    for decided in publisher.history:
        click.echo(_format_decided(decided))


def _check_base(fold: Fold, base: int | None) -> None:
    """Reject a document that would silently undo another operator's change."""
    version = fold.configuration.version
    if base is None and version > 0:
        detail = f"version {version} is in force: use --base to name the version"
        raise bad_request(f"{detail} that this document is based on")
    if base is not None and base != version:
        winner = fold.winner(base) or "unknown"
        detail = f"made from version {base}, now {version} (change {winner})"
        raise PoplarhillError(Failure(ErrorKind.CONFLICT, detail))


def _format_decided(decided: DecidedChange) -> str:
    time = datetime.fromtimestamp(decided.record.time, UTC)
    start = f"{time:%Y-%m-%d %H:%M:%S}Z"
    match decided.outcome:
        case Accepted(change_id, version):
            change = decided.change
            return (
                f"{start} version {version} {change_id} {change.author} {change.note}"
            )
        case rejection:
            return f"{start} rejected {rejection.change_id} {rejection.detail}"
