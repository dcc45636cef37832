"""When placement looks ahead, and what it knows of the runs under way."""

from typing import TYPE_CHECKING

from poplarhilld.lookahead.options import LookaheadMode, LookaheadOptions
from poplarhilld.lookahead.plan import Plan
from poplarhilld.lookahead.timeline import TimedRun, Timeline
from poplarhilld.leases import Run

if TYPE_CHECKING:
    from collections.abc import Sequence

    from poplarhilld.leases import LeasedWorker
    from poplarhilld.peers.messages import JobOffer
    from poplarhilld.leading.estimates import RunTimes
    from poplarhilld.leading.job import LedJob, LedTask
    from poplarhilld.leading.spread import RunTimeSpread

# With smaller tasks, at least five fill a worker: hardly any capacity is unusable, and
# a place for one more becomes free every few ms.
SIZEABLE_SHARE = 0.2
_SAMPLE_WEIGHT = 0.02  # of the newest job; averages over about 50 jobs


class Lookahead:
    """Placement that considers what is waiting and what ends soon.

    Args:
        options: When placement looks ahead, and which of its parts are used.

    Attributes:
        timeline: Expected ends of the runs under way.
    """

    def __init__(self, options: LookaheadOptions, times: "RunTimes", spread: "RunTimeSpread") -> None:
        self.timeline = Timeline()
        self._times = times
        self._spread = spread
        self._samples = 0
        self._options = options
        self._share = 0.0

    @property
    def active(self) -> bool:
        """Whether placement looks ahead now."""
        match self._options.mode:
            case LookaheadMode.ON:
                return True
            case LookaheadMode.OFF:
                return False
            case LookaheadMode.AUTO:
                return self._share >= SIZEABLE_SHARE

    def note_offer(self, offer: "JobOffer", usable: "Sequence[LeasedWorker]") -> None:
        """Note the size of the tasks of an offered job.

        Args:
            offer: The job.
            usable: Workers that may be given tasks.
        """
        if self._options.mode is not LookaheadMode.AUTO or not usable:
            return
        cores = max((step.needs.cores for step in offer.steps), default=0.0)
        # One worker stands for all: the sizes of workers differ by less than a factor
        # of two within a deployment, and each offer looks at another one.
        worker = usable[self._samples % len(usable)]
        share = cores / max(1.0, worker.entry.room.cores)
        self._samples += 1
        weight = max(_SAMPLE_WEIGHT, 1 / self._samples)
        self._share += weight * (share - self._share)

    def note_start(
        self, now: float, worker: str, run: Run, job: "LedJob", task: "LedTask"
    ) -> None:
        """Note that a run of a task was ordered or adopted."""
        slowdown = self._times.slowdown(worker)
        timed = TimedRun(
            task.spec.needs.cores,
            now,
            job.expected_s(task) * slowdown * self._spread.usual_factor(job.offer.route),
            self._spread.deviation(job.offer.route),
        )
        if task.adopted:
            self.timeline.note_adopted(worker, run, timed)
        else:
            self.timeline.note_start(worker, run, timed)

    def plan(self, now: float, waiting, usable, free, short: bool) -> Plan | None:
        """Return the decisions of a round of placement; `None` while inactive."""
        if not self.active:
            return None
        return Plan(now, self._options, self.timeline, waiting, usable, free, short, self._spread)
