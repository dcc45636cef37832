"""How long jobs take until their callers are answered, learned by route."""

import math

from poplarhill.exceptions import ErrorKind, Failure
from poplarhilld.leading.spread import RunTimeSpread
from poplarhilld.peers.steps import longest_chain_s
from poplarhilld.submissions.messages import Submission

# Until another leader has a job whose leader was lost.
_LOST_LEADER_S = 0.6


class AnswerTimes:
    """Times until an answer, in relation to the run times that jobs declare."""

    def __init__(self) -> None:
        self._spread = RunTimeSpread()

    def note(
        self, submission: Submission, took_s: float, failure: Failure | None
    ) -> None:
        """Note an answered job.

        Args:
            submission: The job.
            took_s: Time from its arrival to its answer, s.
            failure: Why it failed; `None` if it is complete.
        """
        if failure is None or failure.kind is ErrorKind.TIMEOUT:
            route = submission.route.name
            self._spread.note(route, _declared_s(submission), took_s, failure is None)

    def longest_s(self, submission: Submission) -> float:
        """Return the time in which 19 jobs in 20 like it are answered, s.

        Returns:
            Infinity if the job does not declare its run time.
        """
        declared_s = _declared_s(submission)
        if declared_s <= 0:
            return math.inf
        most_s = self._spread.most_run_s(submission.route.name, declared_s)
        return most_s + _LOST_LEADER_S


def _declared_s(submission: Submission) -> float:
    steps = submission.steps
    return longest_chain_s(steps, [step.run_time_s for step in steps])
