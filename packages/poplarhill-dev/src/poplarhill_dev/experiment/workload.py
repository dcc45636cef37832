"""Draws arrivals, sizes and run times of jobs from one seeded generator."""

from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from poplarhill_dev.experiment.config import Case, Experiment, Fault, Step

_MIN_RUN_S = 0.05
_MAX_RUN_S = 1.0
_MAX_TAIL_S = 5.0
_TAIL_SHAPE = 2.5
_LOG_SIGMA = 0.7
_MISDECLARED_FACTORS = (0.1, 10.0)


@dataclass(frozen=True)
class Mix:
    """Distributions of one firm's jobs, and its network delays.

    Attributes:
        sizes: Inclusive bounds of each size class, tasks.
        size_shares: Fraction of the jobs in each size class.
        median_run_s: Median run time of a task, s.
        tail_share: Fraction of the tasks that run for seconds.
        slack: Timeout as a multiple of the job's longest run time.
        min_timeout_s: Shortest timeout, s.
        between_centres_s: One-way delay between data centres, s.
        caller_s: One-way delay between callers and entry hosts, s.
    """

    sizes: tuple[tuple[int, int], ...]
    size_shares: tuple[float, ...]
    median_run_s: float
    tail_share: float
    slack: float
    min_timeout_s: float
    between_centres_s: float
    caller_s: float


MIXES = {
    "jacaranda": Mix(
        sizes=((1, 1), (2, 8), (9, 40), (41, 160)),
        size_shares=(0.6, 0.28, 0.1, 0.02),
        median_run_s=0.2,
        tail_share=0.01,
        slack=10.0,
        min_timeout_s=5.0,
        between_centres_s=0.0005,
        caller_s=0.001,
    ),
    "kelani": Mix(
        sizes=((1, 1), (2, 16), (17, 80), (81, 160)),
        size_shares=(0.6, 0.2, 0.14, 0.06),
        median_run_s=0.25,
        tail_share=0.02,
        slack=30.0,
        min_timeout_s=20.0,
        between_centres_s=0.001,
        caller_s=0.003,
    ),
}


class PlannedJob(NamedTuple):
    """One job of a load plan.

    Attributes:
        name: Name of the job in the plan.
        at_s: Arrival, s from the start of the load.
        host: Index of the entry host that the load balancer picks.
        run_s: Run time of each task, s.
        timeout_s: Time until its deadline, s.
        declared_s: Declared run time of a task, s.
        customer: Name of the customer that submits it.
        key: Idempotency key, if the job is not idempotent.
        hang_up_s: When the caller hangs up, if it does, s from the start of the load.
    """

    name: str
    at_s: float
    host: int
    run_s: tuple[float, ...]
    timeout_s: float
    declared_s: float
    customer: str
    key: str | None
    hang_up_s: float | None

    @property
    def longest_s(self) -> float:
        """Run time of the longest task, s."""
        return max(self.run_s)


def plan_jobs(experiment: Experiment, case: Case) -> list[PlannedJob]:
    """Draw the jobs of one run; they do not depend on the policy."""
    random = np.random.default_rng(case.seed)
    mix = MIXES[case.firm]
    slots = experiment.workers * experiment.slots
    rate = case.load * slots / (_mean_size(mix) * _mean_run_s(mix, case.seed))
    waves = [fault for fault in experiment.faults if fault.kind == "cancel_wave"]
    jobs = []
    for number, at_s in enumerate(_arrivals(experiment, rate, random)):
        jobs.append(_job(experiment, mix, waves, number, at_s, random))
    return jobs


def _arrivals(
    experiment: Experiment, rate: float, random: np.random.Generator
) -> list[float]:
    peak = max([1.0, *(step.factor for step in experiment.steps)])
    gap_s = experiment.burst_jobs / (rate * peak)
    arrivals: list[float] = []
    now = random.exponential(gap_s)
    while now < experiment.duration_s:
        if random.random() * peak < _factor(experiment.steps, now):
            count = random.geometric(1 / experiment.burst_jobs)
            arrivals += [now] * int(count)
        now += random.exponential(gap_s)
    return arrivals


def _factor(steps: tuple[Step, ...], now: float) -> float:
    for step in steps:
        if step.from_s <= now < step.until_s:
            return step.factor
    return 1.0


def _job(
    experiment: Experiment,
    mix: Mix,
    waves: list[Fault],
    number: int,
    at_s: float,
    random: np.random.Generator,
) -> PlannedJob:
    low, high = mix.sizes[random.choice(len(mix.sizes), p=mix.size_shares)]
    size = int(random.integers(low, high + 1))
    run_s = _run_times(mix, size, random)
    longest = float(run_s.max())
    declared = float(run_s.mean())
    if random.random() < experiment.misdeclared:
        declared *= float(random.choice(_MISDECLARED_FACTORS))
    keyed = random.random() < experiment.keyed
    hang_ups = [w.at_s for w in waves if random.random() < w.share and at_s < w.at_s]
    return PlannedJob(
        name=f"j{number}",
        at_s=round(at_s, 6),
        host=int(random.integers(experiment.hosts)),
        run_s=tuple(run_s.round(4).tolist()),
        timeout_s=round(max(mix.min_timeout_s, mix.slack * longest), 3),
        declared_s=round(declared, 4),
        customer=f"c{int(random.integers(4))}",
        key=f"k{number}" if keyed else None,
        hang_up_s=min(hang_ups, default=None),
    )


def _run_times(mix: Mix, size: int, random: np.random.Generator) -> np.ndarray:
    body = random.lognormal(np.log(mix.median_run_s), _LOG_SIGMA, size)
    body = body.clip(_MIN_RUN_S, _MAX_RUN_S)
    tail = (_MAX_RUN_S * (1 + random.pareto(_TAIL_SHAPE, size))).clip(max=_MAX_TAIL_S)
    return np.where(random.random(size) < mix.tail_share, tail, body)


def _mean_size(mix: Mix) -> float:
    pairs = zip(mix.sizes, mix.size_shares, strict=True)
    return sum(share * (low + high) / 2 for (low, high), share in pairs)


def _mean_run_s(mix: Mix, seed: int) -> float:
    sample = _run_times(mix, 100_000, np.random.default_rng(seed))
    return float(sample.mean())
