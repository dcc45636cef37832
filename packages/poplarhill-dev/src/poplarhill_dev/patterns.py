"""Replays patterns of load through one leader, to weigh rules of placement.

The load is the work that arrives per second over the cores of the workers. The command
prints a row per pattern and variant, as means over seeds.
"""

import math
from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from random import Random
from statistics import fmean
from typing import NamedTuple

import click

from poplarhill_dev.heavy import (
    DEADLINE_S,
    LATE_CREDIT,
    LATE_LIMIT_FACTOR,
    Kind,
    Submitted,
    arrivals,
    draw_job,
    draw_workers,
)
from poplarhill_dev.leased import World
from poplarhilld.leases import Run, RunEndKind
from poplarhilld.lookahead import LOOKAHEAD_OFF, LookaheadMode, LookaheadOptions

_BASE_WEIGHT = (
    0.3  # users weigh a job by 0.3 + 0.7 x its work over the mean of its route
)
_WARM_UP_S = 1.0  # excluded from the cores in use
_PROCESSES = 3


class Burst(NamedTuple):
    """Additional arrivals of one kind.

    Attributes:
        kind: Name of the kind.
        begin_s: When it begins, s.
        end_s: When it ends, s.
        load: Its work over the cores of the workers.
    """

    kind: str
    begin_s: float
    end_s: float
    load: float


class Pattern(NamedTuple):
    """A pattern of load.

    Attributes:
        name: Its name.
        load: Work that arrives over the cores of the workers.
        shares: Share of the work of each kind.
        bursts: Additional arrivals.
        slowdowns: Factors on run times, one of which is drawn for each worker.
        long_tail: Share of the tasks that run seven times as long.
    """

    name: str
    load: float
    shares: Mapping[Kind, float]
    bursts: tuple[Burst, ...] = ()
    slowdowns: tuple[float, ...] = (0.8, 1.0, 1.25)
    long_tail: float = 0.0


# Run times, counts of tasks and cores are those that the new deployments state.
_WIDE = Kind("wide", 0.0, 8, 32, 0.05, 0, 0.0, 4, cores=5.5, max_cores=12.0)
_WIDEST = Kind("wide", 0.0, 16, 32, 0.2, 0, 0.0, 4, cores=7.5, max_cores=12.0)
_LONG = Kind("long", 0.0, 4, 16, 0.9, 2, 0.0, 2, cores=8.5, max_cores=12.0)
_NARROW = Kind("narrow", 0.0, 2, 8, 0.2, 1, 0.0, 2, cores=7.0, max_cores=12.0)
_SMALL = Kind("small", 0.0, 2, 4, 0.2, 1, 0.0, 2, cores=4.0, max_cores=6.0)
_HUGE = Kind("huge", 0.0, 26, 32, 0.2, 1, 0.0, 2, cores=11.0, max_cores=12.0)
_THICK = Kind("thick", 0.0, 2, 8, 0.2, 1, 0.0, 2, cores=10.5, max_cores=12.0)
_MIXED = {_WIDE: 0.2, _LONG: 0.35, _NARROW: 0.45}

PATTERNS = (
    Pattern("overload", 1.3, _MIXED),
    Pattern(
        "wide burst",
        0.75,
        {_NARROW: 0.9, _WIDEST: 0.1},
        tuple(Burst("wide", at, at + 1.0, 0.9) for at in (2.0, 5.0, 8.0)),
    ),
    Pattern("huge job", 0.95, {_SMALL: 0.85, _HUGE: 0.15}),
    Pattern("fragmented", 1.15, {_SMALL: 0.4, _THICK: 0.4, _LONG: 0.2}),
    Pattern("estimates", 1.3, _MIXED, slowdowns=(0.6, 1.0, 1.6), long_tail=0.03),
)


class RouteResult(NamedTuple):
    """Results of the jobs of a route.

    Attributes:
        jobs: Count of jobs.
        credit: Mean credit, weighted by work.
        served: Share that was answered while its caller waited.
        tenth: Share served of the largest tenth, over that of the route. Only jobs
            that the fastest worker could complete in time count.
        fifth: The same of the fifth below it.
    """

    jobs: int
    credit: float
    served: float
    tenth: float
    fifth: float


class PatternResult(NamedTuple):
    """Results of a replay.

    Attributes:
        in_use: Share of the cores in use while jobs arrived.
        useful: Share of the cores in use for jobs that were answered in time to count.
        longest_wait_s: Longest time from arrival to the last start of a served job, s.
        routes: Results by route.
        starts: Count of started runs.
        violations: Violated invariants.
    """

    in_use: float
    useful: float
    longest_wait_s: float
    routes: dict[str, RouteResult]
    starts: int
    violations: int

    @property
    def credit(self) -> float:
        """Mean credit of the routes."""
        return fmean(route.credit for route in self.routes.values())


def replay_pattern(
    pattern: Pattern,
    seconds: float,
    seed: int,
    lookahead: LookaheadOptions = LOOKAHEAD_OFF,
) -> PatternResult:
    """Run a pattern of load through one leader.

    Args:
        pattern: The pattern.
        seconds: How long jobs arrive, s.
        seed: Seed of every random choice.
        lookahead: Options of the placement that looks ahead.
    """
    random = Random(seed)
    world = World(draw_workers(random, pattern.slowdowns), seed)
    cores = sum(worker.entry.room.cores for worker in world.workers.values())
    world.add_leader("h1", 1, lookahead=lookahead)
    world.run(0.3)
    begin = world.now
    spans: dict[str, list[tuple[float, float]]] = {}

    def note_end(at: float, run: Run, kind: RunEndKind) -> None:
        started = world.starts_by_task[run.task][-1]
        spans.setdefault(run.task.split(".")[0], []).append((started, at))

    for worker in world.workers.values():
        worker.on_end = note_end
    submitted: dict[str, Submitted] = {}
    drawn = _draw_arrivals(random, pattern, cores, seconds)
    for number, (at, kind) in enumerate(drawn):
        job, longest_s = draw_job(
            random, kind, f"j{number}", DEADLINE_S, pattern.long_tail
        )
        submitted[job.offer.job_id] = Submitted.of(
            job, kind, begin + at, longest_s, pattern.slowdowns
        )
        world.submit_at(begin + at, "h1", job)
    world.run(seconds + 2.0)
    return _result(
        world, submitted, spans, cores, (begin + _WARM_UP_S, begin + seconds)
    )


def _draw_arrivals(
    random: Random, pattern: Pattern, cores: float, seconds: float
) -> list[tuple[float, Kind]]:
    found = []
    by_name = {kind.name: kind for kind in pattern.shares}
    for kind, share in pattern.shares.items():
        rate = pattern.load * share * cores / _work(kind)
        found += arrivals(random, (kind._replace(rate=rate),), 1.0, seconds)
    for burst in pattern.bursts:
        kind = by_name[burst.kind]
        rate = burst.load * cores / _work(kind)
        length_s = min(seconds, burst.end_s) - burst.begin_s
        drawn = arrivals(random, (kind._replace(rate=rate),), 1.0, length_s)
        found += [(burst.begin_s + at, kind) for at, kind in drawn]
    return sorted(found, key=lambda arrival: arrival[0])


def _work(kind: Kind) -> float:
    """Return the mean work of a job of a kind, core-seconds."""
    return kind.tasks * kind.run_s * kind.cores


def _result(
    world: World,
    submitted: Mapping[str, Submitted],
    spans: Mapping[str, Sequence[tuple[float, float]]],
    cores: float,
    window: tuple[float, float],
) -> PatternResult:
    ended: dict[str, float] = {}
    for at, _, report in world.reports:
        if getattr(report, "error", None) == "":
            ended.setdefault(report.job_id, at)
    credit = {n: _credit(job, ended.get(n)) for n, job in submitted.items()}
    first, last = window
    in_use = useful = 0.0
    for name, runs in spans.items():
        needs = world.jobs[name].needs.cores
        used = sum(max(0.0, min(b, last) - max(a, first)) for a, b in runs) * needs
        in_use += used
        useful += used * (credit[name] > 0)
    waits = [
        max(world.starts_by_task[task][0] for task in world.jobs[name].runs)
        - submitted[name].at
        for name in ended
    ]
    routes = {}
    for route in sorted({job.kind.name for job in submitted.values()}):
        jobs = {n: job for n, job in submitted.items() if job.kind.name == route}
        routes[route] = _route_result(jobs, credit, ended)
    total = cores * (last - first)
    return PatternResult(
        in_use / total,
        useful / total,
        max(waits, default=0.0),
        routes,
        world.starts,
        len(world.violations),
    )


def _credit(job: Submitted, ended_at: float | None) -> float:
    took_s = math.inf if ended_at is None else ended_at - job.at
    if took_s <= job.objective_s:
        return 1.0
    return LATE_CREDIT if took_s <= LATE_LIMIT_FACTOR * job.objective_s else 0.0


def _route_result(
    jobs: Mapping[str, Submitted], credit: Mapping[str, float], ended: Mapping
) -> RouteResult:
    mean_size = fmean(job.size for job in jobs.values())
    weights = {
        name: _BASE_WEIGHT + (1 - _BASE_WEIGHT) * job.size / mean_size
        for name, job in jobs.items()
    }
    possible = [name for name in jobs if jobs[name].possible] or list(jobs)
    by_size = sorted(possible, key=lambda name: -jobs[name].size)
    tenth = max(1, len(by_size) // 10)
    served = [
        fmean(
            name in ended and ended[name] - jobs[name].at <= DEADLINE_S for name in part
        )
        for part in (
            list(jobs),
            by_size,
            by_size[:tenth],
            by_size[tenth : 3 * tenth] or by_size,
        )
    ]
    whole = served[1] or 1.0
    return RouteResult(
        len(jobs),
        sum(weights[n] * credit[n] for n in jobs) / sum(weights.values()),
        served[0],
        served[2] / whole,
        served[3] / whole,
    )


def mean_row(label: str, results: Sequence[PatternResult]) -> str:
    """Return a line with the means of the results of several seeds."""
    routes = sorted(set().union(*(result.routes for result in results)))
    parts = []
    for route in routes:
        found = [r.routes[route] for r in results if route in r.routes]
        parts.append(
            f"{route} {fmean(r.credit for r in found):.3f}"
            f" ({fmean(r.served for r in found):.2f},"
            f" {fmean(r.tenth for r in found):.2f},"
            f" {fmean(r.fifth for r in found):.2f})"
        )
    return (
        f"{label} | {fmean(r.in_use for r in results):.3f}"
        f" | {fmean(r.useful for r in results):.3f}"
        f" | {fmean(r.credit for r in results):.4f}"
        f" | {max(r.longest_wait_s for r in results):.2f}"
        f" | {'; '.join(parts)}"
    )


HEADER = (
    "pattern, variant | cores in use | useful | credit | longest wait s"
    " | credit by route (served, tenth, fifth)"
)


VARIANTS = {
    "off": LOOKAHEAD_OFF,
    "on": LookaheadOptions(LookaheadMode.ON),
    "without whole_jobs": LookaheadOptions(LookaheadMode.ON, whole_jobs=False),
    "without reservations": LookaheadOptions(LookaheadMode.ON, reservations=False),
}


@click.command()
@click.option("--pattern", "names", multiple=True, help="Patterns; all by default.")
@click.option("--seconds", default=8.0, help="How long jobs arrive, s.")
@click.option("--seeds", default=6, help="Count of seeds.")
@click.option("--first-seed", default=0, help="The first seed.")
def patterns(names: Sequence[str], seconds: float, seeds: int, first_seed: int) -> None:
    """Show cores in use, credit and shares served by pattern of load and variant."""
    click.echo(HEADER)
    with ProcessPoolExecutor(_PROCESSES) as pool:
        for pattern in PATTERNS:
            if names and pattern.name not in names:
                continue
            for label, options in VARIANTS.items():
                call = partial(replay_pattern, pattern, seconds, lookahead=options)
                results = list(pool.map(call, range(first_seed, first_seed + seeds)))
                click.echo(mean_row(f"{pattern.name}, {label}", results))


if __name__ == "__main__":
    patterns()
