"""Hosts that are cut off from each other again and again, drawn from a seed.

A host that is cut off from the others still reaches the store and most workers, so that
two hosts lead the same workers and take them from each other. Unlike `scenario`, which
draws from many faults, this one repeats a few, most of them cuts between hosts.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from random import Random
from types import MappingProxyType

from poplarhill_dev.leased import simulated_job
from poplarhill_dev.simulation.callers import Caller
from poplarhill_dev.simulation.fleet import FleetWorld

# Hosts by data centre, and the count of workers.
_FLEETS: tuple[tuple[Mapping[str, int], int], ...] = (
    (MappingProxyType({"dc1": 3}), 3),
    (MappingProxyType({"dc1": 4}), 8),
    (MappingProxyType({"dc1": 2, "dc2": 2}), 6),
    (MappingProxyType({"dc1": 3, "dc2": 3, "dc3": 2}), 9),
)
_LOAD_S = 30.0
_AFTER_S = 6.0  # until the last second attempts have ended
_JOBS = 50
_CALLER_TIMEOUT_S = 6.0
_RUN_S = (0.4, 3.0)
_CUT_S = (0.5, 3.0)
_MAX_GAP_S = 1.5


def run_cuts(seed: int) -> FleetWorld:
    """Run a fleet whose hosts are cut off from each other in a row."""
    random = Random(f"cuts {seed}")
    centres, workers = random.choice(_FLEETS)
    world = FleetWorld(seed, centres, workers)
    _submit(world, random, centres)
    faults = [_cut_off, _cut_off, _cut_off]
    faults += random.sample([_cut_one_way, _cut_some, _cut_from_workers, _delay], 2)
    at = 0.5
    while at < _LOAD_S:
        fault: Callable[[FleetWorld, Random, float], None] = random.choice(faults)
        seconds = random.uniform(*_CUT_S)
        world.schedule(at, fault, world, random, seconds)
        at += random.choice([seconds, seconds, 0.0]) + random.uniform(0.1, _MAX_GAP_S)
    world.run(_LOAD_S + _AFTER_S)
    return world


def _submit(world: FleetWorld, random: Random, centres: Mapping[str, int]) -> None:
    """Let callers send jobs of one or two steps to any host."""
    for number in range(_JOBS):
        run_s = random.uniform(*_RUN_S)
        job = simulated_job(f"j{number}", tasks=random.choice([1, 1, 2]), run_s=run_s)
        if random.random() < 0.3:
            (step,) = job.offer.steps
            steps = (step, step._replace(after=(0,)))
            job = replace(job, offer=job.offer._replace(steps=steps))
        centre = random.choice(sorted(centres))
        caller = Caller(job, centre, stated_timeout_s=_CALLER_TIMEOUT_S)
        host = random.choice(sorted(world.hosts))
        world.schedule(random.uniform(0.0, _LOAD_S), world.submit, caller, host)


def _cut_off(world: FleetWorld, random: Random, seconds: float) -> None:
    """Cut a host off from all other hosts."""
    name = random.choice(sorted(world.hosts))
    _cut(world, name, [one for one in world.hosts if one != name], seconds)


def _cut_some(world: FleetWorld, random: Random, seconds: float) -> None:
    """Cut a host off from some of the other hosts."""
    name = random.choice(sorted(world.hosts))
    others = [one for one in sorted(world.hosts) if one != name]
    _cut(world, name, random.sample(others, random.randint(1, len(others))), seconds)


def _cut_one_way(world: FleetWorld, random: Random, seconds: float) -> None:
    """Let nothing pass from a host to the others, or from them to it."""
    name = random.choice(sorted(world.hosts))
    pairs = [(name, one) for one in world.hosts if one != name]
    if random.random() < 0.5:
        pairs = [(other, one) for one, other in pairs]
    world.note("network", f"cut {name} one way")
    world.cut_paths(pairs, seconds)


def _cut_from_workers(world: FleetWorld, random: Random, seconds: float) -> None:
    """Cut a host off from one of the workers for a short time."""
    name = random.choice(sorted(world.hosts))
    _cut(world, name, [random.choice(sorted(world.workers))], seconds / 4)


def _cut(world: FleetWorld, name: str, others: list[str], seconds: float) -> None:
    pairs = [(name, one) for one in others] + [(one, name) for one in others]
    world.note("network", f"cut {name} from {len(others)} others")
    world.cut_paths(pairs, seconds)


def _delay(world: FleetWorld, random: Random, seconds: float) -> None:
    """Let some calls to workers take effect late, without a reply."""
    for share in ("late_order_share", "late_renewal_share"):
        setattr(world, share, random.choice([0.0, 0.1, 0.3]))
        world.schedule(seconds, setattr, world, share, 0.0)
    world.note("workers", "late calls")
