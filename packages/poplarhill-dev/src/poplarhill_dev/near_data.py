"""Simulates jobs that name racks, with several leaders and without a network.

Two data centres have three racks each, and each data centre has a leader. Entry hosts
choose a leader by loads that are up to one heartbeat old. The command prints a row for
each way of placement: the credit of each route, the share of the runs near their data
and the longest time until a job started.
"""

from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

import click

from poplarhill_dev.heavy import (
    DEADLINE_S,
    KINDS,
    Kind,
    Submitted,
    arrivals,
    draw_job,
    score,
)
from poplarhill_dev.leased import TICK_S, SimulatedWorker, World, worker_entry
from poplarhilld.leading import Leader
from poplarhilld.locality import OFF, cores_by_rack
from poplarhilld.submissions import LeaderView, choose_leader

_HEARTBEAT_S = 0.1
_WARM_UP_S = 2.0  # jobs that arrive before count for the learned speeds only
_HOT_RACK = "r0"
_SLOWDOWNS = (0.8, 1.0, 1.25)
# The rates of `KINDS` are for 24 workers.
_USUAL_WORKERS = 24


class Way(NamedTuple):
    """How tasks are placed.

    Attributes:
        route: Whether entry hosts choose leaders by the data.
        wait: Whether leaders weigh waiting for the rack of the data.
        perfect: Whether one leader has all workers and declared run times are exact.
    """

    route: bool
    wait: bool
    perfect: bool = False


WAYS = {
    "off": Way(False, False),
    "route only": Way(True, False),
    "wait only": Way(False, True),
    "all": Way(True, True),
    "perfect view": Way(True, True, True),
}


class Scene(NamedTuple):
    """Demand for racks, and the racks.

    Attributes:
        sizes: Count of workers of each rack; the first three are in one data centre.
        hot_share: Share of the jobs of the hot route that name the first rack.
        lost_share: Share of the workers of the first rack that are lost at a time.
        unknown_share: Share of the jobs that name a rack without workers.
    """

    sizes: tuple[int, ...] = (8,) * 6
    hot_share: float = 0.0
    lost_share: float = 0.0
    unknown_share: float = 0.0


SCENES = {
    "uniform": Scene(),
    "one rack": Scene(hot_share=0.6),
    "one rack, a third lost": Scene(hot_share=0.6, lost_share=1 / 3),
    "uneven racks": Scene(sizes=(3, 7, 14, 5, 9, 10), hot_share=0.3),
}
HOT_ROUTE = "short narrow"
_NAMED_SHARE = 0.8  # of the jobs name a rack


class Result(NamedTuple):
    """Scores of a replay.

    Attributes:
        credit: Mean credit of the jobs of each route.
        near: Share of the runs with data that ran near them.
        longest_wait_s: Longest time from a job's arrival until its first start, s.
        violations: Invariants that were violated.
    """

    credit: Mapping[str, float]
    near: float
    longest_wait_s: float
    violations: list[str]

    @property
    def mean(self) -> float:
        """Mean of the credits of the routes."""
        return sum(self.credit.values()) / len(self.credit)


def replay(
    scene: Scene,
    way: Way,
    load: float,
    seconds: float,
    seed: int,
    slowdown: float = 2.0,
    on_time: Callable[[float, World], None] = lambda at, world: None,
) -> Result:
    """Run a load through the leaders and return the scores.

    Args:
        scene: The racks and the demand for them.
        way: How tasks are placed.
        load: Factor on the arrival rates.
        seconds: How long jobs arrive, s.
        seed: Seed of every random choice.
        slowdown: Factor on the run time outside the rack of the data.
        on_time: Called before each job with the time since the start, s; it may
            change the world.
    """
    random = Random(seed)
    workers = _workers(random, scene, slowdown)
    world = World(workers, seed)
    _add_leaders(world, way, slowdown)
    world.run(0.3)
    begin = world.now
    rate = load * sum(scene.sizes) / _USUAL_WORKERS
    submitted: dict[str, Submitted] = {}
    offered_at: dict[str, float] = {}
    views: dict[str, LeaderView] = {}
    viewed_at = ticked_at = -1.0
    lost = False
    for number, (at, kind) in enumerate(arrivals(random, KINDS, rate, seconds)):
        world.run(max(0.0, begin + at - world.now))
        if scene.lost_share and not lost and at >= (seconds + _WARM_UP_S) / 2:
            lost = True
            hot = [w for w in workers if w.entry.rack == _HOT_RACK]
            for worker in hot[: round(scene.lost_share * len(hot))]:
                worker.unreachable = True
        # `World.run` ticks only in runs longer than `TICK_S`.
        if world.now >= ticked_at + TICK_S:
            ticked_at = world.now
            for name, leader in world.leaders.items():
                world.perform(name, leader.tick(world.now))
        on_time(at, world)
        if world.now >= viewed_at + _HEARTBEAT_S:
            viewed_at = world.now
            views = _views(world, way)
        job, longest_s = draw_job(random, kind, f"j{number}")
        step = job.offer.steps[0]._replace(data_rack=_draw_rack(random, scene, kind))
        if way.perfect:
            step = step._replace(run_time_s=job.run_s)
        job = job.__class__(
            job.offer._replace(steps=(step,)), job.run_s, job.needs, runs=job.runs
        )
        name = job.offer.job_id
        if at >= _WARM_UP_S:
            submitted[name] = Submitted.of(job, kind, world.now, longest_s)
        offered_at[name] = world.now
        near = f"dc{random.randrange(2)}"
        seen = {
            n: v._replace(same_data_centre=n == near or way.perfect)
            for n, v in views.items()
        }
        cores = step.count * step.needs.cores
        factor = slowdown if way.route else OFF
        choice = choose_leader(seen, cores, name, (step,), factor)
        world.submit(choice.leader, job)
    world.run(2.0)
    return _result(world, submitted, offered_at)


def _workers(random: Random, scene: Scene, slowdown: float) -> list[SimulatedWorker]:
    workers = []
    for rack, size in enumerate(scene.sizes):
        for _ in range(size):
            number = len(workers)
            cores = 24.0 if number % 3 == 2 else 16.0
            entry = worker_entry(f"w{number}", cores, f"r{rack}")._replace(
                data_centre=f"dc{rack // 3}"
            )
            speed = random.choice(_SLOWDOWNS)
            worker = SimulatedWorker(entry, slowdown=speed, remote_slowdown=slowdown)
            workers.append(worker)
    return workers


def _add_leaders(world: World, way: Way, slowdown: float) -> None:
    for number in range(1 if way.perfect else 2):
        led = {
            name: entry
            for name, entry in world.entries.items()
            if way.perfect or entry.data_centre == f"dc{number}"
        }
        leader = world.add_leader(f"dc{number}", number + 1, led)
        leader.set_remote_slowdown(slowdown if way.wait else OFF)


def _views(world: World, way: Way) -> dict[str, LeaderView]:
    return {
        name: LeaderView(1, True, leader.load(world.now), False, _racks(leader, way))
        for name, leader in world.leaders.items()
    }


def _racks(leader: Leader, way: Way) -> dict[str, float]:
    if not way.route:
        return {}
    return cores_by_rack(worker.entry for worker in leader.workers.values())


def _draw_rack(random: Random, scene: Scene, kind: Kind) -> str:
    if kind.name == HOT_ROUTE and random.random() < scene.hot_share:
        return _HOT_RACK
    if random.random() < scene.unknown_share:
        return "nowhere"
    if random.random() >= _NAMED_SHARE:
        return ""
    return f"r{random.randrange(len(scene.sizes))}"


def _result(
    world: World, submitted: Mapping[str, Submitted], offered_at: Mapping[str, float]
) -> Result:
    ended: dict[str, float] = {}
    for at, _, report in world.reports:
        if getattr(report, "error", None) == "":
            ended.setdefault(report.job_id, at)
    scores = score(KINDS, submitted, ended, DEADLINE_S)
    first: dict[str, float] = {}
    for task, starts in world.starts_by_task.items():
        name = task.split(".")[0]
        first[name] = min(first.get(name, starts[0]), starts[0])
    waits = [first[name] - offered_at[name] for name in submitted if name in first]
    placed: dict[str, int] = {}
    for leader in world.leaders.values():
        for place, count in leader.locality.placed.items():
            placed[place] = placed.get(place, 0) + count
    with_data = placed["near"] + placed["remote"]
    return Result(
        {name: one.credit for name, one in scores.items()},
        placed["near"] / max(1, with_data),
        max(waits, default=0.0),
        world.violations,
    )


@click.command()
@click.option("--load", default=1.0, help="Factor on the arrival rates.")
@click.option("--seconds", default=6.0, help="How long jobs arrive, s.")
@click.option("--seeds", default=2, help="Count of seeds.")
@click.option("--slowdown", default=2.0, help="Factor on remote run times.")
@click.option("--scene", "scenes", multiple=True, type=click.Choice([*SCENES]))
def near_data(
    load: float, seconds: float, seeds: int, slowdown: float, scenes: tuple[str, ...]
) -> None:
    """Show the credit of each way of placement, by scene."""
    for name in scenes or SCENES:
        for way_name, way in WAYS.items():
            results = [
                replay(SCENES[name], way, load, seconds, seed, slowdown)
                for seed in range(seeds)
            ]
            credit = " | ".join(
                f"{sum(r.credit[kind.name] for r in results) / seeds:.3f}"
                for kind in KINDS
            )
            mean = sum(result.mean for result in results) / seeds
            near = sum(result.near for result in results) / seeds
            longest_s = max(result.longest_wait_s for result in results)
            click.echo(
                f"| {name} | {way_name} | {credit} | {mean:.3f} | {near:.2f} "
                f"| {longest_s:.2f} |"
            )


if __name__ == "__main__":
    near_data()
