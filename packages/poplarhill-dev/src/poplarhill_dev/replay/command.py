"""The replay command: policies, baselines and central bounds for the same jobs."""

import json
from pathlib import Path
from typing import Any, NamedTuple

import click

from poplarhill.configuration import Configuration
from poplarhill_dev.replay.model import Fleet
from poplarhill_dev.replay.scores import Scores, median_of, score
from poplarhill_dev.replay.workload import FIRMS, Arrival, Firm, poisson_arrivals

_WORKERS = 24
_SLOTS = 8
_HOSTS = 8
_UNCAPPED = 1_000_000
_POLLS_PER_S = 4.0
_SHARES_POLICY = {"policy": "shares", "lending": False}


class Variant(NamedTuple):
    """One way to place tasks.

    Attributes:
        name: Name in the table.
        hosts: Number of entry hosts; 1 gives a central queue.
        defaults: Configuration defaults of the policy.
        reports_free_slots: Whether workers report their free slots with results.
    """

    name: str
    hosts: int
    defaults: dict[str, Any]
    reports_free_slots: bool = True


def _queued_at_workers(policy: str) -> Variant:
    defaults = {"policy": policy, "order": "first_come", "worker_cap": _UNCAPPED}
    return Variant(policy, _HOSTS, defaults)


def _capped(cap: int) -> Variant:
    defaults = {"policy": "least_outstanding", "worker_cap": cap}
    return Variant(f"capped at {cap}", _HOSTS, defaults)


VARIANTS = (
    Variant("central first come", 1, {**_SHARES_POLICY, "order": "first_come"}, False),
    Variant("central fewest tasks", 1, _SHARES_POLICY, False),
    _queued_at_workers("random"),
    _queued_at_workers("round_robin"),
    _queued_at_workers("two_choices"),
    _queued_at_workers("least_outstanding"),
    _capped(1),
    _capped(2),
    _capped(3),
    Variant("shares alone", _HOSTS, _SHARES_POLICY, False),
    Variant("shares, lending", _HOSTS, {**_SHARES_POLICY, "lending": True}, False),
    Variant("shown slots, 2", _HOSTS, {**_SHARES_POLICY, "beyond_share": 2}),
    Variant("shown slots, 4", _HOSTS, {**_SHARES_POLICY, "beyond_share": 4}),
    Variant("shown slots, lending", _HOSTS, {**_SHARES_POLICY, "lending": True}),
)


def document(defaults: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration document with 24 workers."""
    workers = {
        f"w{number:02}": {
            "host": "127.0.0.1",
            "port": 1000 + number,
            "slots": _SLOTS,
            "data_centre": f"dc{number // 8}",
            "rack": f"r{number // 8}",
        }
        for number in range(_WORKERS)
    }
    return {"defaults": defaults, "services": {"booking": {"workers": workers}}}


def run_variant(
    variant: Variant, firm: Firm, arrivals: list[Arrival], seed: int
) -> Scores:
    """Replay a list of arrivals through one variant."""
    configuration = Configuration.from_document(1, document(variant.defaults))
    fleet = Fleet(firm, configuration, variant.hosts, seed, variant.reports_free_slots)
    polls = _POLLS_PER_S * arrivals[-1].at
    return score(fleet.run(arrivals), firm, polls)


@click.command()
@click.option("--firm", type=click.Choice(sorted(FIRMS)), default="jacaranda")
@click.option(
    "--load", type=float, default=0.8, help="Fraction of the slots that are busy."
)
@click.option("--seed", "seeds", type=int, multiple=True, default=(1, 2, 3))
@click.option(
    "--seconds", type=float, default=120.0, help="Duration of the arrivals, s."
)
@click.option("--only", "names", multiple=True, help="Variant to run; all by default.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Result file.")
def replay(
    firm: str,
    load: float,
    seeds: tuple[int, ...],
    seconds: float,
    names: tuple[str, ...],
    path: Path | None,
) -> None:
    """Replay seeded arrivals through placement policies and print the measures."""
    slots = _WORKERS * _SLOTS
    arrivals_by_seed = {
        seed: poisson_arrivals(seed, load, slots, seconds) for seed in seeds
    }
    click.echo(f"{firm} at {load:.0%}, seeds {seeds}, {seconds:g} s, median")
    click.echo(_row("variant", Scores._fields))
    results = {}
    for variant in VARIANTS:
        if names and variant.name not in names:
            continue
        runs = [
            run_variant(variant, FIRMS[firm], arrivals, seed)
            for seed, arrivals in arrivals_by_seed.items()
        ]
        scores = median_of(runs)
        results[variant.name] = scores._asdict()
        click.echo(_row(variant.name, [f"{value:.3f}" for value in scores]))
    if path is not None:
        fields = {"firm": firm, "load": load, "seeds": seeds, "seconds": seconds}
        path.write_text(json.dumps({**fields, "results": results}, indent=2))


def _row(name: str, cells: Any) -> str:
    return f"{name:<22}" + "".join(f"{cell:>11.10}" for cell in cells)
