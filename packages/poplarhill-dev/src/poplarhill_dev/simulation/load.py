"""Random jobs and callers of a simulated fleet, drawn from a seed."""

import math
from enum import StrEnum
from random import Random
from typing import NamedTuple

from poplarhill_dev.leased import SimulatedJob, simulated_job
from poplarhill_dev.simulation.callers import ROUTE, Caller
from poplarhill_dev.simulation.fleet import CENTRES, FleetWorld
from poplarhilld.peers.messages import StepSpec

LOAD_S = 4.5
_JOBS_PER_S = 10.0
_SHORT_RUNS_S = (0.2, 0.9, 0.9, 0.9)
_ROUTE_TIMEOUTS_S = (1.3, 1.6)


class CallerKind(StrEnum):
    """How long the callers of a scenario wait.

    Attributes:
        SHORT: As long as the timeout of their route, and they resend.
        LONG: Most state a longer time; in half of the scenarios they don't resend.
        MIXED: One of the two, by the seed.
    """

    SHORT = "short"
    LONG = "long"
    MIXED = "mixed"


class JobKind(NamedTuple):
    """Jobs of one route.

    Attributes:
        route: Name of the route.
        run_s: Shortest and longest declared run time of a task, s.
        steps: Largest count of steps.
        caller_timeout_s: Shortest and longest time that a caller states, s; empty if
            callers state none.
    """

    route: str
    run_s: tuple[float, float]
    steps: int
    caller_timeout_s: tuple[float, float] | tuple[()] = ()


_JOB_KINDS = (
    JobKind("check", (0.06, 0.4), 2, (1.8, 2.4)),
    JobKind("pass", (0.2, 0.9), 3, (1.9, 4.8)),
    JobKind("transfer", (0.5, 2.5), 2, (3.1, 12.9)),
    JobKind("transfer", (0.5, 2.5), 2, (3.1, 12.9)),
    JobKind("report", (0.1, 0.9), 1),
)


class Load:
    """Draws the callers of a scenario.

    Args:
        seed: Seed of the scenario.
        kind: How long callers wait.

    Attributes:
        long: Whether callers wait for longer than the timeout of their route.
        resends: Whether callers send a job again after a failed attempt.
    """

    def __init__(self, seed: int, kind: CallerKind) -> None:
        random = Random(f"callers {seed}")
        mixed_long = random.random() < 0.6
        self.long = kind is CallerKind.LONG or (kind is CallerKind.MIXED and mixed_long)
        self.resends = not self.long or random.random() < 0.5
        self._route_timeout_s = random.uniform(*_ROUTE_TIMEOUTS_S)

    def schedule(self, world: FleetWorld, random: Random) -> None:
        """Schedule arrivals, more of them in one data centre than in the others."""
        rate = _JOBS_PER_S * random.choice([0.5, 1.0, 3.0])
        weights = [random.choice([1, 1, 4]) for _ in CENTRES]
        at = 0.0
        while at < LOAD_S:
            at += random.expovariate(rate)
            [centre] = random.choices(list(CENTRES), weights)
            world.schedule(at, self.submit, world, random, centre)

    def submit(self, world: FleetWorld, random: Random, centre: str) -> None:
        """Let a caller submit a job to a host of its data centre."""
        job_id = f"j{len(world.callers.by_job)}"
        draw = self._long_caller if self.long else self._short_caller
        world.submit(draw(random, job_id, centre))

    def _short_caller(self, random: Random, job_id: str, centre: str) -> Caller:
        run_s = random.choice(_SHORT_RUNS_S)
        job = simulated_job(job_id, tasks=random.choice([2, 4, 8]), run_s=run_s)
        _draw_runs(random, job)
        return Caller(job, centre)

    def _long_caller(self, random: Random, job_id: str, centre: str) -> Caller:
        kind = random.choice(_JOB_KINDS)
        job = _job(random, kind, job_id)
        route = ROUTE._replace(name=kind.route, timeout_s=self._route_timeout_s)
        stated_s = math.inf
        if kind.caller_timeout_s:
            stated_s = random.uniform(*kind.caller_timeout_s)
        return Caller(job, centre, route, stated_s, self.resends)


def _job(random: Random, kind: JobKind, job_id: str) -> SimulatedJob:
    """Draw a job whose steps run one after the other."""
    run_s = random.uniform(*kind.run_s)
    tasks, cores = random.choice([2, 4, 8]), random.choice([3.4, 6.8])
    job = simulated_job(job_id, tasks=tasks, run_s=run_s, cores=cores)
    [first] = job.offer.steps
    steps = [first]
    for number in range(1, random.choice([1, 1, kind.steps])):
        count = random.choice([1, 2, 4])
        steps.append(StepSpec(count, first.needs, run_s, after=(number - 1,)))
    offer = job.offer._replace(route=kind.route, steps=tuple(steps))
    job = SimulatedJob(offer, run_s, job.needs)
    _draw_runs(random, job)
    return job


def _draw_runs(random: Random, job: SimulatedJob) -> None:
    """Draw the run time of each task, which the declared one only estimates."""
    for number, step in enumerate(job.offer.steps):
        for task in range(step.count):
            run_s = job.run_s * random.uniform(0.6, 1.8)
            job.runs[f"{job.offer.job_id}.0.{number}.{task}"] = run_s
