"""Processor time of one placement by numbers of workers and queued jobs."""

import time
from random import Random

import click

from poplarhill.configuration import Configuration
from poplarhill.types import JobSpec
from poplarhilld.placement import AllHealthyView, Placement

_WORKERS = (24, 240, 2400)
_QUEUED_JOBS = (100, 1000, 10000)
_HOSTS = tuple(f"h{number}" for number in range(8))
_JOB_TASKS = (1, 1, 1, 4, 16, 64)
_ROUNDS = 5000
_REPEATS = 3
_DEADLINE_S = 1e9


@click.command("placement-cost")
def placement_cost() -> None:
    """Print the processor time to finish one task and place the next, us."""
    click.echo("workers  " + "".join(f"{jobs:>12} jobs" for jobs in _QUEUED_JOBS))
    for workers in _WORKERS:
        costs = [measure(workers, jobs) for jobs in _QUEUED_JOBS]
        click.echo(f"{workers:>7}  " + "".join(f"{cost:>17.1f}" for cost in costs))


def measure(workers: int, queued_jobs: int) -> float:
    """Return the least processor time per task of several repeats, us."""
    return min(_repeat(workers, queued_jobs) for _ in range(_REPEATS))


def _repeat(workers: int, queued_jobs: int) -> float:
    configuration = Configuration.from_document(1, _document(workers))
    placement = Placement(configuration, Random(1), _HOSTS[0], "dc1", _HOSTS)
    random = Random(2)
    for number in range(workers + queued_jobs):
        placement.enqueue(0.0, _job(number, 1 if number < workers else 0, random))
    view = AllHealthyView()
    running = placement.place(0.0, view)
    number = workers + queued_jobs
    spent = 0.0
    for turn in range(_ROUNDS):
        now = turn * 1e-4
        job = _job(number + turn, 0, random)
        ended = running.pop(random.randrange(len(running)))
        started = time.process_time()
        placement.enqueue(now, job)
        placement.release(ended.worker, ended.task)
        placement.note_free_slots(now, ended.worker, 1)
        placed = placement.place(now, view)
        spent += time.process_time() - started
        running += placed
    return spent / _ROUNDS * 1e6


def _job(number: int, tasks: int, random: Random) -> JobSpec:
    count = tasks or random.choice(_JOB_TASKS)
    bodies = (b"",) * count
    return JobSpec(f"j{number}", "booking", "default", bodies, _DEADLINE_S)


def _document(workers: int) -> dict:
    fields = {
        f"w{number}": {"host": "127.0.0.1", "port": 1000, "data_centre": "dc1"}
        for number in range(workers)
    }
    return {"services": {"booking": {"workers": fields}}}
