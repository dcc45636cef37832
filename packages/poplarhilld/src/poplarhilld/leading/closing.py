"""Ends jobs: reports their outcome and stops their runs."""

import math

from poplarhill.exceptions import ErrorKind
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.messages import (
    JobClosed,
    ReportJob,
    StopRun,
)
from poplarhilld.leading.run_messages import StopOrdered
from poplarhilld.leading.shared import LeaderState
from poplarhilld.leases import (
    LeasedWorker,
    Run,
)
from poplarhilld.peers.messages import (
    JobEnded,
    JobProgress,
)


class JobCloser:
    """Reports the outcomes of jobs and stops the runs that are left.

    Args:
        state: State of the leader.
    """

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def report(self, job: LedJob, report: JobEnded | JobProgress) -> list:
        """Return a report to each subscriber of a job.

        A failure names the submission: a copy of it that arrives after the caller has
        submitted the job again must not end the new submission.
        """
        subscribers = self._state.subscribers[job.job_id]
        if isinstance(report, JobEnded) and report.error:
            return [
                ReportJob(host, report._replace(number=number))
                for host, number in sorted(subscribers)
            ]
        if len(subscribers) == 1:
            (only,) = subscribers
            return [ReportJob(only.host, report)]
        hosts = {subscriber.host for subscriber in subscribers}
        return [ReportJob(host, report) for host in sorted(hosts)]

    def close_job(self, now: float, job: LedJob, report: JobEnded) -> list:
        """Report the outcome of a job and stop its remaining runs."""
        actions = self.report(job, report)
        history = self._state.history
        history.note_outcome(now, report, job.deadline)
        if not job.not_run:
            history.note_ordered(now, job.job_id, job.deadline)
        for subscriber in self._state.subscribers[job.job_id]:
            answer = report
            if report.error:
                answer = report._replace(number=subscriber.offer_number)
            history.note_answer(now, (subscriber, job.job_id), answer, job.deadline)
        closed = JobClosed(
            job.job_id,
            report.error or "complete",
            report.detail,
            round(now - job.arrived_at, 4),
            job.run_count,
            len(job.tasks),
            round(job.cores, 3),
            *job.timing(now),
        )
        actions.append(LogDecision(closed))
        self._state.times.learn(job.offer.route, job.completed_runs)
        ran_s = job.ran_s(now)
        if ran_s is not None:
            self._state.spread.note(
                job.offer.route, job.home_run_s, ran_s, job.complete
            )
        job.stopping = True
        self._state.subscribers[job.job_id].clear()
        for task in job.under_way:
            worker = self._state.workers.get(task.worker)
            if worker is not None:
                actions += self.stop_run(now, worker, task.run, "its job is closed")
        if not job.under_way:
            self.forget_job(job)
        return actions

    def forget_job(self, job: LedJob) -> None:
        """Remove a job of which no run is left."""
        self._state.jobs.pop(job.job_id, None)
        self._state.queue.discard(job.job_id)
        self._state.subscribers.pop(job.job_id, None)
        self._state.suspects.drop_job(job.job_id)
        self._state.runs.drop_job(job)

    def stop_run(self, now: float, worker: LeasedWorker, run: Run, reason: str) -> list:
        """Order a worker to stop a run, unless such an order was sent just now."""
        name = worker.entry.name
        repeated = self._state.runs.is_stopping(name, run)
        if not self._state.runs.note_stop_if_due(now, name, run):
            return []
        ordered = StopOrdered(run.task, run.number, name, reason, repeated)
        return [LogDecision(ordered), StopRun(worker.entry, run, worker.token)]

    def forget_run(self, worker: str, run: Run) -> None:
        """Remove a run that is no longer under way; its task may wait again."""
        task = self._state.runs.forget(worker, run)
        self._state.lookahead.timeline.note_end(worker, run)
        self._state.suspects.note_closed(worker, run)
        job = None if task is None else self._state.runs.job_of(task.name)
        if job is not None:
            if job.least_cores < math.inf:
                self._state.queue.add(job)
            self._state.placement_up_to_date = False


def job_ended(
    job: LedJob, kind: ErrorKind, detail: str, retry_after_s: float = 0.0
) -> JobEnded:
    """Return the report that a job has failed."""
    return JobEnded(job.job_id, kind.value, detail, retry_after_s, job.not_run)
