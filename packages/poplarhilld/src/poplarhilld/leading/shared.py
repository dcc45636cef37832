"""State that the parts of a leader share."""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from poplarhilld.catalogue import WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.capacity import FreeCapacity
from poplarhilld.leading.demand import Demand
from poplarhilld.leading.estimates import RunTimes
from poplarhilld.leading.fitness import WorkerHealth
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.memory import JobHistory
from poplarhilld.leading.messages import (
    WorkerState,
)
from poplarhilld.leading.offer_times import OfferTimes
from poplarhilld.leading.queue import JobQueue
from poplarhilld.leading.runs import RunTable
from poplarhilld.leading.spread import RunTimeSpread
from poplarhilld.leading.suspects import Suspects
from poplarhilld.leading.worker_sets import WorkerSets
from poplarhilld.leases import (
    LeasedWorker,
    TokenSource,
)
from poplarhilld.locality import Locality
from poplarhilld.lookahead import Lookahead, LookaheadOptions
from poplarhilld.peers.offer_limits import OfferLimits


class Subscriber(NamedTuple):
    """An entry host that gets the reports on a job, and the number of its offer."""

    host: str
    offer_number: int


class LeaderState:
    """Workers, jobs and runs of a leader, and what it has learnt from them.

    Args:
        tokens: Source of fencing tokens.
        lease_s: Longest lease that a worker grants, s.
        lookahead: When placement looks ahead, and which of its parts are used.
        limits: How long an offer keeps a job.

    Attributes:
        workers: Workers that this host leads or has led, by name.
        entries: Workers that this host is to lead, by name.
        not_led_here: Names of the registered workers that this host does not lead.
        led_by_others: Names of those of them that another host leads.
        offer_times: When the jobs were offered whose runs may be on the workers.
        evacuated: Names of the evacuated data centres.
        renewal_backoff_s: Pause before the next renewal to a silent worker, s.
        reclaim_at: When each fenced worker may be claimed again, s.
        sets_known_at: As of when the runs on sets of workers are known; must be cleared
            when a worker has replied.
        workers_digests: Digests of the workers on which this leader may have runs;
            `None` until `worker_sets` is read after a change.
        reclaimed_at: When a fenced worker was claimed again last, s.
        lost: Names of the workers that do not respond.
        refused: Lost workers whose address refused a connection: their process has
            ended, or a partition refuses connections.
        changed_workers: Names of the workers whose free capacity or slowdown has
            changed since the last call of `capacity`.
        jobs: Accepted jobs by id, until none of their runs is left.
        queue: Jobs with waiting tasks.
        subscribers: Entry hosts that get the reports on each job.
        placement_up_to_date: Whether no task can start until an event or the time
            changes that.
        runs: Runs under way.
        history: Outcomes of closed jobs.
        times: Estimates of run times and of the speed of workers.
        spread: How far run times lie from their estimates.
        demand: Work that arrives, by route and service.
        health: Workers that are ejected or on probation.
        suspects: Tasks that may crash their workers.
        lookahead: Placement that considers what is waiting and what ends soon.
        locality: What is known of the racks that hold the data of jobs.
    """

    def __init__(
        self,
        tokens: TokenSource,
        lease_s: float,
        lookahead: LookaheadOptions,
        limits: OfferLimits,
    ) -> None:
        self.tokens = tokens
        self.lease_s = lease_s
        self.limits = limits
        self.workers: dict[str, LeasedWorker] = {}
        self.entries: Mapping[str, WorkerEntry] = {}
        self.not_led_here: frozenset[str] = frozenset()
        self.led_by_others: frozenset[str] = frozenset()
        self.offer_times = OfferTimes()
        self.evacuated: frozenset[str] = frozenset()
        self.renewal_backoff_s: dict[str, float] = {}
        self.reclaim_at: dict[str, float] = {}
        self.reclaimed_at = -math.inf
        self.lost: set[str] = set()
        self.refused: set[str] = set()
        # Workers that may run tasks; None after a change of a worker.
        self._usable: list[LeasedWorker] | None = None
        self._capacity: FreeCapacity | None = None
        self._worker_sets = WorkerSets()
        self.sets_known_at = self._worker_sets.known_at
        self.workers_digests: tuple[int, ...] | None = None
        self._by_service: dict[str, list[LeasedWorker]] = {}
        self.changed_workers: set[str] = set()
        self.jobs: dict[str, LedJob] = {}
        self.queue = JobQueue()
        self.subscribers: dict[str, set[Subscriber]] = {}
        self.placement_up_to_date = False
        self.runs = RunTable()
        self.history = JobHistory()
        self.times = RunTimes(self.changed_workers.add)
        self.spread = RunTimeSpread()
        self.demand = Demand()
        self.health = WorkerHealth()
        self.suspects = Suspects()
        self.lookahead = Lookahead(lookahead, self.times, self.spread)
        self.locality = Locality()

    def note_worker_change(self) -> None:
        """Work out the usable workers anew when they are next asked for.

        Must be called whenever the result of `is_usable` or an entry of a worker, or
        the set of workers, may have changed.
        """
        self._usable = None
        self._capacity = None
        self.workers_digests = None
        self._by_service.clear()

    @property
    def worker_sets(self) -> WorkerSets:
        """The workers on which this leader may have runs, and those of recent times."""
        if self.workers_digests is None:
            self._worker_sets.update(self.workers)
            self.workers_digests = self._worker_sets.digests
        return self._worker_sets

    def is_usable(self, worker: LeasedWorker) -> bool:
        """Return whether a worker is led here, responds and may be given tasks.

        A draining worker or one in an evacuated data centre may not.
        """
        entry = worker.entry
        return (
            worker.confirmed_at is not None
            and not worker.fenced
            and entry.name in self.entries
            and not entry.draining
            and entry.name not in self.lost
            and entry.data_centre not in self.evacuated
        )

    def usable_workers(self) -> list[LeasedWorker]:
        """Return the workers that are usable; the list must not be changed."""
        if self._usable is None:
            self._usable = [w for w in self.workers.values() if self.is_usable(w)]
        return self._usable

    def workers_of(self, service: str) -> list[LeasedWorker]:
        """Return all workers of a service; the list must not be changed."""
        found = self._by_service.get(service)
        if found is None:
            found = [w for w in self.workers.values() if w.entry.service == service]
            self._by_service[service] = found
        return found

    def capacity(self) -> FreeCapacity:
        """Return the free capacity of the usable workers; it must not be changed."""
        if self._capacity is None:
            self._capacity = self.capacity_of(self.usable_workers())
        else:
            for name in self.changed_workers:
                self._capacity.update(name)
        self.changed_workers.clear()
        return self._capacity

    def capacity_of(self, workers: Iterable[LeasedWorker]) -> FreeCapacity:
        """Return the free capacity of some workers, which the caller may change."""
        return FreeCapacity(workers, self.times.rounded_slowdowns)

    def unsuspected_jobs(self) -> list[LedJob]:
        """Return the queued jobs without suspects, which wait for their own workers."""
        return [job for job in self.queue.jobs if job.job_id not in self.suspects]


def worker_state(
    now: float, worker: LeasedWorker, state: str, reason: str
) -> LogDecision:
    """Return the log line on a change of the state of a worker."""
    heard_s = round(now - worker.last_reply_at, 3)
    return LogDecision(WorkerState(worker.entry.name, state, reason, heard_s))
