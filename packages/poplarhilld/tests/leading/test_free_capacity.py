"""The order of workers by free capacity, compared with a full computation."""

import math
from random import Random

import pytest

from poplarhill.types import Resources
from poplarhill_dev.leased import job_offer, worker_entry
from poplarhilld.leading.capacity import MAX_HEALTHY_SLOWDOWN, FreeCapacity
from poplarhilld.leading.estimates import USUAL_SLOWDOWN
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.placement import choose_worker
from poplarhilld.leases import LeasedWorker, OrderOutcome, OrderReply, Run
from poplarhilld.peers.messages import StepSpec

_NEEDS = [Resources(cores, 64 * cores, 0) for cores in (2.0, 3.5, 6.8, 7.4, 12.0)]


def preferred(workers, slowdowns, needs, avoid_fast, max_slowdown):
    """Return the names of the workers that fit, in order, from all workers."""
    found = []
    for worker in workers:
        free, name = worker.free_capacity(), worker.entry.name
        slowdown = slowdowns.get(name, USUAL_SLOWDOWN)
        if free.cores < needs.cores - 1e-6 or free.memory_mb < needs.memory_mb:
            continue
        if slowdown <= max_slowdown:
            reverse = avoid_fast and slowdown <= MAX_HEALTHY_SLOWDOWN
            found.append((-slowdown if reverse else slowdown, free.cores, name))
    return [name for _, _, name in sorted(found)]


# Guards against an order or a sum that misses a change of a worker.
@pytest.mark.parametrize("seed", range(4))
def test_the_order_equals_a_full_computation_under_random_events(seed):
    random = Random(seed)
    changed: set[str] = set()
    workers = {
        f"w{n}": LeasedWorker(
            worker_entry(f"w{n}", random.choice((16.0, 24.0)))._replace(
                service=random.choice(("booking", "other"))
            ),
            1,
            1.0,
            0.0,
            changed.add,
        )
        for n in range(30)
    }
    slowdowns: dict[str, float] = {}
    capacity = FreeCapacity(workers.values(), slowdowns)
    runs: list[tuple[str, Run]] = []
    for step in range(600):
        event = random.randrange(20)
        name = random.choice(list(workers))
        if event < 9:
            run = Run(f"t{step}", 1)
            workers[name].reserve(0.0, run, random.choice(_NEEDS))
            runs.append((name, run))
        elif event < 17 and runs:
            name, run = runs.pop(random.randrange(len(runs)))
            reply = OrderReply(OrderOutcome.NO_ROOM)
            workers[name].apply_order_reply(0.0, run, reply)
        elif event < 19:
            slowdowns[name] = round(random.uniform(0.5, 2.0), 1)
            changed.add(name)
        elif len(workers) > 10 and step % 5 == 0:
            del workers[name]
            capacity.remove(name)
            runs = [(worker, run) for worker, run in runs if worker != name]
        for name in changed:
            capacity.update(name)
        changed.clear()
        left = list(workers.values())
        free = [worker.free_capacity().cores for worker in left]
        assert list(capacity.workers) == left
        assert capacity.total_cores == sum(w.entry.room.cores for w in left)
        assert capacity.free_cores == sum(free)
        assert capacity.usable_free_cores == sum(max(0.0, cores) for cores in free)
        assert capacity.max_free_cores == max(free) + 1e-6
        assert capacity.of_service("other").free == sum(
            max(0.0, worker.free_capacity().cores)
            for worker in left
            if worker.entry.service == "other"
        )
        speeds = sorted(slowdowns.get(w.entry.name, USUAL_SLOWDOWN) for w in left)
        assert capacity.slowdown_at(8) == speeds[(len(left) - 1) // 8]
        query = (
            random.choice(_NEEDS),
            random.random() < 0.5,
            random.choice((math.inf, 0.9, 1.4)),
        )
        found = [worker.entry.name for worker in capacity.fitting(*query)]
        assert found == preferred(left, slowdowns, *query)


# Guards against a worker that is taken because it comes first in the order, although
# another one is in the rack of the data or has not failed the task.
@pytest.mark.parametrize("seed", range(4))
def test_the_chosen_worker_is_the_best_of_all(seed):
    random = Random(seed)
    for _ in range(100):
        workers = [
            LeasedWorker(worker_entry(f"w{n}", rack=f"r{n % 3}"), 1, 1.0, 0.0)
            for n in range(12)
        ]
        for worker in workers:
            worker.reserve(0.0, Run("other", 1), random.choice(_NEEDS))
        slowdowns = {f"w{n}": round(random.uniform(0.5, 2.0), 1) for n in range(12)}
        step = StepSpec(
            1,
            random.choice(_NEEDS),
            0.2,
            label=random.choice(("", "r1")),
            data_rack=random.choice(("", "r1", "r2")),
        )
        job = LedJob(job_offer("a")._replace(steps=(step,)), "e1", 0.0, [0.2])
        job.tasks[0].avoid = {f"w{random.randrange(12)}" for _ in range(8)}
        avoid_fast = random.random() < 0.5
        names = preferred(workers, slowdowns, step.needs, avoid_fast, math.inf)
        racks = {worker.entry.name: worker.entry.rack for worker in workers}
        best = min(
            (name for name in names if step.label in ("", racks[name])),
            key=lambda name: (
                name in job.tasks[0].avoid,
                step.data_rack not in ("", racks[name]),
                names.index(name),
            ),
            default=None,
        )
        capacity = FreeCapacity(workers, slowdowns)
        chosen = choose_worker(job, job.tasks[0], capacity, avoid_fast)
        assert (chosen and chosen.entry.name) == best
