"""Applies what workers report of runs to the jobs."""

import math

from poplarhill.exceptions import ErrorKind
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.closing import JobCloser, job_ended
from poplarhilld.leading.estimates import CompletedRun
from poplarhilld.leading.job import LedJob, LedTask
from poplarhilld.leading.messages import (
    LeaderAction,
    RunResolved,
    ShareReport,
)
from poplarhilld.leading.run_messages import RunAdopted, RunFound, UnknownRunEnded
from poplarhilld.leading.shared import LeaderState, worker_state
from poplarhilld.leading.suspects import find_deadly_task
from poplarhilld.leases import (
    Lapsing,
    LeasedWorker,
    Run,
    RunClosed,
    RunDiscovered,
    RunOutcome,
)
from poplarhilld.peers.messages import (
    JobEnded,
    JobProgress,
    LostWorker,
)

# From the stop of a run until its worker lists the end and gets a longer lease for the
# others there: a tick, and at most 0.05 s for the stop.
_LEASED_STOP_S = 0.1


class RunOutcomes:
    """Applies the ends, losses and discoveries of runs to their jobs.

    Args:
        state: State of the leader.
        closer: Ends jobs.
    """

    def __init__(self, state: LeaderState, closer: JobCloser) -> None:
        self._state = state
        self._closer = closer

    def apply_change(
        self, now: float, worker: LeasedWorker, change: RunClosed | RunDiscovered
    ) -> list[LeaderAction]:
        """Apply the end or the discovery of a run."""
        self._state.placement_up_to_date = False
        match change:
            case RunClosed(run, outcome):
                return self._handle_closed_run(now, worker, run, outcome)
            case RunDiscovered(run):
                return self._handle_discovered_run(now, worker, run)

    def _handle_discovered_run(
        self, now: float, worker: LeasedWorker, run: Run
    ) -> list:
        name = worker.entry.name
        task = self._state.runs.task_of(name, run)
        if task is not None and task.run == run:
            return []
        job = self._state.runs.job_of(run.task)
        if job is None:
            offered_at = self._add_orphan(now, worker, run)
            age_s = round(now - offered_at, 3) if math.isfinite(offered_at) else None
            return [_found(run, name, "orphan", age_s)]
        task = job.task(run.task)
        worker.set_needs(run, task.spec.needs)
        worker.set_job(run, job)
        if task.waiting and not job.stopping:
            self._adopt(now, worker, run, job, task)
            return [_found(run, name, "adopted")]
        reason = "its task is done or has another run"
        stops = self._closer.stop_run(now, worker, run, reason)
        return [_found(run, name, "stopped"), *stops]

    def _add_orphan(self, now: float, worker: LeasedWorker, run: Run) -> float:
        """Note a run whose job may be offered here soon, or be lost with its host.

        No offer to this leader keeps it alive. Its lease is extended as far as the
        report of the former leader on its offers allows, and not at all without one.

        Returns:
            When its job was offered at the earliest, s.
        """
        name = worker.entry.name
        offered_at = self._state.offer_times.former(name)
        limits = self._state.limits
        worker.set_job(run, Lapsing(offered_at + limits.lifetime_s))
        stop_by = math.inf
        if math.isfinite(offered_at):
            stop_by = offered_at + limits.last_stop_s - _LEASED_STOP_S
        self._state.runs.add_orphan(now, run, name, offered_at, stop_by)
        return offered_at

    def adopt_orphans(self, now: float, job: LedJob) -> list[LeaderAction]:
        """Adopt the runs of a job that an earlier leader ordered."""
        actions: list[LeaderAction] = []
        for (run, name, since, *_), task in self._state.runs.orphans_of(job):
            worker = self._state.workers.get(name)
            if worker is None:
                continue
            worker.set_needs(run, task.spec.needs)
            if task.waiting:
                self._state.runs.note_closed(name, run)
                worker.set_job(run, job)
                self._adopt(now, worker, run, job, task)
                job.run_count += 1
                orphan_s = round(now - since, 4)
                adopted = RunAdopted(run.task, run.number, name, orphan_s)
                actions.append(LogDecision(adopted))
        return actions

    def _adopt(
        self, now: float, worker: LeasedWorker, run: Run, job: LedJob, task: LedTask
    ) -> None:
        name = worker.entry.name
        task.run_factor = self._state.locality.factor(task.spec, worker.entry)
        self._state.runs.note_started(now, run, task, name, adopted=True)
        self._state.lookahead.note_start(now, name, run, job, task)

    def _handle_closed_run(
        self, now: float, worker: LeasedWorker, run: Run, outcome: RunOutcome
    ) -> list[LeaderAction]:
        name = worker.entry.name
        self._state.runs.note_closed(name, run)
        task = self._state.runs.task_of(name, run)
        listed_s = round(now - worker.listed_at, 4)
        if task is None:
            ended = UnknownRunEnded(run.task, run.number, name, outcome.value, listed_s)
            actions: list[LeaderAction] = [LogDecision(ended)]
            if outcome is RunOutcome.DONE:
                actions += self._handle_unknown_done(now, run)
            return actions
        job = self._state.runs.job_of(task.name)
        if outcome is RunOutcome.DONE:
            self._finish(job, task)
        self._closer.forget_run(name, run)
        took_s = now - task.ordered_at
        resolved = RunResolved(
            task.name, run.number, name, outcome.value, round(took_s, 4), listed_s
        )
        actions = [LogDecision(resolved)]
        match outcome:
            case RunOutcome.DONE:
                if not task.adopted:
                    # A remote run takes longer, and its worker is not slow.
                    task.took_s = took_s / task.run_factor
                    completed = CompletedRun(name, task.spec.run_time_s, task.took_s)
                    job.completed_runs.append(completed)
                if self._state.health.note_success(now, name, run):
                    actions.append(
                        worker_state(now, worker, "restored", "probes succeeded")
                    )
            case RunOutcome.FAILED:
                task.failures += 1
                task.avoid.add(name)
                if self._state.health.note_failure(
                    now, name, run, job.job_id, len(self._state.workers)
                ):
                    actions.append(worker_state(now, worker, "ejected", "tasks failed"))
            case RunOutcome.UNKNOWN:
                self._state.health.note_end(now, name, run)
                actions += self.give_up(now, task)
            case _:
                self._state.health.note_end(now, name, run)
        return actions + self._update_job(now, job, task)

    def give_up(self, now: float, task: LedTask) -> list[LeaderAction]:
        """Close the job of a task whose run may have ended with success.

        Another leader may have acknowledged that, so the task must not start again.
        """
        job = self._state.runs.job_of(task.name)
        if job is None or job.stopping or task.done:
            return []
        detail = f"task {task.number} may be done by a run that another host ordered"
        return self._closer.close_job(
            now, job, job_ended(job, ErrorKind.WORKER_LOST, detail)
        )

    def give_up_handed_over(self, now: float, task: LedTask) -> list[LeaderAction]:
        """Close the job of a task that has run under its former leader, if it had one.

        A job without one may have been submitted again, and starts its tasks anew.
        """
        job = self._state.runs.job_of(task.name)
        if job is None or not job.offer.handovers:
            return []
        return self.give_up(now, task)

    def _handle_unknown_done(self, now: float, run: Run) -> list[LeaderAction]:
        """Note that a run which this leader has neither ordered nor adopted is done.

        An earlier leader ordered it, and it ended before this one led its worker.
        """
        job = self._state.runs.job_of(run.task)
        if job is None:
            self._state.history.note_done(run.task)
            # The next renewal makes the worker forget it, and this leader may be lost.
            return [ShareReport(JobProgress("", done_tasks=(run.task,)))]
        task = job.task(run.task)
        if task.done:
            return []
        self._finish(job, task)
        actions: list[LeaderAction] = []
        worker = self._state.workers.get(task.worker)
        if task.run is not None and worker is not None:
            reason = "an earlier run of its task is done"
            actions += self._closer.stop_run(now, worker, task.run, reason)
        return actions + self._update_job(now, job, task)

    def _finish(self, job: LedJob, task: LedTask) -> None:
        job.finish(task)
        self._state.queue.update(job)

    def _update_job(self, now: float, job: LedJob, task: LedTask) -> list:
        """Close a job or report its progress after one of its runs has ended."""
        if job.stopping:
            if not job.under_way:
                self._closer.forget_job(job)
            return []
        if job.complete:
            return self._closer.close_job(now, job, JobEnded(job.job_id))
        if task.failures >= job.offer.max_attempts:
            detail = f"task {task.number} failed {task.failures} times"
            return self._closer.close_job(
                now, job, job_ended(job, ErrorKind.TASK_FAILED, detail)
            )
        if task.done and len(job.tasks) > 1:
            return self._closer.report(job, JobProgress(job.job_id, (task.number,)))
        return []

    def note_loss(
        self, now: float, worker: LeasedWorker, incarnation: int | None, run: Run
    ) -> list[LeaderAction]:
        """Suspect the task of a run whose worker was lost."""
        job = self._state.runs.job_of(run.task)
        if job is None or incarnation is None or worker.entry.draining:
            return []
        lost = LostWorker(worker.entry.name, incarnation)
        return self._state.suspects.note_loss(now, job, run, lost)

    def check_suspects(self, now: float, job: LedJob) -> list[LeaderAction]:
        """Clear the tasks whose lost workers are back; give up a deadly job."""
        cleared = self._state.suspects.clear(job, lambda lost: self._is_back(now, lost))
        if cleared:
            self._state.placement_up_to_date = False
        deadly = find_deadly_task(job, self.has_crashed)
        if deadly is None or job.stopping:
            return cleared
        report = job_ended(job, ErrorKind.TASK_FAILED, crash_detail(deadly))
        return cleared + self._closer.close_job(now, job, report)

    def _is_back(self, now: float, lost: LostWorker) -> bool:
        """Return whether the lost process of a worker responds again."""
        worker = self._state.workers.get(lost.worker)
        return (
            worker is not None
            and lost.worker not in self._state.lost
            and worker.incarnation == lost.incarnation
            and worker.is_responsive(now)
        )

    def has_crashed(self, lost: LostWorker) -> bool:
        """Return whether the lost process of a worker is known to have ended."""
        worker = self._state.workers.get(lost.worker)
        if worker is not None and worker.incarnation not in (None, lost.incarnation):
            return True
        registered = (
            lost.worker in self._state.entries
            or lost.worker in self._state.not_led_here
        )
        return not registered


def _found(
    run: Run, worker: str, action: str, offer_age_s: float | None = None
) -> LogDecision:
    """Return the log line on a run that this leader has not ordered."""
    return LogDecision(RunFound(run.task, run.number, worker, action, offer_age_s))


def crash_detail(task: LedTask) -> str:
    """Return why a task is not started again."""
    return f"{len(task.lost)} workers crashed while they ran task {task.number}"
