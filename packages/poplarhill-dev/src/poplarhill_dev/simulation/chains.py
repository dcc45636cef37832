"""Entry hosts and leaders that are lost one after the other, drawn from a seed."""

from random import Random

from poplarhill_dev.leased import simulated_job
from poplarhill_dev.simulation.callers import Caller
from poplarhill_dev.simulation.fleet import CENTRES, SMALL_FLEET, FleetWorld

_FLEETS = (SMALL_FLEET, SMALL_FLEET, CENTRES)
_DRAIN_READ_S = 3.0  # by then all hosts have read which workers drain
_MAX_GAP_S = 1.3
_DOWN_S = 9.0  # longer than the scenario
_RUN_S = (0.5, 3.5)
_CALLER_TIMEOUT_S = 6.0
_AFTER_S = 3.0  # until the second attempts have started


def run_chain(seed: int) -> FleetWorld:
    """Run a fleet that loses entry hosts and then the leaders of their jobs in a row.

    Most entry hosts are in a data centre whose workers may drain. Its jobs are led from
    another one, whose leader notices the loss of a host late.
    """
    random = Random(f"chain {seed}")
    world = FleetWorld(seed, random.choice(_FLEETS))
    led, drained = random.sample(list(CENTRES), 2)
    if random.random() < 0.8:
        world.drain_workers(
            name
            for name, worker in world.workers.items()
            if worker.entry.data_centre == drained
        )
    world.run(_DRAIN_READ_S)
    entries = random.sample(_hosts_of(world, drained), 2)
    entries += random.sample(_hosts_of(world, led), 1)
    _submit(world, random, entries)
    at = random.uniform(0.05, 0.5)
    for name in entries:
        world.schedule(at + random.choice([0.0, 0.0, 0.3]), _lose, world, random, name)
    for _ in range(random.randint(1, 4)):
        at += random.uniform(0.0, _MAX_GAP_S)
        world.schedule(at, _lose_leader, world, random, led)
    if random.random() < 0.3:
        world.schedule(random.uniform(0.0, at), _delay_frames, world, random)
    world.run(at + _AFTER_S)
    return world


def _hosts_of(world: FleetWorld, centre: str) -> list[str]:
    """Return the hosts of a data centre that lead nothing."""
    return [
        name
        for name, host in sorted(world.hosts.items())
        if name.startswith(centre) and not host.state.hosts.claims
    ]


def _submit(world: FleetWorld, random: Random, entries: list[str]) -> None:
    """Let callers send jobs to hosts, and again to any data centre."""
    for number in range(24):
        run_s = random.uniform(*_RUN_S)
        job = simulated_job(f"j{number}", tasks=random.choice([2, 4, 8]), run_s=run_s)
        centre = random.choice(list(CENTRES))
        caller = Caller(job, centre, stated_timeout_s=_CALLER_TIMEOUT_S)
        arrival = random.uniform(0.0, 1.0)
        world.schedule(arrival, world.submit, caller, random.choice(entries))


def _lose(world: FleetWorld, random: Random, name: str) -> None:
    match random.choice(["kill", "kill", "kill", "power", "freeze", "cut"]):
        case "kill":
            world.kill(name, _DOWN_S)
        case "power":
            world.power_off(name, _DOWN_S)
        case "freeze":
            world.freeze(name, random.choice([0.4, 0.8, 1.5, _DOWN_S]))
        case "cut":
            others = [*world.hosts, *world.workers]
            pairs = [(name, other) for other in others]
            pairs += [(other, name) for other in others]
            world.note("network", f"cut {name} from all")
            world.cut_paths(pairs, random.uniform(0.4, 3.0))


def _lose_leader(world: FleetWorld, random: Random, centre: str) -> None:
    leader = world.leader_of(centre)
    if leader:
        _lose(world, random, leader)


def _delay_frames(world: FleetWorld, random: Random) -> None:
    """Let some frames arrive late for a time."""
    world.note("network", "late frames")
    world.network.late_share = random.choice([0.05, 0.2])
    world.network.late_s = random.choice([0.1, 0.4, 1.0])
    world.schedule(random.uniform(0.5, 3.0), setattr, world.network, "late_share", 0.0)
