"""When the jobs were last offered whose runs may be on the workers of a leader.

Only an offer of its job lengthens the life of a run. The next leader has no offers for
the runs that it finds, so this one tells how old these offers may be.
"""

import math
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from poplarhilld.leading.shared import LeaderState

_DELIVERY_S = 0.2  # few offers take longer, and the next one follows soon after


class OfferTimes:
    """Lower bounds on when runs were offered, by the leader's clock.

    Attributes:
        reported_at: The newest bound that this leader has reported, s. It starts
            nothing of a job whose offer was sent before that, as the next leader would
            not allow for it.
    """

    def __init__(self) -> None:
        self.reported_at = -math.inf
        self._former: Mapping[str, float] = MappingProxyType({})

    def set_former(self, bounds: Mapping[str, float]) -> None:
        """Set the bounds that the former leaders of workers reported, s, by worker."""
        self._former = bounds

    def former(self, worker: str) -> float:
        """Return the bound for the runs of a worker's former leaders, s.

        Returns:
            Minus infinity if it is not known.
        """
        return self._former.get(worker, -math.inf)

    def report(self, now: float, state: "LeaderState") -> float:
        """Return the bound for all runs that this leader may leave, s.

        It holds until the next report, for the runs that start until then as well.

        Args:
            now: The leader's clock, s.
            state: State of the leader.

        Returns:
            Minus infinity if it is not known.
        """
        bound = min(self._offered_at(now, state), default=math.inf)
        bound = min(bound, now - _DELIVERY_S)
        self.reported_at = max(self.reported_at, bound)
        return bound

    def _offered_at(self, now: float, state: "LeaderState") -> Iterator[float]:
        """Yield when the jobs were last offered, or a bound where that is not known."""
        limits = state.limits
        for job in state.jobs.values():
            yield job.offer_lapses_at - limits.lifetime_s
        # The job of a run on a worker that is lost or fenced may be gone.
        for name in state.lost | state.reclaim_at.keys():
            worker = state.workers.get(name)
            for reservation in () if worker is None else worker.reservations:
                yield reservation.job.offer_lapses_at - limits.lifetime_s
        yield from state.runs.orphan_offers_at
        for name, worker in state.workers.items():
            # Its runs are not known before its first reply. Without one for so long,
            # their lease has expired.
            silent_s = now - worker.claimed_at
            if worker.confirmed_at is None and silent_s < limits.runs_ended_after_s:
                yield self.former(name)
