"""Runs simulated fleets with many seeds and prints the violated invariants."""

from collections import Counter

import click

from poplarhill_dev.simulation.scenario import run_scenario


@click.command()
@click.option("--seeds", default="1-20", help="First and last seed.")
@click.option("--trace/--no-trace", default=False, help="Print a trace of each kind.")
def simulate(seeds: str, trace: bool) -> None:
    """Run simulated fleets with random faults; exit with 1 if a task ran twice."""
    first, _, last = seeds.partition("-")
    counts: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    for seed in range(int(first), int(last or first) + 1):
        world = run_scenario(seed)
        if seed % 50 == 0:
            click.echo(f"seed {seed}: {dict(counts)}")
        outcomes.update(
            caller.outcome or "none" for caller in world.callers.by_job.values()
        )
        jobs = {(one.kind, one.job_id): one for one in reversed(world.violated)}
        for kind, job_id in jobs:
            counts[kind] += 1
            one = jobs[kind, job_id]
            click.echo(f"seed {seed} at {one.at:.3f} {kind}: {one.what}")
            if trace and counts[kind] == 1:
                click.echo("\n".join(world.trace(job_id)))
    click.echo(f"violations {dict(counts)} outcomes {dict(outcomes)}")
    raise SystemExit(bool(counts))


if __name__ == "__main__":
    simulate()
