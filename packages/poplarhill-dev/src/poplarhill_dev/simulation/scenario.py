"""Random loads and faults of a simulated fleet, drawn from a seed."""

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from poplarhill_dev.simulation.fleet import CENTRES, SMALL_FLEET, FleetWorld
from poplarhill_dev.simulation.load import LOAD_S, CallerKind, Load
from poplarhill_dev.simulation.store_faults import schedule_store_faults

_DRAIN_S = 4.0
_LONG_DRAIN_S = 7.0  # most long jobs end by then
_FIRST_FAULT_S = 0.5
_FLEETS = (SMALL_FLEET, SMALL_FLEET, SMALL_FLEET, CENTRES)

Fault = Callable[[FleetWorld, Random], None]


class ScenarioOptions(NamedTuple):
    """What the scenarios of all seeds have in common.

    Attributes:
        closed_requests: Whether hosts handle requests that they read together with
            their close.
        store: Whether the store has faults, and workers come and go.
        callers: How long callers wait.
        series: Whether all faults of a seed are of one kind.
    """

    closed_requests: bool = False
    store: bool = True
    callers: CallerKind = CallerKind.MIXED
    series: bool = False


DEFAULTS = ScenarioOptions()


def run_scenario(seed: int, options: ScenarioOptions = DEFAULTS) -> FleetWorld:
    """Run a fleet under the load and the faults of a seed."""
    random = Random(seed)
    world = FleetWorld(seed, random.choice(_FLEETS))
    world.callers.closed_requests_handled = options.closed_requests
    if options.store:
        _begin_store_faults(world, seed)
    load = Load(seed, options.callers)
    load.schedule(world, random)
    faults = (random.choice(_FAULTS),) if options.series else _FAULTS
    _schedule_faults(world, random, load, faults)
    world.run(LOAD_S + (_LONG_DRAIN_S if load.long else _DRAIN_S))
    return world


def _begin_store_faults(world: FleetWorld, seed: int) -> None:
    """Schedule faults of the store, often some time before the load begins."""
    random = Random(f"store {seed}")
    before_s = random.choice([0.0, 2.0, 4.0])
    schedule_store_faults(world, random, 0.0, before_s + 0.6 * LOAD_S)
    world.run(before_s)


def _schedule_faults(
    world: FleetWorld, random: Random, load: Load, faults: Sequence[Fault]
) -> None:
    """Schedule a few faults, most of them close together, each after a burst."""
    at = _FIRST_FAULT_S
    for _ in range(random.randint(2, 5)):
        fault = random.choice(faults)
        world.schedule(at, fault, world, random)
        for _ in range(random.choice([5, 10, 20])):
            early_s = random.uniform(0.0, 0.25)
            centre = random.choice(list(CENTRES))
            world.schedule(at - early_s, load.submit, world, random, centre)
        gap_s = random.choice([0.0, 0.1, 0.4, 0.8, 1.5])
        at += random.uniform(0.0, gap_s)


def _pick_host(world: FleetWorld, random: Random) -> str:
    """Return a host, often a leader."""
    names = sorted(world.hosts)
    leading = [name for name in names if world.hosts[name].state.hosts.claims]
    return random.choice(leading if leading and random.random() < 0.5 else names)


def _kill(world: FleetWorld, random: Random) -> None:
    world.kill(_pick_host(world, random), random.uniform(0.3, 6.0))


def _lose_leaders_in_a_row(world: FleetWorld, random: Random) -> None:
    """Lose the leader of a data centre, and the next ones soon after."""
    centre = random.choice(list(CENTRES))
    delay_s = 0.0
    for _ in range(random.randint(2, 3)):
        world.schedule(delay_s, _lose_leader, world, random, centre)
        delay_s += random.uniform(0.0, 1.2)


def _lose_leader(world: FleetWorld, random: Random, centre: str) -> None:
    leader = world.leader_of(centre)
    if leader:
        lose = random.choice([world.kill, world.power_off, world.freeze])
        lose(leader, random.uniform(0.8, 4.0))


def _kill_leader(world: FleetWorld, centre: str, down_s: float) -> None:
    leader = world.leader_of(centre)
    if leader:
        world.kill(leader, down_s)


def _kill_host_and_its_leader(world: FleetWorld, random: Random) -> None:
    """Kill hosts of a data centre, its leader among them."""
    centre = random.choice(list(CENTRES))
    names = [name for name in sorted(world.hosts) if name.startswith(centre)]
    for name in random.sample(names, random.randint(1, 4)):
        world.kill(name, random.uniform(0.5, 6.0))
    _kill_leader(world, centre, random.uniform(0.5, 6.0))


def _kill_and_lose_leaders(world: FleetWorld, random: Random) -> None:
    """Kill some hosts while leaders are lost in a row."""
    _kill_many(world, random)
    _lose_leaders_in_a_row(world, random)


def _kill_many(world: FleetWorld, random: Random) -> None:
    for name in random.sample(sorted(world.hosts), random.randint(2, 12)):
        world.kill(name, random.uniform(0.5, 4.0))


def _power_off(world: FleetWorld, random: Random) -> None:
    for _ in range(random.randint(1, 3)):
        world.power_off(_pick_host(world, random), random.uniform(0.5, 6.0))


def _freeze(world: FleetWorld, random: Random) -> None:
    for _ in range(random.randint(1, 3)):
        seconds = random.choice([0.3, 0.8, 1.3, 1.6, 2.0, 3.0])
        world.freeze(_pick_host(world, random), seconds * random.uniform(0.8, 1.2))


def _reset(world: FleetWorld, random: Random) -> None:
    for name in random.sample(sorted(world.hosts), random.randint(1, 10)):
        world.reset_connections(name)


def _cut_hosts(world: FleetWorld, random: Random) -> None:
    """Cut a host from some of the other hosts."""
    name = _pick_host(world, random)
    share = random.choice([0.3, 1.0])
    others = [one for one in sorted(world.hosts) if random.random() < share]
    _cut(world, random, [name], others)


def _cut_workers(world: FleetWorld, random: Random) -> None:
    """Cut a host from some of the workers."""
    name = _pick_host(world, random)
    share = random.choice([0.1, 0.5, 1.0])
    workers = [one for one in world.workers if random.random() < share]
    _cut(world, random, [name], workers)


def _cut_data_centres(world: FleetWorld, random: Random) -> None:
    """Cut a data centre from the others."""
    centre = random.choice(list(CENTRES))
    inside = [name for name in world.hosts if name.startswith(centre)]
    inside += [n for n, w in world.workers.items() if w.entry.data_centre == centre]
    outside = (world.hosts.keys() | world.workers.keys()) - set(inside)
    _cut(world, random, inside, sorted(outside))


def _cut(world: FleetWorld, random: Random, ones: list[str], others: list[str]) -> None:
    there = [(one, other) for one in ones for other in others]
    back = [(other, one) for one, other in there]
    pairs = random.choice([there, back, there + back, there + back])
    seconds = random.choice([0.2, 0.5, 0.9, 1.5, 3.0])
    world.note("network", f"cut {pairs[0][0]} to {pairs[0][1]}, {len(pairs)} paths")
    world.cut_paths(pairs, seconds * random.uniform(0.7, 1.3))


def _cut_callers(world: FleetWorld, random: Random) -> None:
    """Cut some hosts from their callers."""
    names = set(random.sample(sorted(world.hosts), random.randint(1, 12)))
    names -= world.callers.cut_hosts
    world.note("network", f"callers cut from {sorted(names)}")
    world.callers.cut_hosts |= names
    seconds = random.uniform(0.1, 3.0)
    world.schedule(seconds, world.callers.cut_hosts.difference_update, names)


def _late_orders(world: FleetWorld, random: Random) -> None:
    shares = ["late_order_share", "late_stop_share", "late_renewal_share"]
    for name in random.choice([shares, shares[:1], shares[:2]]):
        world.note("workers", f"late: {name}")
        setattr(world, name, random.choice([0.1, 0.3, 0.5]))
        world.schedule(random.uniform(1.0, 6.0), setattr, world, name, 0.0)


def _late_frames(world: FleetWorld, random: Random) -> None:
    world.note("network", "late frames")
    world.network.late_share = random.choice([0.05, 0.2])
    world.network.late_s = random.choice([0.1, 0.4, 1.0])
    restore = (world.network, "late_share", 0.0)
    world.schedule(random.uniform(1.0, 6.0), setattr, *restore)


def _shut_down(world: FleetWorld, random: Random) -> None:
    """Stop hosts gracefully, in series."""
    for number in range(random.randint(1, 4)):
        name = _pick_host(world, random)
        world.schedule(0.4 * number, world.shut_down, name, 1.0)


def _drain_workers(world: FleetWorld, random: Random) -> None:
    world.drain_workers(random.sample(sorted(world.workers), random.randint(1, 20)))


def _crash_workers(world: FleetWorld, random: Random) -> None:
    for name in random.sample(sorted(world.workers), random.randint(1, 6)):
        world.crash(name, down_s=random.uniform(0.3, 3.0))


_FAULTS: tuple[Fault, ...] = (
    _kill,
    _kill,
    _lose_leaders_in_a_row,
    _lose_leaders_in_a_row,
    _kill_and_lose_leaders,
    _kill_and_lose_leaders,
    _kill_host_and_its_leader,
    _kill_host_and_its_leader,
    _kill_many,
    _power_off,
    _freeze,
    _freeze,
    _reset,
    _cut_hosts,
    _cut_hosts,
    _cut_workers,
    _cut_data_centres,
    _cut_callers,
    _late_orders,
    _late_frames,
    _crash_workers,
    _shut_down,
    _drain_workers,
)
