"""Commands of the development package."""

import sys

import click
import curio

from poplarhill_dev.demo import run_demo
from poplarhill_dev.known_red import run_tests
from poplarhill_dev.platform import PlatformStandIn
from poplarhill_dev.slopes import run_slopes
from poplarhill_dev.spread import run_spread
from poplarhill_dev.worker import WorkerStandIn


@click.group()
def main() -> None:
    """Develop poplarhill: stand-ins, demo, tests."""


@main.command()
def demo() -> None:
    """Run jobs through three daemons and six workers, then stop them."""
    sys.exit(run_demo())


@main.command()
@click.option("--hosts", default=8, help="Daemons to start.")
@click.option("--cut", default=0, help="How many of them cannot reach the log.")
@click.option("--changes", default=20, help="Changes to publish.")
@click.option("--calm", default=30.0, help="Time without changes at the end, s.")
def spread(hosts: int, cut: int, changes: int, calm: float) -> None:
    """Measure how soon an accepted change is in force on every daemon."""
    run_spread(hosts, cut, changes, calm)


@main.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True)
def platform(host: str, port: int) -> None:
    """Run the stand-in of the platform."""
    curio.run(PlatformStandIn(host, port).run)


@main.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--name", required=True)
@click.option("--slots", type=int, default=8)
def worker(host: str, port: int, name: str, slots: int) -> None:
    """Run the stand-in of one worker."""
    curio.run(WorkerStandIn(name, host, port, slots).run)


@main.command()
def slopes() -> None:
    """Measure the slopes that docs/CAPACITY.md is worked out from."""
    run_slopes()


@main.command("known-red", context_settings={"ignore_unknown_options": True})
@click.argument("arguments", nargs=-1)
def known_red(arguments: tuple[str, ...]) -> None:
    """Run pytest, passing over just the tests in KNOWN-RED.txt."""
    sys.exit(run_tests(arguments))
