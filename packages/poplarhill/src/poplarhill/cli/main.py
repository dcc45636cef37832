"""Entry point of the operators' command."""

import click

from poplarhill.cli.config import config
from poplarhill.cli.jobs import job


@click.group()
@click.version_option(package_name="poplarhill")
def main() -> None:
    """Operate poplarhill: its configuration, workers and jobs."""


main.add_command(config)
main.add_command(job)
