"""Entry point of the daemon `poplarhilld`."""

import sys
from pathlib import Path

import click
import curio

from poplarhill.exceptions import SettingsError
from poplarhilld.daemon import Daemon
from poplarhilld.logs import configure_logs
from poplarhilld.settings import Settings


@click.command()
@click.version_option(package_name="poplarhilld")
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="JSON file with the settings of this process.",
)
def main(path: Path) -> None:
    """Run one entry host."""
    try:
        settings = Settings.from_file(path)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(f"Error: {problem}", err=True)
        sys.exit(error.exit_code)
    configure_logs(settings.name)
    sys.exit(curio.run(Daemon.from_config(settings).run))
