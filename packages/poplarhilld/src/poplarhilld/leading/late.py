"""Offers that a leader refuses because its own processor is overloaded."""

from poplarhill.exceptions import ErrorKind
from poplarhilld.leading.admission import Refusal
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.shared import LeaderState
from poplarhilld.overload import OverloadControl


class LateOffers:
    """Refuses new offers of other hosts while this host is late.

    The jobs of this host's own callers were accepted on their arrival already.

    Args:
        state: State of the leader.
        overload: Overload control of the host; `None` accepts all offers.
        own_name: Name of this host.
    """

    def __init__(
        self, state: LeaderState, overload: OverloadControl | None, own_name: str
    ) -> None:
        self._state = state
        self._overload = overload
        self._own_name = own_name

    def find_refusal(self, now: float, host: str, job: LedJob) -> Refusal | None:
        """Return why an offer is refused, or `None` if it is accepted.

        A job that may have run anywhere is accepted, since it is work begun and its
        refusal could not be called not run.
        """
        if self._overload is None or host == self._own_name or self._may_have_run(job):
            return None
        left_s = min(job.due, job.deadline) - now
        shed = self._overload.find_refusal(now, job.offer.priority, "offer", left_s)
        if shed is None:
            return None
        return Refusal(ErrorKind.OVERLOADED, shed.detail, shed.retry_after_s)

    def _may_have_run(self, job: LedJob) -> bool:
        state = self._state
        return (
            not job.not_run
            or bool(state.runs.orphans_of(job))
            or any(state.history.is_done(task.name) for task in job.tasks)
        )
