"""Seeded arrivals of jobs, and the delays of both firms."""

from random import Random
from typing import NamedTuple

_SIZES = ((0.60, 1, 1), (0.85, 2, 8), (0.95, 9, 40), (0.99, 41, 100), (1.0, 101, 160))
_RUN_S = (0.05, 1.0)
_TAIL_CHANCE = 0.02
_TAIL_RUN_S = (1.0, 5.0)
_MEAN_SAMPLES = 20000


class Firm(NamedTuple):
    """Network delays and preferences of a firm.

    Attributes:
        name: Name of the firm.
        link_s: One-way delay between data centres, s.
        caller_s: One-way delay between caller and entry host, s.
        lending: Whether hosts lend slots, given the measure that the firm weighs more.
    """

    name: str
    link_s: float
    caller_s: float
    lending: bool

    @property
    def round_trips_s(self) -> float:
        """Sum of the round trips caller to host and host to worker, s."""
        return 2 * (self.caller_s + self.link_s)


JACARANDA = Firm("jacaranda", 0.0005, 0.001, True)
KELANI = Firm("kelani", 0.001, 0.003, False)
FIRMS = {firm.name: firm for firm in (JACARANDA, KELANI)}


class Arrival(NamedTuple):
    """One job.

    Attributes:
        at: When its caller's request reaches an entry host, s.
        host: Random number; modulo the number of hosts it gives the entry host.
        run_s: Run time of each task, s.
    """

    at: float
    host: int
    run_s: tuple[float, ...]


def poisson_arrivals(
    seed: int, load: float, slots: int, duration_s: float
) -> list[Arrival]:
    """Return Poisson arrivals that keep a fraction of the slots busy on average.

    Args:
        seed: Seed of the arrivals.
        load: Fraction of the slots that are busy, 0 to 1.
        slots: Total slots of all workers.
        duration_s: Duration of the arrivals, s.
    """
    random = Random(seed)
    sample = Random(0)
    work_s = sum(sum(_run_times(sample)) for _ in range(_MEAN_SAMPLES)) / _MEAN_SAMPLES
    rate = load * slots / work_s
    jobs = []
    at = random.expovariate(rate)
    while at < duration_s:
        jobs.append(Arrival(at, random.randrange(1 << 16), _run_times(random)))
        at += random.expovariate(rate)
    return jobs


def _run_times(random: Random) -> tuple[float, ...]:
    draw = random.random()
    low, high = next((a, b) for limit, a, b in _SIZES if draw <= limit)
    return tuple(_run_time(random) for _ in range(random.randint(low, high)))


def _run_time(random: Random) -> float:
    if random.random() < _TAIL_CHANCE:
        return random.uniform(*_TAIL_RUN_S)
    low, high = _RUN_S
    return low * (high / low) ** random.random()
