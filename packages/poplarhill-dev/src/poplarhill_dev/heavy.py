"""Simulates the usual workload with one leader and 24 workers.

Arrival times, run times, declared run times and worker speeds are drawn at random
from the distributions that users state for this workload. The command prints the
share of jobs that are answered in time at a load.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

import click

from poplarhill.types import Resources
from poplarhill_dev.leased import SimulatedJob, SimulatedWorker, World, worker_entry
from poplarhilld.peers.messages import JobOffer, StepSpec

DEADLINE_S = 1.5
LATE_CREDIT = 0.2
LATE_LIMIT_FACTOR = 3.0
LONG_TAIL_FACTOR = 7.0  # run times of the tasks of the long tail, as users state it
_STEP_S = 0.02
# Factors on the run times of the workers, as users state them for the usual workload.
_SLOWDOWNS = (0.8, 1.0, 1.25)
# Standard deviation of the logarithm of declared over actual run time, as observed
# on two days.
_DECLARED_ERROR_SIGMA = 0.4
# Standard deviation of the run times of the tasks of one job over their mean, as users
# state it for the usual workload.
_UNEVENNESS = 0.15


class Kind(NamedTuple):
    """One kind of job of the workload.

    Attributes:
        name: Its name.
        rate: Jobs per second at a load of 1.
        tasks: Mean count of tasks.
        max_tasks: Largest count of tasks.
        run_s: Mean run time of a task, s.
        priority: Priority of its jobs; 0 is the highest.
        value: Value of a job that is answered in time.
        max_attempts: Failed runs after which a task has failed.
        cores: Mean of the cores that a task uses.
        max_cores: Most cores that a task uses.
    """

    name: str
    rate: float
    tasks: float
    max_tasks: int
    run_s: float
    priority: int
    value: float
    max_attempts: int
    cores: float = 6.8
    max_cores: float = 10.0


KINDS = (
    Kind("short wide", 17.2, 8, 32, 0.06, 0, 0.0291, 4),
    Kind("long", 3.12, 4, 16, 0.9, 2, 0.16, 2),
    Kind("short narrow", 50.0, 2, 8, 0.2, 1, 0.01, 2),
)


@dataclass
class Submitted:
    """A job that a caller has submitted.

    Attributes:
        kind: Its kind.
        at: When it was submitted, s.
        objective_s: Longest response time that counts as in time, s.
        size: Work of all its tasks, core-seconds.
        possible: Whether the fastest worker could complete its longest task before
            the caller's deadline.
    """

    kind: Kind
    at: float
    objective_s: float
    size: float
    possible: bool

    @classmethod
    def of(
        cls,
        job: SimulatedJob,
        kind: Kind,
        at: float,
        longest_task_s: float,
        slowdowns: Sequence[float] = _SLOWDOWNS,
    ) -> "Submitted":
        """Return the scoring data of a job, given its longest task's run time, s."""
        size = sum(s.count * s.needs.cores for s in job.offer.steps) * job.run_s
        possible = longest_task_s * min(slowdowns) < job.offer.left_s
        return cls(kind, at, 1.6 * longest_task_s + 0.06, size, possible)


class KindScore(NamedTuple):
    """Scores of the jobs of a kind.

    The pairs are shares of the largest tenth of the jobs and of the next fifth.

    Attributes:
        jobs: Count of jobs.
        in_time: Share that was answered within the objective.
        served: Share that was complete before the leader abandoned it, which may
            be a tick after the caller's deadline.
        credit: Mean credit of a job: 1 in time, `LATE_CREDIT` up to
            `LATE_LIMIT_FACTOR` times the objective, 0 after that.
        large: Shares that were served.
        before_deadline: Shares that were complete before the caller's deadline;
            printed as `kept`.
        possible: Shares that the fastest worker could have completed before it.
    """

    jobs: int
    in_time: float
    served: float
    credit: float
    large: tuple[float, float]
    before_deadline: tuple[float, float]
    possible: tuple[float, float]


def replay(
    load: float,
    seconds: float,
    seed: int,
    outage_s: float = 0.0,
    deadline_s: float = DEADLINE_S,
    slowdowns: Sequence[float] = _SLOWDOWNS,
) -> dict[str, KindScore]:
    """Run a load through one leader and return the scores of each kind.

    Args:
        load: Factor on the arrival rates; heavy days have 1.1 to 1.4.
        seconds: How long jobs arrive, s.
        seed: Seed of every random choice.
        outage_s: How long no host was up before the leader starts, s. The callers
            of that time still wait and resend all at once; they are not scored.
        deadline_s: How long callers wait, s.
        slowdowns: Factors on run times, one of which is drawn for each worker.
    """
    random = Random(seed)
    world = World(draw_workers(random, slowdowns), seed)
    world.add_leader("h1", 1)
    world.run(0.3)
    submitted: dict[str, Submitted] = {}
    begin = world.now
    for number, (at, kind) in enumerate(arrivals(random, KINDS, load, outage_s)):
        left_s = max(0.01, deadline_s - outage_s + at)
        job, _ = draw_job(random, kind, f"resent{number}", left_s)
        world.submit("h1", job)
    for number, (at, kind) in enumerate(arrivals(random, KINDS, load, seconds)):
        if begin + at > world.now:
            world.run(begin + at - world.now)
        job, longest_task_s = draw_job(random, kind, f"j{number}", deadline_s)
        submitted[job.offer.job_id] = Submitted.of(
            job, kind, world.now, longest_task_s, slowdowns
        )
        world.submit("h1", job)
    world.run(2.0)
    ended: dict[str, float] = {}
    for at, _, report in world.reports:
        if getattr(report, "error", None) == "":
            ended.setdefault(report.job_id, at)
    return score(KINDS, submitted, ended, deadline_s)


def draw_workers(random: Random, slowdowns: Sequence[float]) -> list[SimulatedWorker]:
    """Return 24 workers of 16 and 24 cores with slowdowns drawn at random."""
    workers = []
    for number in range(24):
        cores = 24.0 if number % 3 == 2 else 16.0
        entry = worker_entry(f"w{number}", cores)._replace(
            data_centre=f"dc{number // 8 + 1}"
        )
        workers.append(SimulatedWorker(entry, slowdown=random.choice(slowdowns)))
    return workers


def arrivals(
    random: Random, kinds: Iterable[Kind], load: float, seconds: float
) -> list[tuple[float, Kind]]:
    """Draw the arrival times of jobs, s, in ascending order."""
    found = []
    for kind in kinds:
        at = 0.0
        while True:
            at += random.expovariate(kind.rate * load)
            if at > seconds:
                break
            found.append((at, kind))
    return sorted(found, key=lambda arrival: arrival[0])


def _draw_lognormal(random: Random, mean: float, spread: float, most: float) -> float:
    """Draw from a lognormal distribution with a mean, capped at `most`."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(most, random.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))


def draw_job(
    random: Random,
    kind: Kind,
    name: str,
    left_s: float = DEADLINE_S,
    long_tail: float = 0.0,
) -> tuple[SimulatedJob, float]:
    """Draw a job; also return the run time of its longest task, s.

    Args:
        random: Source of random choices.
        kind: Kind of the job.
        name: Its name.
        left_s: How long its caller waits, s.
        long_tail: Share of its tasks that run seven times as long.
    """
    count = max(1, round(_draw_lognormal(random, kind.tasks, 0.4, kind.max_tasks)))
    run_s = _draw_lognormal(random, kind.run_s, 0.4, 4 * kind.run_s)
    drawn = _draw_lognormal(random, kind.cores, 0.2, kind.max_cores)
    cores = round(max(1.0, drawn), 3)
    declared_s = run_s * math.exp(random.gauss(0.0, _DECLARED_ERROR_SIGMA))
    needs = Resources(cores, 64, 0)
    offer = JobOffer(
        job_id=name,
        route=kind.name,
        service="booking",
        body="{}",
        steps=(StepSpec(count, needs, declared_s),),
        priority=kind.priority,
        max_attempts=kind.max_attempts,
        stretch=1.6,
        allowance_s=0.06,
        elapsed_s=0.0,
        left_s=left_s,
    )
    runs = {
        f"{name}.0.0.{index}": _draw_lognormal(random, run_s, _UNEVENNESS, math.inf)
        for index in range(count)
    }
    if long_tail:
        for task in runs:
            if random.random() < long_tail:
                runs[task] *= LONG_TAIL_FACTOR
    job = SimulatedJob(offer, run_s, needs, runs=runs)
    return job, max(runs.values())


def score(
    kinds: Iterable[Kind],
    submitted: Mapping[str, Submitted],
    ended: Mapping[str, float],
    deadline_s: float = DEADLINE_S,
) -> dict[str, KindScore]:
    """Return the scores of the jobs of each kind.

    Args:
        kinds: The kinds.
        submitted: Jobs by name.
        ended: When the complete jobs were answered, by name, s.
        deadline_s: How long callers wait, s.
    """
    scores = {}
    for kind in kinds:
        jobs = {n: job for n, job in submitted.items() if job.kind is kind}
        took = {n: ended[n] - jobs[n].at for n in jobs if n in ended}
        before_deadline = {n for n, took_s in took.items() if took_s <= deadline_s}
        in_time_count = sum(took[n] <= jobs[n].objective_s for n in took)
        late_count = sum(
            jobs[n].objective_s < took[n] <= LATE_LIMIT_FACTOR * jobs[n].objective_s
            for n in took
        )
        by_size = sorted(jobs, key=lambda n: -jobs[n].size)
        tenth = max(1, len(by_size) // 10)
        parts = (by_size[:tenth], by_size[tenth : 3 * tenth])
        scores[kind.name] = KindScore(
            len(jobs),
            in_time_count / len(jobs),
            len(took) / len(jobs),
            (in_time_count + LATE_CREDIT * late_count) / len(jobs),
            tuple(sum(n in took for n in part) / len(part) for part in parts),
            tuple(
                sum(n in before_deadline for n in part) / len(part) for part in parts
            ),
            tuple(sum(jobs[n].possible for n in part) / len(part) for part in parts),
        )
    return scores


@click.command()
@click.option("--load", default=1.0, help="Factor on the arrival rates.")
@click.option("--seconds", default=20.0, help="How long jobs arrive, s.")
@click.option("--seeds", default=3, help="Count of seeds.")
def heavy(load: float, seconds: float, seeds: int) -> None:
    """Show the share of jobs in time at a load, by kind of job."""
    for seed in range(seeds):
        scores = replay(load, seconds, seed)
        for name, score in scores.items():
            large = " ".join(f"{share:.2f}" for share in score.large)
            before_deadline = " ".join(
                f"{share:.2f}" for share in score.before_deadline
            )
            possible = " ".join(f"{share:.2f}" for share in score.possible)
            click.echo(
                f"load {load:g} seed {seed} {name:12s} jobs {score.jobs:4d} "
                f"in time {score.in_time:.3f} served {score.served:.3f} "
                f"credit {score.credit:.3f} large {large} "
                f"kept {before_deadline} of {possible}"
            )
        mean = sum(score.credit for score in scores.values()) / len(scores)
        click.echo(f"load {load:g} seed {seed} mean credit {mean:.3f}")


if __name__ == "__main__":
    heavy()
