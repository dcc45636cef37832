"""Prints the table of slopes."""

import click

from poplarhill_dev.slopes.fit import Slope
from poplarhill_dev.slopes.process import process_costs, size_costs
from poplarhill_dev.slopes.pure import pure_slopes
from poplarhill_dev.slopes.requests import request_slopes

_KIB = 1024


def run_slopes() -> None:
    """Measure every slope and print the table."""
    click.echo("| cost | unit | points (size: cost) | each | fixed | residual |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for slope in [*pure_slopes(), *request_slopes()]:
        click.echo(_row(slope))
    costs = process_costs()
    click.echo(_row(costs.job))
    click.echo(f"\nidle daemon: {costs.idle_share:.2%} of a core")
    click.echo(f"memory of a daemon: {costs.memory_kib / _KIB:.1f} MB resident")
    click.echo("\n| workers configured | memory, MB | idle core | a change, s |")
    click.echo("| --- | --- | --- | --- |")
    for cost in size_costs():
        memory_mb = cost.memory_kib / _KIB
        click.echo(
            f"| {cost.workers} | {memory_mb:.1f} | {cost.idle_share:.2%} "
            f"| {cost.change_s:.3f} |"
        )


def _row(slope: Slope) -> str:
    points = ", ".join(f"{p.size:g}: {p.cost:.4g}" for p in slope.points)
    each = f"{slope.each:.4g} a {slope.per}"
    return (
        f"| {slope.name} | {slope.unit} | {points} | {each} "
        f"| {slope.fixed:.4g} | {slope.residual:.0%} |"
    )
