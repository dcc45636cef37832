"""The command `status`."""

import click

from poplarhill.cli._support import call, decode, host_option
from poplarhill.http import Request
from poplarhill.status import HostStatus


@click.command()
@host_option
def status(host: tuple[str, int]) -> None:
    """Show the status of an entry host."""
    response = call(host, Request("GET", "/v1/status"))
    answer = decode(response.body, HostStatus)
    click.echo(f"name           {answer.name}")
    click.echo(f"data centre    {answer.data_centre}")
    click.echo(f"ready          {'yes' if answer.ready else 'no'}")
    click.echo(f"configuration  {_format_configuration(answer)}")
    click.echo(f"jobs in flight {answer.jobs_in_flight}")
    click.echo(f"queued tasks   {answer.queued_tasks}")
    click.echo(f"live hosts     {answer.live_hosts}")
    if answer.evacuated:
        click.echo(f"evacuated      {', '.join(answer.evacuated)}")


def _format_configuration(answer: HostStatus) -> str:
    if answer.configuration_age_s is None:
        confirmed = "never confirmed"
    else:
        confirmed = f"confirmed {answer.configuration_age_s:.1f} s ago"
    text = f"version {answer.configuration_version}, {confirmed}"
    return text if answer.configuration_complete else text + ", awaiting a snapshot"
