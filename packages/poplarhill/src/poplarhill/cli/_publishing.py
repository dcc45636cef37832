"""Helpers of the commands that read or change the configuration."""

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
    "--author",
    envvar="USER",
    default="unknown",
    help="Your name, recorded with the change.",
)
timeout_option = click.option(
    "--timeout",
    default=30.0,
    help="Longest time to wait for the change to be accepted, s.",
)

Edit = Callable[[Fold], Document]


def publisher_at(platform: tuple[str, int]) -> Publisher:
    """Return a publisher for the log of the platform at an address."""
    return Publisher(HttpPlatform(*platform, timeout_s=HTTP_TIMEOUT_S))


def read_fold(platform: tuple[str, int]) -> Fold:
    """Read the configuration stream to its end and return the resulting state."""
    return curio.run(publisher_at(platform).read)


def format_document(document: Document) -> str:
    """Return a document as JSON text; equal documents give equal texts."""
    return json.dumps(document, indent=2, sort_keys=True)


def publish_edit(
    platform: tuple[str, int], edit: Edit, note: str, author: str, timeout_s: float
) -> None:
    """Publish the document that `edit` returns, and print the outcome.

    Raises:
        PoplarhillError: The change was not accepted, or its outcome is unknown.
    """
    if not note.strip():
        raise bad_request("the note is empty: state the reason for the change")
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
    """Return the error for a rejected change; it names the change that was accepted."""
    detail = rejection.detail
    for decided in publisher.history:
        change = decided.change
        if change is not None and change.change_id == rejection.winner:
            detail += f"; {change.author} published {change.note!r} first"
    if rejection.winner is not None:
        detail += f" (change {rejection.winner})"
    return PoplarhillError(Failure(ErrorKind.CONFLICT, detail))


def _make_change_patch(old: Document, new: Document) -> dict[str, Any]:
    patch = make_patch(old, new)
    if not patch:
        raise bad_request("the document is equal to the one in force")
    return patch
