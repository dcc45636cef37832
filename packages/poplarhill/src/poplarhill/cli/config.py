"""Commands for the configuration: check, publish, show, diff, history."""

import difflib
from datetime import UTC, datetime
from pathlib import Path

import click
import curio

from poplarhill.cli._checking import (
    in_force_from,
    read_checked,
    report,
    require_publishable,
)
from poplarhill.cli._publishing import (
    author_option,
    format_document,
    platform_option,
    publish_edit,
    publisher_at,
    read_fold,
    timeout_option,
)
from poplarhill.cli._support import AddressType, bad_request, load_json
from poplarhill.configuration import (
    Accepted,
    Configuration,
    DecidedChange,
    Document,
    Fold,
)
from poplarhill.configuration.check import (
    PRODUCT,
    Format,
    InForce,
    check_source,
    find_format,
    has_errors,
)
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError
from poplarhill.types import Address

_path_argument = click.argument("path", type=click.Path(path_type=Path))


@click.group()
def config() -> None:
    """Check, publish and show the configuration."""


@config.command()
@_path_argument
@click.option(
    "--against",
    type=click.Path(path_type=Path),
    help="File to compare with, such as the output of `config show`.",
)
@click.option(
    "--platform",
    type=AddressType(),
    help="Address of the platform whose version in force to compare with.",
)
@click.option(
    "--format",
    "output",
    type=click.Choice(["text", "json"]),
    default="text",
    help="Form of the output.",
)
def check(
    path: Path, against: Path | None, platform: tuple[str, int] | None, output: str
) -> None:
    """Check a configuration document: errors, warnings and differences.

    Exits with 0 if it is good, 1 if it has warnings only, and 2 if it has errors.
    """
    if against is not None and platform is not None:
        raise bad_request("use either --against or --platform, not both")
    as_json = output == "json"
    source, findings = read_checked(path, report_unopened=as_json)
    summary = ""
    if source is not None:
        form = find_format(source.document)
        findings = check_source(source)
        if not has_errors(findings):
            summary = form.summary(source.document)
            if against is not None:
                findings = check_source(source, in_force_from(against))
            elif platform is not None:
                findings = check_source(source, _read_in_force(form, platform))
    report(path, findings, as_json, summary)


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
@click.option(
    "--force", is_flag=True, help="Publish despite warnings; say why in the note."
)
@author_option
@timeout_option
@platform_option
def publish(
    path: Path,
    note: str,
    base: int | None,
    force: bool,
    author: str,
    timeout: float,
    platform: tuple[str, int],
) -> None:
    """Publish a document as the next version; it is checked first."""
    if not note.strip():
        raise bad_request("the note is empty: state the reason for the change")
    source = require_publishable(path, force)
    if find_format(source.document) is not PRODUCT:
        raise bad_request("only documents in poplarhill's own format are published")
    document = source.document

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


def _read_in_force(form: Format, platform: tuple[str, int]) -> InForce:
    if form.read is not None:
        return form.read(Address(*platform))
    return InForce(read_fold(platform).document)


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
