"""Random faults of the store, and workers that come and go."""

from collections.abc import Callable
from random import Random

from poplarhill_dev.simulation.fleet import FleetWorld
from poplarhill_dev.simulation.store import Omission, Refusal, Staleness

_RETURN_S = 2.0  # by then entries that lapsed during an outage are listed again
# Half of these spells outlast the grace for workers that are no longer listed.
_SPELLS_S = (1.0, 2.0, 6.0, 9.0)


def schedule_store_faults(
    world: FleetWorld, random: Random, begin_s: float, end_s: float
) -> None:
    """Schedule a few faults of the store.

    Args:
        world: The fleet.
        random: Draws the faults.
        begin_s: Time until the first one at the earliest, s.
        end_s: Time until the last one begins at the latest, s.
    """
    for _ in range(random.randint(2, 4)):
        fault = random.choice(STORE_FAULTS)
        world.schedule(random.uniform(begin_s, end_s), fault, world, random)


def _some(random: Random, names: list[str], shares: tuple[float, ...]) -> frozenset:
    """Return a random share of names, at least one."""
    share = random.choice(shares)
    chosen = [name for name in names if random.random() < share]
    return frozenset(chosen or [random.choice(names)])


def _some_hosts(world: FleetWorld, random: Random) -> frozenset[str]:
    return _some(random, sorted(world.hosts), (0.1, 0.35, 0.5, 0.9))


def _some_workers(world: FleetWorld, random: Random) -> frozenset[str]:
    return _some(random, list(world.workers), (0.05, 0.3, 0.9))


def _spell_s(random: Random) -> float:
    return random.choice(_SPELLS_S) * random.uniform(0.8, 1.2)


def _go_down(world: FleetWorld, random: Random) -> None:
    """Serve nobody; some entries lapse meanwhile and return after it."""
    seconds = _spell_s(random)
    world.note("store", f"store is down for {seconds:.2f} s")
    world.store.go_down(seconds)
    if random.random() < 0.6:
        world.note("store", "store lets entries lapse")
        for name in sorted(_some_workers(world, random)):
            back_s = seconds + random.uniform(0.0, _RETURN_S)
            world.store.lapse([name], back_s)


def _refuse_hosts(world: FleetWorld, random: Random) -> None:
    hosts, seconds = _some_hosts(world, random), _spell_s(random)
    world.note("store", f"store refuses {len(hosts)} hosts for {seconds:.2f} s")
    world.store.inject(Refusal(hosts), seconds)


def _omit_entries(world: FleetWorld, random: Random) -> None:
    """Leave entries out of the lists of some hosts, as with revoked keys."""
    hosts, seconds = _some_hosts(world, random), _spell_s(random)
    workers = _some_workers(world, random)
    what = f"store omits {len(workers)} workers from {len(hosts)} hosts"
    world.note("store", f"{what} for {seconds:.2f} s")
    world.store.inject(Omission(hosts, workers), seconds)


def _serve_old_lists(world: FleetWorld, random: Random) -> None:
    hosts, seconds = _some_hosts(world, random), _spell_s(random)
    age_s = random.uniform(0.5, 5.0)
    what = f"store serves {len(hosts)} hosts a list that is {age_s:.2f} s old"
    world.note("store", f"{what} for {seconds:.2f} s")
    world.store.inject(Staleness(hosts, age_s), seconds)


def _delete_entries(world: FleetWorld, random: Random) -> None:
    """Delete entries; their workers write them again."""
    workers = sorted(_some_workers(world, random))
    world.note("store", f"store deletes {len(workers)} entries")
    for name in workers:
        world.store.lapse([name], random.uniform(0.1, _RETURN_S))


def _add_workers(world: FleetWorld, random: Random) -> None:
    count = random.choice([1, 5, 40])
    world.note("store", f"store registers {count} new workers")
    world.add_workers(count)


def _leave_workers(world: FleetWorld, random: Random) -> None:
    names = sorted(_some(random, list(world.workers), (0.05, 0.3)))
    drain_s, stop_after_s = random.uniform(2.0, 4.0), random.uniform(0.05, 1.5)
    world.note("store", f"store is told that {len(names)} workers drain")
    world.leave_workers(names, drain_s, stop_after_s)


STORE_FAULTS: tuple[Callable[[FleetWorld, Random], None], ...] = (
    _go_down,
    _refuse_hosts,
    _omit_entries,
    _omit_entries,
    _serve_old_lists,
    _delete_entries,
    _add_workers,
    _leave_workers,
)
