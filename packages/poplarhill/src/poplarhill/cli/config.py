"""Commands on the configuration: check, publish, show."""

import json
import uuid
from pathlib import Path

import click
import curio

from poplarhill.cli._support import Address, CommandGroup, load_json
from poplarhill.configuration import (
    Change,
    Configuration,
    Fold,
    Rejection,
    encode_record,
    make_patch,
)
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError
from poplarhill.platform import AppendRefused, Batch, HttpPlatform

CONFIG_STREAM = "configuration"
_READ_LIMIT = 500
_TIMEOUT_S = 5.0
_ATTEMPTS = 5

_platform_option = click.option(
    "--platform",
    type=Address(),
    envvar="POPLARHILL_PLATFORM",
    required=True,
    help="Address of the platform's log service.",
)


@click.group(cls=CommandGroup)
def config() -> None:
    """Check, publish and show the configuration."""


@config.command()
@click.argument("path", type=click.Path(path_type=Path))
def check(path: Path) -> None:
    """Check a configuration document and name every problem."""
    configuration = Configuration.from_document(0, load_json(path))
    click.echo(f"{path}: good, {len(configuration.workers)} workers")


@config.command()
@_platform_option
def show(platform: tuple[str, int]) -> None:
    """Print the document in force."""
    client = HttpPlatform(*platform, timeout_s=_TIMEOUT_S)
    fold = curio.run(read_fold, client)
    click.echo(f"version {fold.configuration.version}", err=True)
    click.echo(json.dumps(fold.document, indent=2, sort_keys=True))


@config.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--note", required=True, help="Why, in a sentence.")
@click.option("--author", envvar="USER", default="unknown", help="Who you are.")
@_platform_option
def publish(path: Path, note: str, author: str, platform: tuple[str, int]) -> None:
    """Publish a document as the next version."""
    document = load_json(path)
    Configuration.from_document(0, document)
    client = HttpPlatform(*platform, timeout_s=_TIMEOUT_S)
    version = curio.run(_publish, client, document, note, author)
    click.echo(f"accepted as version {version}")


async def _publish(client: HttpPlatform, document: dict, note: str, author: str) -> int:
    fold = await read_fold(client)
    change = Change(
        change_id=uuid.uuid4().hex,
        base_version=fold.configuration.version,
        author=author,
        note=note,
        patch=make_patch(fold.document, document),
    )
    for _ in range(_ATTEMPTS):
        appended = await client.append(CONFIG_STREAM, encode_record(change))
        if isinstance(appended, AppendRefused):
            raise _unavailable(appended.detail)
        outcome = await _settle(client, fold, change.change_id)
        match outcome:
            case Change():
                return fold.configuration.version
            case Rejection():
                detail = f"{outcome.detail}; winner {outcome.winner}"
                raise PoplarhillError(Failure(ErrorKind.CONFLICT, detail))
    raise _unavailable("the record cannot be read back; outcome unknown")


async def read_fold(client: HttpPlatform) -> Fold:
    """Read and fold the whole configuration stream."""
    fold = Fold()
    await _settle(client, fold, None)
    return fold


async def _settle(
    client: HttpPlatform, fold: Fold, change_id: str | None
) -> Change | Rejection | None:
    """Fold up to the end of the stream, or to the change asked for."""
    while True:
        match await client.read(CONFIG_STREAM, fold.next_offset, _READ_LIMIT):
            case Batch(records=records):
                if not records:
                    return None
            case other:
                raise _unavailable(str(other))
        for record in records:
            outcome = fold.apply(record)
            if outcome is not None and outcome.change_id == change_id:
                return outcome


def _unavailable(detail: str) -> PoplarhillError:
    return PoplarhillError(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
