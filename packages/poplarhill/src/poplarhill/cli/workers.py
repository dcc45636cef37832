"""Commands for workers: list, drain, undrain."""

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

_DRAIN_PREFIX = "drain-"


@click.group()
def worker() -> None:
    """List, drain and undrain workers."""


@worker.command("list")
@platform_option
def list_workers(platform: tuple[str, int]) -> None:
    """List every worker with its address, location and state."""
    configuration = read_fold(platform).configuration
    for spec in configuration.workers.values():
        state = "draining" if spec.draining else "in service"
        if spec.data_centre in configuration.evacuated:
            state = "evacuated"
        place = f"{spec.data_centre or '-'}/{spec.rack or '-'}"
        address = f"{spec.host}:{spec.port}"
        click.echo(f"{spec.name} {spec.service} {address} {place} {state}")


@worker.command()
@click.argument("name")
@click.option(
    "--reason",
    required=True,
    help="Reason for the drain, in a sentence; kept in the log.",
)
@author_option
@timeout_option
@platform_option
def drain(
    name: str, reason: str, author: str, timeout: float, platform: tuple[str, int]
) -> None:
    """Stop sending new tasks to a worker."""

    def edit(fold: Fold) -> Document:
        _check_known(fold, name)
        exception = {"worker": name, "reason": reason, "set": {"draining": True}}
        patch = {"exceptions": {_DRAIN_PREFIX + name: exception}}
        return apply_patch(fold.document, patch)

    publish_edit(platform, edit, f"drain {name}: {reason}", author, timeout)


@worker.command()
@click.argument("name")
@author_option
@timeout_option
@platform_option
def undrain(name: str, author: str, timeout: float, platform: tuple[str, int]) -> None:
    """Resume sending tasks to a drained worker."""

    def edit(fold: Fold) -> Document:
        _check_known(fold, name)
        exception = _DRAIN_PREFIX + name
        if exception not in fold.document.get("exceptions", {}):
            raise bad_request(f"no exception {exception!r}; see `config show`")
        return apply_patch(fold.document, {"exceptions": {exception: None}})

    publish_edit(platform, edit, f"undrain {name}", author, timeout)


def _check_known(fold: Fold, name: str) -> None:
    if name not in fold.configuration.workers:
        raise bad_request(f"no worker {name!r}; see `worker list`")
