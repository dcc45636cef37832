"""Which faults a seed brings, and when: a pure function of the seed."""

from random import Random
from typing import NamedTuple

from poplarhill_dev.relay_plan import Break, LinkFault
from poplarhill_dev.soak.faults import (
    EndHost,
    EndWorker,
    Fault,
    ForgetHistory,
    HarmLink,
    HarmStore,
    HarmWorker,
    Pause,
    Publish,
    Reload,
    ReloadHost,
)
from poplarhill_platform_dev import StoreFaults, WorkerFaults

STORE = "store"
_FIRST_S = 0.5
# Most faults follow each other; some overlap, and some leave time to settle.
_GAPS_S = ((0.0, 0.3), (0.3, 2.0), (0.3, 2.0), (4.0, 7.0))
_FEW_HOSTS = 6  # larger fleets meet faults as much more often
_SHORT_S = (0.1, 1.0)
_LONG_S = (1.0, 4.0)
_BACK_S = (0.0, 3.0)
_CLOCK_S = 2.0  # time of day of hosts may be off by so much


class Scheduled(NamedTuple):
    """A fault and when it comes, s after the soak's begin."""

    at: float
    fault: Fault


class Schedule(NamedTuple):
    """What a seed brings.

    Attributes:
        seed: The seed.
        families: Kinds of faults that it brings.
        relayed: What hosts reach through the relay: `hosts`, `store`, `workers`.
        faults: The faults in their order.
    """

    seed: int
    families: tuple[str, ...]
    relayed: tuple[str, ...]
    faults: tuple[Scheduled, ...]


def draw(seed: int, hosts: list[str], workers: list[str], seconds: float) -> Schedule:
    """Return the faults of a seed for a fleet.

    Args:
        seed: The seed.
        hosts: Names of the entry hosts.
        workers: Names of the workers' machines.
        seconds: How long faults come, s.
    """
    random = Random(f"soak {seed}")
    families = _families(random)
    relayed = _relayed(random) if "links" in families else ()
    pace = max(1.0, len(hosts) / _FEW_HOSTS)
    faults = []
    at = _FIRST_S
    while at < seconds:
        family = random.choice(families)
        faults.append(Scheduled(at, _FAMILIES[family](random, hosts, workers)))
        at += random.uniform(*random.choice(_GAPS_S)) / pace
    return Schedule(seed, families, relayed, tuple(faults))


def clock_offset_s(seed: int, host: str, life: int) -> float:
    """Return by how much the time of day is off in one life of a host, s."""
    return Random(f"clock {seed} {host} {life}").uniform(-_CLOCK_S, _CLOCK_S)


def _families(random: Random) -> tuple[str, ...]:
    """Return only planned changes, those and one kind, or several kinds."""
    others = [name for name in _FAMILIES if name != "planned"]
    match random.randrange(4):
        case 0:
            return ("planned",)
        case 1:
            return ("planned", random.choice(others))
        case _:
            return tuple(random.sample(list(_FAMILIES), random.randint(2, 5)))


def _relayed(random: Random) -> tuple[str, ...]:
    kinds = ["hosts", "store", "workers"]
    return tuple(random.sample(kinds, random.randint(1, 3)))


def _planned(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    host = random.choice(hosts)
    match random.randrange(6):
        case 0 | 1:
            return EndHost(host, False, random.uniform(*_BACK_S))
        case 2:
            return ReloadHost(host, random.choice(list(Reload)))
        case 3 | 4:
            return Publish()
        case _:
            back_s = random.uniform(*_BACK_S)
            return EndWorker(random.choice(workers), True, back_s, True)


def _processes(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    host = random.choice(hosts)
    if random.random() < 0.5:
        return EndHost(host, True, random.uniform(*_BACK_S))
    return Pause(host, random.uniform(*random.choice((_SHORT_S, _LONG_S))))


def _links(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    host = random.choice(hosts)
    far = random.choice(["", STORE, random.choice(workers), random.choice(hosts)])
    way = (host, far) if random.random() < 0.5 else (far, host)
    for_s = random.uniform(*random.choice((_SHORT_S, _LONG_S)))
    match random.randrange(4):
        case 0 | 1:
            return HarmLink(LinkFault(*way, held=True), for_s)
        case 2:
            delay_s = random.uniform(0.01, 0.4)
            return HarmLink(LinkFault(*way, delay_s=delay_s), for_s)
        case _:
            place = random.choice([host, STORE, random.choice(workers)])
            return Break(place, silent=random.random() < 0.5)


def _store(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    for_s = random.uniform(*_LONG_S)
    match random.randrange(5):
        case 0:
            faults = StoreFaults(failing=random.choice([500, 503, 429]))
        case 1:
            faults = StoreFaults(answer_s=random.uniform(0.1, 1.5))
        case 2:
            faults = StoreFaults(lost_share=random.uniform(0.2, 1.0))
        case 3:
            return Pause(STORE, for_s)
        case _:
            return ForgetHistory()
    return HarmStore(faults, for_s)


def _workers(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    worker = random.choice(workers)
    for_s = random.uniform(*_LONG_S)
    match random.randrange(7):
        case 0 | 1:
            renamed = random.random() < 0.5
            return EndWorker(worker, False, random.uniform(*_BACK_S), renamed)
        case 2:
            return Pause(worker, for_s)
        case 3 | 4:
            faults = WorkerFaults(late_share=random.uniform(0.2, 1.0))
        case 5:
            faults = WorkerFaults(answer_s=random.uniform(0.05, 0.6))
        case _:
            slowdown = random.uniform(2.0, 10.0)
            faults = WorkerFaults(slowdown=slowdown, broken=random.random() < 0.5)
    return HarmWorker(worker, faults, for_s)


_FAMILIES = {
    "planned": _planned,
    "processes": _processes,
    "links": _links,
    "store": _store,
    "workers": _workers,
}
