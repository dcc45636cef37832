"""Commands for services: list, show."""

import click

from poplarhill.cli._publishing import format_document, platform_option, read_fold
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError


@click.group()
def service() -> None:
    """List and show services."""


@service.command("list")
@platform_option
def list_services(platform: tuple[str, int]) -> None:
    """List every service with the number of its workers and slots."""
    configuration = read_fold(platform).configuration
    for name in sorted(configuration.services):
        workers = [w for w in configuration.workers.values() if w.service == name]
        active = [spec for spec in workers if not spec.draining]
        slots = sum(spec.slots for spec in active)
        draining = len(workers) - len(active)
        click.echo(
            f"{name}: {len(active)} workers with {slots} slots, {draining} draining"
        )


@service.command()
@click.argument("name")
@platform_option
def show(name: str, platform: tuple[str, int]) -> None:
    """Print one service of the document in force."""
    services = read_fold(platform).document.get("services", {})
    if name not in services:
        failure = Failure(ErrorKind.UNKNOWN_SERVICE, f"no service {name!r}")
        raise PoplarhillError(failure)
    click.echo(format_document(services[name]))
