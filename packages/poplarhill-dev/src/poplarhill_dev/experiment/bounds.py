"""Bounds from simulated central queues that no fleet of hosts can beat.

One queue feeds all slots, without messages or delays. The simulation uses only the
arrivals and run times of a plan, and no code of the dispatcher.
"""

import heapq
from collections.abc import Callable

from poplarhill_dev.experiment.workload import PlannedJob

Order = Callable[[PlannedJob], float]

ORDERS: dict[str, Order] = {
    "central first come": lambda job: job.at_s,
    "central fewest tasks": lambda job: len(job.run_s),
}


def central_response_times(
    jobs: list[PlannedJob], slots: int, order: Order
) -> dict[str, float]:
    """Return the response time of each job, s.

    Args:
        jobs: Jobs in order of arrival.
        slots: Number of tasks that run at once.
        order: Sort key of the queue; the job with the lowest key goes first.
    """
    arrivals = iter(jobs)
    upcoming = next(arrivals, None)
    queue: list[tuple[float, float, str, int, PlannedJob]] = []
    free_at = [0.0] * slots
    ends: dict[str, float] = {}
    now = 0.0
    while upcoming is not None or queue:
        now = max(now, free_at[0])
        if not queue:
            now = max(now, upcoming.at_s)
        while upcoming is not None and upcoming.at_s <= now:
            entry = (order(upcoming), upcoming.at_s, upcoming.name, 0, upcoming)
            heapq.heappush(queue, entry)
            upcoming = next(arrivals, None)
        rank, at_s, name, index, job = heapq.heappop(queue)
        end = now + job.run_s[index]
        heapq.heapreplace(free_at, end)
        ends[name] = max(ends.get(name, 0.0), end)
        if index + 1 < len(job.run_s):
            heapq.heappush(queue, (rank, at_s, name, index + 1, job))
    return {job.name: ends[job.name] - job.at_s for job in jobs}
