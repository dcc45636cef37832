"""Entry point of the operators' command."""

import click

from poplarhill.cli._support import CommandGroup
from poplarhill.cli.config import config
from poplarhill.cli.evacuations import evacuation
from poplarhill.cli.jobs import job
from poplarhill.cli.logs import log
from poplarhill.cli.services import service
from poplarhill.cli.status import status
from poplarhill.cli.workers import worker


@click.group(cls=CommandGroup)
@click.version_option(package_name="poplarhill")
def main() -> None:
    """Manage the configuration, workers, jobs and logs of poplarhill."""


for command in (config, service, worker, evacuation, status, job, log):
    main.add_command(command)
