"""Reading and changing the configuration, as several commands do it."""

import json
import uuid
from collections.abc import Callable
from typing import Any

import click
import curio

from poplarhill.cli._support import HTTP_TIMEOUT_S, AddressType, bad_request
from poplarhill.configuration import (
    Accepted,
    Change,
    Configuration,
    Document,
    Fold,
    Publisher,
    Rejection,
    make_patch,
)
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError
from poplarhill.platform import HttpPlatform

platform_option = click.option(
    "--platform",
    type=AddressType(),
    envvar="POPLARHILL_PLATFORM",
    required=True,
    help="Address of the platform's log service.",
)
author_option = click.option(
    "--author", envvar="USER", default="unknown", help="Who you are."
)
timeout_option = click.option(
    "--timeout", default=30.0, help="Longest time to try to publish, s."
)

Edit = Callable[[Fold], Document]


def publisher_at(platform: tuple[str, int]) -> Publisher:
    """Return a publisher that reads the platform's log."""
    return Publisher(HttpPlatform(*platform, timeout_s=HTTP_TIMEOUT_S))


def read_fold(platform: tuple[str, int]) -> Fold:
    """Read the configuration stream to its end."""
    return curio.run(publisher_at(platform).read)


def format_document(document: Document) -> str:
    """Return the text of a document, the same for equal documents."""
    return json.dumps(document, indent=2, sort_keys=True)


def publish_edit(
    platform: tuple[str, int], edit: Edit, note: str, author: str, timeout_s: float
) -> None:
    """Publish the document that `edit` makes, and say what became of it.

    Raises:
        PoplarhillError: The change was not accepted, or may be yet.
    """
    if not note.strip():
        raise bad_request("say why in the note")
    accepted = curio.run(
        _publish, publisher_at(platform), edit, note, author, timeout_s
    )
    click.echo(f"accepted as version {accepted.version}, change {accepted.change_id}")


async def _publish(
    publisher: Publisher, edit: Edit, note: str, author: str, timeout_s: float
) -> Accepted:
    fold = await publisher.read()
    document = edit(fold)
    version = fold.configuration.version
    Configuration.from_document(version + 1, document)
    change = Change(
        change_id=uuid.uuid4().hex,
        base_version=version,
        author=author,
        note=note,
        patch=_make_change_patch(fold.document, document),
    )
    outcome = await publisher.publish(change, timeout_s)
    if isinstance(outcome, Rejection):
        raise conflict(publisher, outcome)
    return outcome


def conflict(publisher: Publisher, rejection: Rejection) -> PoplarhillError:
    """Return the error that tells an operator who won."""
    detail = rejection.detail
    for decided in publisher.history:
        change = decided.change
        if change is not None and change.change_id == rejection.winner:
            detail += f"; {change.author} won with {change.note!r}"
    if rejection.winner is not None:
        detail += f" (change {rejection.winner})"
    return PoplarhillError(Failure(ErrorKind.CONFLICT, detail))


def _make_change_patch(old: Document, new: Document) -> dict[str, Any]:
    patch = make_patch(old, new)
    if not patch:
        raise bad_request("the document is the same as the one in force")
    return patch
