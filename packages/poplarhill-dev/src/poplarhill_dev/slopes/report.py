"""The table of slopes."""

import click

from poplarhill_dev.slopes.fit import Slope
from poplarhill_dev.slopes.process import process_costs
from poplarhill_dev.slopes.pure import pure_slopes
from poplarhill_dev.slopes.requests import request_slopes


def run_slopes() -> None:
    """Measure every slope and print the table."""
    click.echo("| cost | unit | points (size: cost) | each | fixed | residual |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for slope in [*pure_slopes(), *request_slopes()]:
        click.echo(_row(slope))
    costs = process_costs()
    click.echo(_row(costs.job))
    click.echo(f"\nidle daemon: {costs.idle_share:.2%} of a core")
    click.echo(f"memory of a daemon: {costs.memory_kib / 1024:.1f} MB resident")


def _row(slope: Slope) -> str:
    points = ", ".join(f"{p.size:g}: {p.cost:.4g}" for p in slope.points)
    each = f"{slope.each:.4g} a {slope.per}"
    return (
        f"| {slope.name} | {slope.unit} | {points} | {each} "
        f"| {slope.fixed:.4g} | {slope.residual:.0%} |"
    )
