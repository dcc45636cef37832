"""Draws the faults of a soak and their times; a seed always gives the same ones."""

from random import Random
from typing import NamedTuple

from poplarhill_dev.fleet import DATA_CENTRES
from poplarhill_dev.relay_plan import Break, LinkFault
from poplarhill_dev.soak.faults import (
    EndHost,
    EndWorker,
    Evacuate,
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
_FIRST_FAULT_S = 0.5
# Gaps between faults: short ones make faults overlap, the longest let a host recover.
_GAPS_S = ((0.0, 0.3), (0.3, 2.0), (0.3, 2.0), (4.0, 7.0))
_BASE_HOSTS = 6  # fault rate grows in proportion above this size
_SHORT_FAULT_S = (0.1, 1.0)
_LONG_FAULT_S = (1.0, 4.0)
_RESTART_DELAY_S = (0.0, 3.0)
# Two of three are long enough for starts after the users' bound of 5 s.
_EVACUATION_S = ((6.5, 9.0), (6.5, 9.0), (0.05, 1.0))
_MAX_CLOCK_OFFSET_S = 2.0  # of a host's wall clock


class ScheduledFault(NamedTuple):
    """A fault and its time, s after the start of the soak."""

    at: float
    fault: Fault


class Schedule(NamedTuple):
    """The faults drawn from a seed.

    Attributes:
        seed: The seed.
        families: Families from which the faults were drawn.
        relayed: Destinations that hosts reach through the relay: `hosts`, `store`,
            `workers`.
        faults: The faults in order of time.
    """

    seed: int
    families: tuple[str, ...]
    relayed: tuple[str, ...]
    faults: tuple[ScheduledFault, ...]


def draw_schedule(
    seed: int,
    hosts: list[str],
    workers: list[str],
    seconds: float,
    evacuations: bool = False,
) -> Schedule:
    """Draw the faults of a seed for a fleet.

    Args:
        seed: The seed.
        hosts: Names of the entry hosts.
        workers: Names of the workers' machines.
        seconds: Duration of fault injection, s.
        evacuations: Whether data centres are evacuated beside the other faults.
    """
    random = Random(f"soak {seed}")
    families = _draw_families(random)
    relayed = _draw_relayed(random) if "links" in families else ()
    rate = max(1.0, len(hosts) / _BASE_HOSTS)
    faults = []
    at = _FIRST_FAULT_S
    while at < seconds:
        family = random.choice(families)
        faults.append(ScheduledFault(at, _FAMILIES[family](random, hosts, workers)))
        at += random.uniform(*random.choice(_GAPS_S)) / rate
    if evacuations:
        faults = sorted([*faults, *_draw_evacuations(seed, seconds)], key=_time_of)
    return Schedule(seed, families, relayed, tuple(faults))


def _time_of(scheduled: ScheduledFault) -> float:
    return scheduled.at


def _draw_evacuations(seed: int, seconds: float) -> list[ScheduledFault]:
    """Draw evacuations, by a source of their own: seeds keep their other faults.

    Two or more may be in force at once, but each data centre has one at a time.
    """
    random = Random(f"evacuation {seed}")
    faults = []
    for data_centre in DATA_CENTRES:
        at = random.uniform(0.0, seconds)
        while at < seconds:
            for_s = random.uniform(*random.choice(_EVACUATION_S))
            faults.append(ScheduledFault(at, Evacuate(data_centre, for_s)))
            at += for_s + random.uniform(0.5, seconds)
    return faults


def clock_offset_s(seed: int, host: str, life: int) -> float:
    """Return the error of the wall clock in one life of a host, s."""
    return Random(f"clock {seed} {host} {life}").uniform(
        -_MAX_CLOCK_OFFSET_S, _MAX_CLOCK_OFFSET_S
    )


def _draw_families(random: Random) -> tuple[str, ...]:
    """Draw planned changes alone, with one other family, or several families."""
    others = [name for name in _FAMILIES if name != "planned"]
    match random.randrange(4):
        case 0:
            return ("planned",)
        case 1:
            return ("planned", random.choice(others))
        case _:
            return tuple(random.sample(list(_FAMILIES), random.randint(2, 5)))


def _draw_relayed(random: Random) -> tuple[str, ...]:
    kinds = ["hosts", "store", "workers"]
    return tuple(random.sample(kinds, random.randint(1, 3)))


def _draw_planned_change(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    host = random.choice(hosts)
    match random.randrange(6):
        case 0 | 1:
            return EndHost(host, False, random.uniform(*_RESTART_DELAY_S))
        case 2:
            return ReloadHost(host, random.choice(list(Reload)))
        case 3 | 4:
            return Publish()
        case _:
            back_s = random.uniform(*_RESTART_DELAY_S)
            return EndWorker(random.choice(workers), True, back_s, True)


def _draw_process_fault(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    host = random.choice(hosts)
    if random.random() < 0.5:
        return EndHost(host, True, random.uniform(*_RESTART_DELAY_S))
    return Pause(host, random.uniform(*random.choice((_SHORT_FAULT_S, _LONG_FAULT_S))))


def _draw_link_fault(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    host = random.choice(hosts)
    other_end = random.choice(["", STORE, random.choice(workers), random.choice(hosts)])
    ends = (host, other_end) if random.random() < 0.5 else (other_end, host)
    for_s = random.uniform(*random.choice((_SHORT_FAULT_S, _LONG_FAULT_S)))
    match random.randrange(4):
        case 0 | 1:
            return HarmLink(LinkFault(*ends, held=True), for_s)
        case 2:
            delay_s = random.uniform(0.01, 0.4)
            return HarmLink(LinkFault(*ends, delay_s=delay_s), for_s)
        case _:
            place = random.choice([host, STORE, random.choice(workers)])
            return Break(place, silent=random.random() < 0.5)


def _draw_store_fault(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    for_s = random.uniform(*_LONG_FAULT_S)
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


def _draw_worker_fault(random: Random, hosts: list[str], workers: list[str]) -> Fault:
    worker = random.choice(workers)
    for_s = random.uniform(*_LONG_FAULT_S)
    match random.randrange(7):
        case 0 | 1:
            renamed = random.random() < 0.5
            return EndWorker(worker, False, random.uniform(*_RESTART_DELAY_S), renamed)
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
    "planned": _draw_planned_change,
    "processes": _draw_process_fault,
    "links": _draw_link_fault,
    "store": _draw_store_fault,
    "workers": _draw_worker_fault,
}
