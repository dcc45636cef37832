"""Measures the processor time of a leader's decisions in a simulation.

Jobs of 2, 4 and 8 tasks arrive at one leader. Only the calls of the leader are
measured, not the simulation. The digest covers all actions of the leader: two
versions of the code that print the same digest have decided the same. Set
PYTHONHASHSEED to compare the digests of two processes.
"""

import hashlib
import sys
import time
from random import Random
from typing import NamedTuple

import click

from poplarhill_dev.heavy import DEADLINE_S, Kind, arrivals, draw_job
from poplarhill_dev.leased import SimulatedWorker, World, worker_entry
from poplarhilld.leading import Leader

# Mean tasks of a job: 2 * 0.5 + 4 * 0.25 + 8 * 0.25.
_MEAN_TASKS = 4.0
_SHARES = ((2, 0.5, 0.2), (4, 0.25, 0.9), (8, 0.25, 0.05))
_MEASURED = (
    "handle_offer",
    "handle_renewal_reply",
    "handle_state_reply",
    "handle_start_reply",
    "handle_stop_reply",
    "set_workers",
    "tick",
    "load",
)
_LOADS_PER_TICK = 2  # heartbeat and choice of a leader


class Costs(NamedTuple):
    """What the decisions of a leader cost.

    Attributes:
        tasks: Count of started tasks.
        seconds: Processor time by method of the leader, s.
        calls: Count of function calls in all methods; 0 if they were not counted.
        queued: Mean count of jobs with waiting tasks at a tick.
        digest: Digest of all actions of the leader.
    """

    tasks: int
    seconds: dict[str, float]
    calls: int
    queued: float
    digest: str


def measure(
    workers: int,
    tasks_per_s: float,
    run_factor: float,
    seconds: float,
    count_calls: bool,
    left_s: float = DEADLINE_S,
    seed: int = 1,
) -> Costs:
    """Run a load through one leader and return what its decisions cost.

    Args:
        workers: Count of workers, of 16 and 24 cores.
        tasks_per_s: Tasks that arrive per second.
        run_factor: Factor on the run times of 0.05, 0.2 and 0.9 s.
        seconds: How long jobs arrive, s.
        count_calls: Whether to count function calls, which distorts the times.
        left_s: How long callers wait, s; with a long wait the queue grows long.
        seed: Seed of every random choice.
    """
    random = Random(seed)
    simulated = [
        SimulatedWorker(
            worker_entry(f"w{number}", 24.0 if number % 3 == 2 else 16.0),
            slowdown=random.choice((0.8, 1.0, 1.25)),
        )
        for number in range(workers)
    ]
    world = World(simulated, seed)
    world._check_invariants = lambda: None  # takes most of the time
    leader = world.add_leader("h1", 1)
    meter = _Meter(leader, count_calls)
    tick, entries, queued = leader.tick, world.entries, []

    def tick_like_host(now: float) -> list:
        for _ in range(_LOADS_PER_TICK):
            leader.load(now)
        if meter.active:
            queued.append(len(leader._state.queue))
        return leader.set_workers(now, now, entries) + tick(now)

    leader.tick = tick_like_host
    world.run(0.5)
    meter.start()
    kinds = [
        Kind(
            f"{tasks} tasks",
            share * tasks_per_s / _MEAN_TASKS,
            tasks,
            32,
            run_s * run_factor,
            1,
            1.0,
            2,
            cores=7.4,
            max_cores=8.0,
        )
        for tasks, share, run_s in _SHARES
    ]
    starts = world.starts
    for number, (at, kind) in enumerate(arrivals(random, kinds, 1.0, seconds)):
        job, _ = draw_job(random, kind, f"j{number}", left_s)
        world._schedule(at, world.submit, "h1", job)
    # One call, since each call of `run` delays the next tick.
    world.run(seconds)
    return Costs(
        world.starts - starts,
        meter.seconds,
        meter.calls,
        sum(queued) / len(queued),
        meter.digest,
    )


class _Meter:
    """Measures the calls of a leader's methods and digests their actions.

    Args:
        leader: The leader.
        count_calls: Whether to count function calls.

    Attributes:
        active: Whether to measure; digests are taken in any case.
    """

    def __init__(self, leader: Leader, count_calls: bool) -> None:
        self.seconds = dict.fromkeys(_MEASURED, 0.0)
        self.calls = 0
        self._count_calls = count_calls
        self._hash = hashlib.sha256()
        self.active = False
        for name in _MEASURED:
            setattr(leader, name, self._measured(name, getattr(leader, name)))

    @property
    def digest(self) -> str:
        """Digest of all actions, in hexadecimal."""
        return self._hash.hexdigest()[:16]

    def start(self) -> None:
        """Begin to measure."""
        self.active = True

    def _measured(self, name: str, method):
        def call(*arguments):
            if self.active and self._count_calls:
                sys.setprofile(self._count)
            begin = time.thread_time()
            result = method(*arguments)
            took_s = time.thread_time() - begin
            sys.setprofile(None)
            if self.active:
                self.seconds[name] += took_s
            self._hash.update(repr(result).encode())
            return result

        return call

    def _count(self, frame: object, event: str, argument: object) -> None:
        self.calls += event in ("call", "c_call")


@click.command()
@click.option("--seconds", default=4.0, help="How long jobs arrive, s.")
@click.option("--digests", is_flag=True, help="Also print the digest of all actions.")
def leader_costs(seconds: float, digests: bool) -> None:
    """Show the cost of a leader's decisions per task, for some loads."""
    for workers, tasks_per_s, run_factor, left_s in (
        (44, 160.0, 1.0, DEADLINE_S),
        (44, 360.0, 1.1, DEADLINE_S),
        (44, 500.0, 2.0, 5.0),
        (80, 160.0, 1.0, DEADLINE_S),
        (80, 500.0, 1.0, DEADLINE_S),
        (80, 500.0, 2.5, 5.0),
    ):
        load = (workers, tasks_per_s, run_factor, seconds)
        # Other processes on the machine only add time, so the least is the best figure.
        costs = min(
            (measure(*load, count_calls=False, left_s=left_s) for _ in range(3)),
            key=lambda costs: sum(costs.seconds.values()),
        )
        counted = measure(*load, count_calls=True, left_s=left_s)
        by_method = " ".join(
            f"{name} {1e6 * took_s / costs.tasks:.0f}"
            for name, took_s in costs.seconds.items()
        )
        total_us = 1e6 * sum(costs.seconds.values()) / costs.tasks
        click.echo(
            f"{workers} workers {tasks_per_s:g}/s queue {costs.queued:.0f} "
            f"tasks {costs.tasks}: {total_us:.0f} us and "
            f"{counted.calls / counted.tasks:.0f} calls per task; us: {by_method}"
            + (f" digest {costs.digest}" if digests else "")
        )


if __name__ == "__main__":
    leader_costs()
