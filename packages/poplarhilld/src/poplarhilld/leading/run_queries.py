"""Asks the workers of former leaders for their runs as soon as a job is handed over.

A renewal may wait at its worker for 0.4 s. The next leader of a job has to know the
runs as of the handover, and its caller waits.
"""

import math
from collections import OrderedDict

from poplarhilld.decisions import LogDecision
from poplarhilld.leading.handover import knows_all_runs, may_know_all_runs
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.messages import LeaderAction, QueryWorker
from poplarhilld.leading.run_messages import WorkersQueried
from poplarhilld.leading.shared import LeaderState

# All jobs that are handed over within a tick share the queries of the next one, so that
# a worker is asked 20 times a second at most.
_MIN_INTERVAL_S = 0.05
_MAX_SETS = 256  # whose last query is remembered


class RunQueries:
    """Queries the workers of the sets that former leaders of jobs had.

    A query that is lost is not repeated: the renewals show the runs as well, later.

    Args:
        state: State of the leader.

    Attributes:
        awaited: Names of the workers that were asked and have not replied yet.
    """

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self._asked_at: OrderedDict[int, float] = OrderedDict()  # by digest
        self.awaited: set[str] = set()

    def ask_for(self, now: float, job: LedJob) -> list[LeaderAction]:
        """Return the queries that show the runs of a job, if that waits for them.

        Must be called again at each tick while the job waits.

        Args:
            now: The leader's clock, s.
            job: The job.
        """
        sets = self._state.worker_sets
        if (
            job.stopping
            or job.least_cores == math.inf
            or not may_know_all_runs(job.offer, sets)
            or knows_all_runs(job, sets)
        ):
            return []
        names: set[str] = set()
        for digest in job.offer.former_workers:
            asked_at = self._asked_at.get(digest, -math.inf)
            if asked_at < job.handed_over_at and now - asked_at >= _MIN_INTERVAL_S:
                self._asked_at[digest] = now
                self._asked_at.move_to_end(digest)
                names |= sets.names(digest) or frozenset()
        while len(self._asked_at) > _MAX_SETS:
            self._asked_at.popitem(last=False)
        workers = [self._state.workers[name] for name in sorted(names)]
        stale = [one for one in workers if one.runs_known_at < job.handed_over_at]
        if not stale:
            return []
        self.awaited.update(worker.entry.name for worker in stale)
        oldest_s = now - min(worker.runs_known_at for worker in stale)
        line = WorkersQueried(job.job_id, len(stale), round(oldest_s, 4))
        return [
            LogDecision(line),
            *(
                QueryWorker(one.entry, one.next_renewal(now)._replace(wait_s=0.0))
                for one in stale
            ),
        ]

    def note_reply(self, worker: str) -> None:
        """Note that a worker has answered a query, or has not.

        Tasks are placed once the last one has answered: until then no runs are known.
        """
        self.awaited.discard(worker)
        if not self.awaited:
            self._state.placement_up_to_date = False
