"""Decisions of one round of placement that looks ahead."""

import math
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import TYPE_CHECKING

from poplarhilld.catalogue import WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.leases import LeasedWorker
from poplarhilld.lookahead.messages import PlacesReserved
from poplarhilld.lookahead.options import LookaheadOptions
from poplarhilld.lookahead.reservations import (
    HORIZON_S,
    MAX_JOBS,
    MAX_PLACES,
    ReservationTimes,
    ReservedPlace,
    find_places,
)
from poplarhilld.lookahead.timeline import FreedCores, Timeline
from poplarhilld.lookahead.worth import expected_credit, waiting_core_seconds
from poplarhilld.peers.messages import StepSpec

if TYPE_CHECKING:
    from poplarhilld.leading.capacity import FreeCapacity
    from poplarhilld.leading.job import LedJob, LedTask
    from poplarhilld.leading.spread import RunTimeSpread

_WINDOW = 16  # jobs that are ordered anew; bounds the cost of a round
# Four tasks in five end by this many standard deviations above the mean.
_HIGH_DEVIATIONS = 0.84


class Plan:
    """Decisions of one round of placement.

    Args:
        now: The leader's clock, s.
        options: Which parts are used.
        timeline: Expected ends of the runs under way.
        times: When each job first had a reservation.
        spread: How far run times lie from their estimates.
        capacity: Free capacity of the workers that may take tasks.
    """

    def __init__(
        self,
        now: float,
        options: LookaheadOptions,
        timeline: Timeline,
        times: ReservationTimes,
        spread: "RunTimeSpread",
        capacity: "FreeCapacity",
    ) -> None:
        self._now = now
        self._options = options
        self._timeline = timeline
        self._times = times
        self._spread = spread
        self._capacity = capacity
        self._reserved: dict[str, ReservedPlace] = {}
        self._jobs: set[str] = set()
        self._upcoming: list[FreedCores] | None = None
        # Median factor and deviation of the run times of each route.
        self._routes: dict[str, tuple[float, float]] = {}

    @property
    def reserved(self) -> dict[str, ReservedPlace]:
        """Places that are reserved in this round, by worker."""
        return self._reserved

    def order(self, waiting: Iterable["LedJob"]) -> Iterator["LedJob"]:
        """Yield the waiting jobs in the order in which they are to start.

        Args:
            waiting: The jobs by rank.
        """
        waiting = iter(waiting)
        if self._options.whole_jobs:
            head = list(islice(waiting, _WINDOW))
            if len(head) > 1:
                head.sort(key=self._cost)
            yield from head
        yield from waiting

    def _cost(self, job: "LedJob") -> float:
        """Return the queue cost of the tasks that wait, per expected credit."""
        factor, deviation = self._route(job.offer.route)
        credit = expected_credit(self._now, job, job.run_s * factor, deviation)
        return waiting_core_seconds(job) * job.core_second_cost / credit

    def _route(self, route: str) -> tuple[float, float]:
        """Return the median factor and the deviation of the run times of a route."""
        found = self._routes.get(route)
        if found is None:
            found = self._spread.usual_factor(route), self._spread.deviation(route)
            self._routes[route] = found
        return found

    def reserve(
        self,
        job: "LedJob",
        near: Callable[["LedTask"], Iterable[LeasedWorker]] | None = None,
    ) -> list[LogDecision]:
        """Reserve places for a job that fits nowhere, and return the log lines.

        Args:
            job: The job.
            near: Returns the workers in the rack of a task's data; places are reserved
                on these if there are any.
        """
        if (
            not self._options.reservations
            or len(self._jobs) >= MAX_JOBS
            or job.job_id in self._jobs
            or not self._times.may_reserve(self._now, job.job_id)
        ):
            return []
        ready = job.ready_tasks()
        if not ready:
            return []
        self._jobs.add(job.job_id)
        step = ready[0].spec
        preferred: frozenset[str] = frozenset()
        if near is not None:
            preferred = frozenset(
                worker.entry.name
                for worker in near(ready[0])
                if _could_run(worker.entry, job, step)
            )
        if self._upcoming is None:
            self._upcoming = self._timeline.upcoming(
                self._now, self._capacity.names, self._now + HORIZON_S
            )
        latest = job.deadline - job.run_s * self._route(job.offer.route)[0]
        places = find_places(
            step.needs.cores,
            min(len(ready), MAX_PLACES),
            min(self._now + HORIZON_S, latest),
            lambda name: self._free_cores(name, job, step, preferred),
            self._upcoming,
            self._reserved,
        )
        if not places:
            return []
        self._reserved.update(places)
        if self._times.is_known(job.job_id):
            return []
        self._times.note(self._now, job.job_id)
        first = min(places, key=lambda name: places[name].at)
        line = PlacesReserved(
            job.job_id,
            step.needs.cores,
            len(places),
            first,
            round(places[first].at - self._now, 4),
            round(self._now - job.arrived_at, 4),
        )
        return [LogDecision(line)]

    def _free_cores(
        self, name: str, job: "LedJob", step: StepSpec, preferred: frozenset[str]
    ) -> float | None:
        """Return the free cores of a worker; `None` if no place there is wanted.

        Args:
            name: Name of the worker.
            job: The job.
            step: Step of the job that it has to be able to run.
            preferred: Names of the only workers that count, unless there are none.
        """
        if preferred and name not in preferred:
            return None
        entry = self._capacity.worker(name).entry
        if not _could_run(entry, job, step):
            return None
        return self._capacity.of(name).cores

    def closed_to(
        self, job: "LedJob", task: "LedTask", run_factor: float = 1.0
    ) -> frozenset[str]:
        """Return the workers whose reserved places a task would delay.

        Args:
            job: Job of the task.
            task: The task.
            run_factor: Factor on its run time because of where its data are.
        """
        if not self._reserved:
            return frozenset()
        cores = task.spec.needs.cores
        _, deviation = self._route(job.offer.route)
        run_s = job.home_step_s[task.step] * run_factor
        end = self._now + run_s * math.exp(_HIGH_DEVIATIONS * deviation)
        return frozenset(
            name
            for name, place in self._reserved.items()
            if not place.admits(cores, end)
        )


def _could_run(entry: WorkerEntry, job: "LedJob", step: StepSpec) -> bool:
    """Return whether a worker without other tasks has the cores for a step."""
    return (
        entry.service == job.offer.service
        and entry.room.cores >= step.needs.cores
        and (not step.label or step.label in entry.labels)
    )
