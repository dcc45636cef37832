"""Commands for evacuations of data centres: list, start, lift."""

import click

from poplarhill.cli._publishing import (
    author_option,
    platform_option,
    publish_edit,
    read_fold,
    timeout_option,
)
from poplarhill.cli._support import bad_request
from poplarhill.configuration import Document, Fold, apply_patch

_data_centre_argument = click.argument("data_centre")
_note_option = click.option(
    "--note", required=True, help="Reason, in a sentence; kept in the log."
)


@click.group()
def evacuation() -> None:
    """Evacuate data centres, and lift and list evacuations."""


@evacuation.command("list")
@platform_option
def list_evacuations(platform: tuple[str, int]) -> None:
    """List the evacuated data centres with their notes."""
    evacuations = read_fold(platform).document.get("evacuations", {})
    for data_centre, fields in sorted(evacuations.items()):
        click.echo(f"{data_centre} {fields['note']}")


@evacuation.command()
@_data_centre_argument
@_note_option
@author_option
@timeout_option
@platform_option
def start(
    data_centre: str, note: str, author: str, timeout: float, platform: tuple[str, int]
) -> None:
    """Start no more tasks in a data centre; running ones finish."""

    def edit(fold: Fold) -> Document:
        workers = fold.configuration.workers.values()
        if all(spec.data_centre != data_centre for spec in workers):
            raise bad_request(f"no worker in {data_centre!r}; see `worker list`")
        if data_centre in fold.configuration.evacuated:
            raise bad_request(f"{data_centre!r} is evacuated already")
        patch = {"evacuations": {data_centre: {"note": note}}}
        return apply_patch(fold.document, patch)

    publish_edit(platform, edit, f"evacuate {data_centre}: {note}", author, timeout)


@evacuation.command()
@_data_centre_argument
@_note_option
@author_option
@timeout_option
@platform_option
def lift(
    data_centre: str, note: str, author: str, timeout: float, platform: tuple[str, int]
) -> None:
    """Start tasks in an evacuated data centre again."""

    def edit(fold: Fold) -> Document:
        if data_centre not in fold.configuration.evacuated:
            raise bad_request(f"{data_centre!r} is not evacuated")
        return apply_patch(fold.document, {"evacuations": {data_centre: None}})

    publish_edit(
        platform, edit, f"lift evacuation of {data_centre}: {note}", author, timeout
    )
