"""Runs the jobs that callers submit to an entry host."""

import curio

from poplarhill.exceptions import Failure
from poplarhill.http import Cause, InputLimiter
from poplarhill.http.budget import BudgetExceededError
from poplarhill.http.limiter import NO_MEMORY, spread_retry
from poplarhilld.catalogue import Route
from poplarhilld.entry.clock import uptime
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.performer import Performer
from poplarhilld.entry.state import HostState
from poplarhilld.peers.messages import JobWithdrawn
from poplarhilld.submissions import Submission

# Objects of this host and of a leader, beside the input of the tasks.
_TASK_BYTES = 2048
_DEPENDENCY_BYTES = 16


class Callers:
    """Submits the jobs of callers and returns their outcomes.

    Args:
        state: State of this host.
        performer: Performs the resulting actions.
        metrics: Metrics of this process.
        limiter: What the listeners of this process share.
    """

    def __init__(
        self,
        state: HostState,
        performer: Performer,
        metrics: EntryMetrics,
        limiter: InputLimiter,
    ) -> None:
        self._state = state
        self._performer = performer
        self._metrics = metrics
        self._limiter = limiter
        self._count = 0

    def find_refusal(
        self, route: Route, job_id: str, caller_timeout_s: float
    ) -> Failure | None:
        """Return why a new job is refused on arrival, or `None` if it is accepted.

        A job that is in flight here already is accepted: it may have run.

        Args:
            route: Its route.
            job_id: Its id.
            caller_timeout_s: Longest time that the caller waits for the answer, s;
                infinite if the request does not say.
        """
        state = self._state
        if self.is_known(job_id):
            return None
        # Patient callers do not make this host later for others of their route.
        limit_s = min(route.timeout_s, caller_timeout_s)
        shed = state.overload.find_refusal(uptime(), route.priority, "caller", limit_s)
        if shed is None:
            return None
        self._metrics.jobs.labels(route.name, shed.failure.kind.value).inc()
        return shed.failure

    async def submit(self, submission: Submission) -> Failure | None:
        """Run a job and return its failure, or `None` once it is complete.

        A new job is refused if there is no memory for its tasks. One that is in flight
        here already is not: it may have run.
        """
        known = self.is_known(submission.job_id)
        memory = self._limiter.budget.open(lambda: None)
        try:
            memory.resize(0 if known else _job_bytes(submission), movable=False)
        except BudgetExceededError:
            self._limiter.refused[Cause.NO_MEMORY] += 1
            return spread_retry(NO_MEMORY)
        try:
            return await self._run(submission)
        finally:
            memory.release()

    async def _run(self, submission: Submission) -> Failure | None:
        state, perform = self._state, self._performer.perform
        self._count += 1
        number = self._count
        outcome = state.outcomes[number] = curio.Queue()
        begin = uptime()
        route = submission.route.name
        try:
            was_idle = not len(state.submissions)
            await perform(state.submissions.submit(begin, number, submission))
            if was_idle:
                await state.pause.shorten()  # the job may end before an idle pause
            failure = await outcome.get()
        except curio.CancelledError:
            withdrawal = state.submissions.drop_caller(uptime(), number)
            await curio.disable_cancellation(perform(withdrawal))
            raise
        finally:
            del state.outcomes[number]
        self._metrics.latency.labels(route).observe(uptime() - begin)
        kind = failure.kind.value if failure else "complete"
        self._metrics.jobs.labels(route, kind).inc()
        return failure

    def is_known(self, job_id: str) -> bool:
        """Return whether a job was submitted to this host, or is led by it."""
        state = self._state
        return state.submissions.is_in_flight(job_id) or job_id in state.leader.jobs

    async def cancel(self, job_id: str) -> None:
        """Cancel a job on all live hosts."""
        performer = self._performer
        withdrawn = JobWithdrawn(job_id, cancelled=True)
        for name in self._state.hosts.live:
            await performer.send(name, withdrawn)
        own_name = self._state.settings.name
        await performer.perform(performer.handle_message(own_name, withdrawn))


def _job_bytes(submission: Submission) -> int:
    """Return the memory that a job takes up until its answer."""
    tasks = sum(step.count for step in submission.steps)
    dependencies = sum(len(step.after) for step in submission.steps)
    objects = tasks * _TASK_BYTES + dependencies * _DEPENDENCY_BYTES
    return objects + len(submission.body)
