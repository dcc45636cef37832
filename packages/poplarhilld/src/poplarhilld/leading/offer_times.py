"""When the jobs were last offered whose runs may be on the workers of a leader.

Only an offer of its job lengthens the life of a run. The next leader has no offers for
the runs that it finds, so this one tells how old these offers may be.
"""

import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from poplarhilld.leading.shared import LeaderState

_DELIVERY_S = 0.2  # few offers take longer, and the next one follows soon after


class OfferTimes:
    """Lower bounds on when runs were offered, by the leader's clock.

    Attributes:
        told_at: The newest bound that this leader has told. It starts nothing of a job
            whose offer was sent before that, as the next leader would not allow for it.
    """

    def __init__(self) -> None:
        self.told_at = -math.inf
        self._former: Mapping[str, float] = MappingProxyType({})

    def set_former(self, offers_at: Mapping[str, float]) -> None:
        """Set the bounds that the former leaders of workers told, s, by worker."""
        self._former = offers_at

    def former(self, worker: str) -> float:
        """Return the bound for the runs of a worker's former leaders, s.

        Returns:
            Minus infinity if it is not known.
        """
        return self._former.get(worker, -math.inf)

    def tell(self, now: float, state: "LeaderState") -> float:
        """Return the bound for all runs that this leader may leave, s.

        Those that it found count, and those that it may start or find until it tells
        the next bound. A run rests on the newest offer of its job.

        Args:
            now: The leader's clock, s.
            state: State of the leader.

        Returns:
            Minus infinity if it is not known.
        """
        lifetime_s = state.limits.lifetime_s
        lapses_at = [job.offer_lapses_at for job in state.jobs.values()]
        # Runs on a worker that is lost or fenced may have been given up here.
        for name in state.lost | state.reclaim_at.keys():
            worker = state.workers.get(name)
            if worker is not None:
                lapses_at += [one.job.offer_lapses_at for one in worker.reservations]
        bounds = [at - lifetime_s for at in lapses_at]
        bounds += state.runs.orphan_offers_at
        for name, worker in state.workers.items():
            awaited = not worker.confirmed and not worker.fenced
            if awaited and now - worker.claimed_at < state.limits.runs_ended_after_s:
                bounds.append(self.former(name))
        oldest_at = min(bounds, default=math.inf)
        oldest_at = min(oldest_at, now - _DELIVERY_S)
        self.told_at = max(self.told_at, oldest_at)
        return oldest_at
