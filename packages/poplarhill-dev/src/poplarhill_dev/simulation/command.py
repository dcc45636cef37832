"""Runs simulated fleets with many seeds and prints the violated invariants."""

from collections import Counter
from collections.abc import Callable, Iterable

import click

from poplarhill_dev.simulation.fleet import FleetWorld
from poplarhill_dev.simulation.scenario import run_scenario

_PROGRESS_SEEDS = 50


def run_seeds(
    seeds: Iterable[int],
    trace: bool = False,
    run: Callable[[int], FleetWorld] = run_scenario,
) -> bool:
    """Run a simulated fleet with each seed; return whether all invariants held.

    Args:
        seeds: The seeds.
        trace: Whether to print what concerns the first job of each kind of violation.
        run: Runs the fleet of a seed.
    """
    counts: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    failed_seeds = 0
    for done, seed in enumerate(seeds):
        if done and done % _PROGRESS_SEEDS == 0:
            click.echo(f"{done} seeds, {failed_seeds} failed")
        world = run(seed)
        callers = world.callers.by_job.values()
        outcomes.update(caller.outcome or "none" for caller in callers)
        failed_seeds += bool(world.violated)
        first = {(one.kind, one.job_id): one for one in reversed(world.violated)}
        for one in reversed(first.values()):
            counts[one.kind] += 1
            click.echo(f"seed {seed} at {one.at:.3f} {one.kind}: {one.what}")
            if trace and counts[one.kind] == 1:
                click.echo("\n".join(world.trace(one.job_id)))
    click.echo(f"{failed_seeds} seeds failed; jobs by violation: {dict(counts)}")
    click.echo(f"jobs by outcome: {dict(outcomes)}")
    return not failed_seeds
