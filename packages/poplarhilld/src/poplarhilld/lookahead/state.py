"""When placement looks ahead, and what it knows of the runs under way."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from poplarhilld.decisions import LogDecision
from poplarhilld.leases import LeasedWorker, Run
from poplarhilld.lookahead.messages import LookaheadSwitched
from poplarhilld.lookahead.options import LookaheadMode, LookaheadOptions
from poplarhilld.lookahead.plan import Plan
from poplarhilld.lookahead.reservations import ReservationTimes
from poplarhilld.lookahead.timeline import TimedRun, Timeline
from poplarhilld.peers.messages import JobOffer

if TYPE_CHECKING:
    from poplarhilld.leading.capacity import FreeCapacity
    from poplarhilld.leading.estimates import RunTimes
    from poplarhilld.leading.job import LedJob, LedTask
    from poplarhilld.leading.spread import RunTimeSpread

# With smaller tasks, at least five fill a worker: a place for one more becomes free
# every few ms, and there is little to gain from a reservation.
SIZEABLE_SHARE = 0.2
# Below this share it ceases to look ahead; a mean near the limit does not flap.
_CEASING_SHARE = 0.15
_MIN_SAMPLE_WEIGHT = 0.02  # of the newest job; averages over about 50 jobs
_MIN_SAMPLES = 20  # jobs before the mean is trusted


class Lookahead:
    """Placement that considers what is waiting and what ends soon.

    Args:
        options: When placement looks ahead, and which of its parts are used.
        times: Estimates of the speed of workers.
        spread: How far run times lie from their estimates.

    Attributes:
        timeline: Expected ends of the runs under way.
    """

    def __init__(
        self, options: LookaheadOptions, times: "RunTimes", spread: "RunTimeSpread"
    ) -> None:
        self.timeline = Timeline()
        self._options = options
        self._times = times
        self._spread = spread
        self._reservation_times = ReservationTimes()
        self._samples = 0
        self._share = 0.0
        self._active = options.mode is LookaheadMode.ON

    @property
    def active(self) -> bool:
        """Whether placement looks ahead now."""
        return self._active

    @property
    def reservations(self) -> int:
        """Count of the jobs that have reserved places so far."""
        return self._reservation_times.count

    def note_offer(
        self, offer: JobOffer, usable: Sequence[LeasedWorker]
    ) -> list[LogDecision]:
        """Note the size of the tasks of an offered job.

        Args:
            offer: The job.
            usable: Workers that may be given tasks.

        Returns:
            A log line if placement now begins or ceases to look ahead.
        """
        if self._options.mode is not LookaheadMode.AUTO or not usable:
            return []
        cores = max((step.needs.cores for step in offer.steps), default=0.0)
        # Each offer is compared with another worker, which is cheaper than the mean.
        worker = usable[self._samples % len(usable)]
        self._samples += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self._samples)
        share = cores / max(1.0, worker.entry.room.cores)
        self._share += weight * (share - self._share)
        limit = _CEASING_SHARE if self._active else SIZEABLE_SHARE
        active = self._samples >= _MIN_SAMPLES and self._share >= limit
        if active == self._active:
            return []
        self._active = active
        return [LogDecision(LookaheadSwitched(active, round(self._share, 3)))]

    def note_start(
        self, now: float, worker: str, run: Run, job: "LedJob", task: "LedTask"
    ) -> None:
        """Note that a run of a task was ordered or adopted."""
        if self._options.mode is LookaheadMode.OFF:
            return
        route = job.offer.route
        usual_s = job.expected_s(task) * self._spread.usual_factor(route)
        timed = TimedRun(
            task.spec.needs.cores,
            now,
            usual_s * self._times.slowdown(worker),
            self._spread.deviation(route),
        )
        if task.adopted:
            self.timeline.note_adopted(worker, run, timed)
        else:
            self.timeline.note_start(worker, run, timed)

    def plan(self, now: float, capacity: "FreeCapacity") -> Plan | None:
        """Return the decisions of a round of placement; `None` while inactive."""
        if not self._active:
            return None
        return Plan(
            now,
            self._options,
            self.timeline,
            self._reservation_times,
            self._spread,
            capacity,
        )
