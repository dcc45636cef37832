"""Commands of the development package."""

import sys
from collections.abc import Iterable
from functools import partial
from pathlib import Path

import click
import curio

from poplarhill.story import Line, read_lines
from poplarhill_dev.demo import run_demo
from poplarhill_dev.known_red import run_tests
from poplarhill_dev.losses import find_losses, format_losses, plot_losses
from poplarhill_dev.platform import PlatformStandIn
from poplarhill_dev.replay import placement_cost, replay
from poplarhill_dev.run_bound import closed_jobs, format_bounds
from poplarhill_dev.slopes import run_slopes
from poplarhill_dev.spread import run_spread
from poplarhill_dev.worker import WorkerStandIn, run_workers

_LOOPBACK = "127.0.0.1"


@click.group()
def main() -> None:
    """Develop poplarhill: stand-ins, demo, tests and measurements."""


@main.command()
def demo() -> None:
    """Run jobs through three daemons and six workers, then stop them."""
    sys.exit(run_demo())


@main.command()
@click.option("--hosts", default=8, help="Daemons to start.")
@click.option("--cut", default=0, help="How many of the daemons cannot reach the log.")
@click.option("--changes", default=20, help="Changes to publish.")
@click.option("--calm", default=30.0, help="Time without changes at the end, s.")
def spread(hosts: int, cut: int, changes: int, calm: float) -> None:
    """Measure how long an accepted change takes to be in force on every daemon."""
    run_spread(hosts, cut, changes, calm)


@main.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True)
def platform(host: str, port: int) -> None:
    """Run the platform stand-in."""
    curio.run(PlatformStandIn(host, port).run)


@main.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--name", required=True)
@click.option("--slots", type=int, default=8)
def worker(host: str, port: int, name: str, slots: int) -> None:
    """Run one worker stand-in."""
    curio.run(WorkerStandIn(name, host, port, slots).run)


@main.command()
@click.option("--worker", "named", type=(str, int), multiple=True, required=True)
@click.option("--slots", type=int, default=8)
def workers(named: tuple[tuple[str, int], ...], slots: int) -> None:
    """Run several worker stand-ins, each given by name and port."""
    stand_ins = [WorkerStandIn(name, _LOOPBACK, port, slots) for name, port in named]
    curio.run(run_workers, stand_ins)


@main.command()
@click.argument("plan", type=click.Path(exists=True, path_type=Path))
def relay(plan: Path) -> None:
    """Run the relay that delays and cuts traffic between data centres."""
    from poplarhill_dev.relay import run_relay

    curio.run(run_relay, plan)


@main.command()
@click.argument("plan", type=click.Path(exists=True, path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), required=True)
def load(plan: Path, out: Path) -> None:
    """Submit a planned load and write the answers."""
    from poplarhill_dev.experiment.load import run_load

    curio.run(run_load, plan, out)


@main.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), default=Path("results"))
def experiment(file: Path, out: Path) -> None:
    """Run an experiment and write its results, table and plot."""
    from poplarhill_dev.experiment.run import run_experiment

    run_experiment(file, out)


@main.command()
@click.option(
    "--seed", default=1, help="Seed of the faults and of the callers' actions."
)
@click.option("--seeds", default="", help="FIRST-LAST: run several seeds in turn.")
@click.option("--seconds", default=20.0, help="How long faults are injected, s.")
@click.option("--hosts", default=4, help="Entry hosts to start.")
@click.option("--workers", default=6, help="Workers to start.")
@click.option("--evacuations", is_flag=True, help="Evacuate data centres as well.")
@click.option("--regressions", is_flag=True, help="Run every seed that ever failed.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("results"))
def soak(
    seed: int,
    seeds: str,
    seconds: float,
    hosts: int,
    workers: int,
    evacuations: bool,
    regressions: bool,
    out: Path,
) -> None:
    """Run real processes under random faults and check their guarantees."""
    from poplarhill_dev.soak.regressions import REGRESSIONS
    from poplarhill_dev.soak.run import Soak, run_soaks

    first, _, last = (seeds or str(seed)).partition("-")
    numbers = range(int(first), int(last or first) + 1)
    soaks = [Soak(number, hosts, workers, seconds, evacuations) for number in numbers]
    if regressions:
        soaks = [regression.soak for regression in REGRESSIONS]
    sys.exit(1 if run_soaks(soaks, out) else 0)


@main.command()
@click.option("--seeds", default="1-20", help="FIRST-LAST: run several seeds in turn.")
@click.option("--trace", is_flag=True, help="Print a trace of each kind of violation.")
@click.option(
    "--closed-requests",
    is_flag=True,
    help="Let hosts handle requests that they read together with their close.",
)
@click.option(
    "--store",
    type=click.Choice(["on", "off"]),
    default="on",
    help="Whether the store of workers has faults.",
)
@click.option(
    "--callers",
    type=click.Choice(["short", "long", "mixed"]),
    default="mixed",
    help="Whether callers wait longer than the timeout of their route.",
)
@click.option("--series", is_flag=True, help="Repeat one kind of fault in each seed.")
@click.option(
    "--chains",
    "scenario",
    flag_value="chains",
    help="Lose only entry hosts and the leaders of their jobs, one after the other.",
)
@click.option(
    "--cuts",
    "scenario",
    flag_value="cuts",
    help="Cut hosts off from each other again and again, beside few other faults.",
)
@click.option(
    "--pauses",
    "scenario",
    flag_value="pauses",
    help="Pause leaders and entry hosts while other hosts restart.",
)
def simulate(
    seeds: str,
    trace: bool,
    closed_requests: bool,
    store: str,
    callers: str,
    series: bool,
    scenario: str | None,
) -> None:
    """Run simulated fleets under random faults and check that no task runs twice."""
    from poplarhill_dev.simulation.chains import run_chain
    from poplarhill_dev.simulation.command import run_seeds
    from poplarhill_dev.simulation.cuts import run_cuts
    from poplarhill_dev.simulation.load import CallerKind
    from poplarhill_dev.simulation.pauses import run_pauses
    from poplarhill_dev.simulation.scenario import ScenarioOptions, run_scenario

    first, _, last = seeds.partition("-")
    numbers = range(int(first), int(last or first) + 1)
    kind = CallerKind(callers)
    options = ScenarioOptions(closed_requests, store == "on", kind, series)
    run_random = partial(run_scenario, options=options)
    scenarios = {"chains": run_chain, "cuts": run_cuts, "pauses": run_pauses}
    run = scenarios.get(scenario, run_random)
    sys.exit(0 if run_seeds(numbers, trace, run) else 1)


@main.command()
def slopes() -> None:
    """Measure the slopes that docs/CAPACITY.md is computed from."""
    run_slopes()


@main.group()
def golden() -> None:
    """Manage golden sessions of the dispatcher."""


@golden.command("record")
def golden_record() -> None:
    """Record every session again; review the diff before you commit it."""
    from poplarhill_dev.golden.record import record_all

    for path in record_all():
        click.echo(f"changed: {path}")


@main.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@click.option("--only", default="", help="Run only guards whose name contains this.")
def mutations(file: Path, only: str) -> None:
    """Disable guards in a copy of the code and show the tests that fail."""
    from poplarhill_dev.mutations import run_mutations

    sys.exit(1 if run_mutations(file, only) else 0)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--plot", type=click.Path(path_type=Path), help="SVG file to write.")
def losses(files: tuple[Path, ...], plot: Path | None) -> None:
    """Show from the logs in FILES which jobs were not served, when and why."""
    lost = find_losses(_read_logs(files))
    click.echo(format_losses(lost))
    if plot is not None:
        plot_losses(lost, plot)


@main.command("run-bound")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
def run_bound(files: tuple[Path, ...]) -> None:
    """Show from the logs in FILES how many jobs a system without delay had served."""
    click.echo(format_bounds(closed_jobs(_read_logs(files))))


def _read_logs(files: Iterable[Path]) -> list[Line]:
    lines: list[Line] = []
    for path in files:
        try:
            with path.open("rb") as text:
                lines += read_lines(text)
        except OSError as error:
            raise click.ClickException(f"{path}: {error.strerror}") from error
    return lines


@main.command("known-red", context_settings={"ignore_unknown_options": True})
@click.argument("arguments", nargs=-1)
def known_red(arguments: tuple[str, ...]) -> None:
    """Run pytest without the tests that are listed in KNOWN-RED.txt."""
    sys.exit(run_tests(arguments))


main.add_command(replay)
main.add_command(placement_cost)
