"""Leaders and entry hosts that are paused while others restart, drawn from a seed.

What a leader reads when it resumes is old, and some of it comes from hosts that it does
not know yet. Callers send their jobs again meanwhile, to hosts of other data centres.
"""

from random import Random
from types import MappingProxyType

from poplarhill_dev.leased import simulated_job
from poplarhill_dev.simulation.callers import Caller
from poplarhill_dev.simulation.fleet import SMALL_FLEET, FleetWorld

# Hosts by data centre, and the count of workers.
_FLEETS = (
    (MappingProxyType({"dc1": 2, "dc2": 2, "dc3": 2}), 90),
    (MappingProxyType({"dc1": 3, "dc2": 3, "dc3": 3}), 100),
    (MappingProxyType({"dc1": 2, "dc2": 3, "dc3": 2}), 100),
    (SMALL_FLEET, 100),
)
_ROUNDS = 4
_ROUND_S = 9.0
_AFTER_S = 6.0  # until the last second attempts have ended
_JOBS = 8  # of a round
_RUN_S = (0.3, 2.0)
_PAUSES_S = (0.3, 0.8, 1.5, 2.5, 3.3, 5.0, 10.0)
_DOWN_S = (0.2, 0.6)
_RESTART_SHARE = 0.7  # of the hosts that offer jobs
_ALL_PAUSED_SHARE = 0.7  # of the rounds
_CALLER_TIMEOUTS_S = (1.0, 1.5, 6.0)


def run_pauses(seed: int) -> FleetWorld:
    """Run a fleet whose leaders are paused while hosts that offer jobs restart."""
    random = Random(f"pauses {seed}")
    centres, workers = random.choice(_FLEETS)
    world = FleetWorld(seed, centres, workers)
    for _ in range(_ROUNDS):
        _begin_round(world, random, random.choice(sorted(centres)))
        world.run(_ROUND_S)
    world.run(_AFTER_S)
    return world


def _begin_round(world: FleetWorld, random: Random, centre: str) -> None:
    """Pause the leader of a data centre, and let others restart and be paused."""
    leader = world.leader_of(centre)
    others = [name for name in sorted(world.hosts) if name != leader]
    near = [name for name in others if name.startswith(centre)]
    entries = [random.choice(near or others), random.choice(others)]
    paused_at = random.uniform(2.0, 2.4)
    for name in entries:
        # The leader knows a host that restarts for a moment only, or not at all.
        if random.random() < _RESTART_SHARE:
            at = paused_at - random.uniform(0.4, 1.8)
            world.schedule(at, world.kill, name, random.uniform(*_DOWN_S))
    pause_s = random.choice(_PAUSES_S) * random.uniform(0.8, 1.2)
    if leader:
        world.schedule(paused_at, world.freeze, leader, pause_s)
    if random.random() < _ALL_PAUSED_SHARE:
        # Nobody is left in the data centre who would claim its workers.
        for name in near:
            at = paused_at + random.uniform(0.2, 0.6)
            world.schedule(at, world.freeze, name, pause_s + random.uniform(0.0, 0.8))
    _submit(world, random, entries, paused_at)


def _submit(
    world: FleetWorld, random: Random, entries: list[str], paused_at: float
) -> None:
    """Let callers send jobs to some hosts, about when a leader is paused."""
    centres = sorted({name.partition("-")[0] for name in world.hosts})
    first = len(world.callers.by_job)
    for number in range(first, first + _JOBS):
        job = simulated_job(
            f"j{number}",
            tasks=random.choice([1, 2, 4]),
            run_s=random.uniform(*_RUN_S),
        )
        caller = Caller(
            job,
            random.choice(centres),
            stated_timeout_s=random.choice(_CALLER_TIMEOUTS_S),
        )
        arrival = paused_at + random.uniform(-0.1, 0.5)
        world.schedule(arrival, world.submit, caller, random.choice(entries))
