"""Jobs that only workers in evacuated data centres could run."""

from poplarhill.exceptions import ErrorKind
from poplarhill.types import Resources
from poplarhilld.leading.admission import RETRY_AFTER_S, Refusal
from poplarhilld.leading.closing import JobCloser, job_ended
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.messages import LeaderAction
from poplarhilld.leading.placement import could_run, could_run_at_largest
from poplarhilld.leading.shared import LeaderState
from poplarhilld.leases import LeasedWorker
from poplarhilld.peers.messages import StepSpec

_Kind = tuple[str, Resources, str]


class EvacuatedJobs:
    """Gives such jobs back to their entry hosts, for other leaders to run.

    Nothing here does any work while no data centre is evacuated.

    Args:
        state: State of the leader.
        closer: Ends jobs.
    """

    def __init__(self, state: LeaderState, closer: JobCloser) -> None:
        self._state = state
        self._closer = closer

    def find_refusal(self, now: float, job: LedJob) -> Refusal | None:
        """Return why an offered job is refused, or `None` if it is not for this."""
        if not self._state.evacuated or self._may_run_here(now, job):
            return None
        for step in job.offer.steps:
            if self._needs_evacuated(now, job.offer.service, step):
                return Refusal(
                    ErrorKind.NO_WORKERS,
                    _detail(job.offer.service),
                    RETRY_AFTER_S,
                    elsewhere=True,
                )
        return None

    def give_up(self, now: float) -> list[LeaderAction]:
        """Close the queued jobs that can't go on here.

        A job with a run under way stays: that run finishes, and a second leader that
        has the job would not know of it. A job with a failed run is closed for good,
        since another leader would grant it all attempts anew.
        """
        if not self._state.evacuated or not self._state.queue:
            return []
        actions: list[LeaderAction] = []
        known: dict[_Kind, bool] = {}
        for job in self._state.queue.jobs:
            if job.stopping or job.under_way or self._may_run_here(now, job):
                continue
            if not self._is_held(now, job, known):
                continue
            failed = any(task.failures for task in job.tasks)
            detail = _detail(job.offer.service)
            kind = ErrorKind.WORKER_LOST if failed else ErrorKind.NO_WORKERS
            report = job_ended(job, kind, detail, RETRY_AFTER_S)
            if not failed:
                done = tuple(task.number for task in job.tasks if task.done)
                report = report._replace(elsewhere=True, done=done)
            actions += self._closer.close_job(now, job, report)
        return actions

    def _may_run_here(self, now: float, job: LedJob) -> bool:
        """Return whether a worker may still report a run that a lost leader ordered."""
        return bool(job.offer.handovers) and any(
            worker.awaits_first_reply(now) for worker in self._state.workers.values()
        )

    def _is_held(self, now: float, job: LedJob, known: dict[_Kind, bool]) -> bool:
        """Return whether a waiting task of a job could only run where it may not.

        Args:
            now: The leader's clock, s.
            job: The job.
            known: What was found for earlier steps of this kind.
        """
        service = job.offer.service
        for task in job.tasks:
            if not task.waiting:
                continue
            kind = (service, task.spec.needs, task.spec.label)
            if kind not in known:
                known[kind] = self._needs_evacuated(now, service, task.spec)
            if known[kind]:
                return True
        return False

    def _needs_evacuated(self, now: float, service: str, step: StepSpec) -> bool:
        """Return whether only evacuated workers could run a task of a step."""
        found = False
        for worker in self._state.workers.values():
            entry = worker.entry
            fits_now = could_run(entry, service, step)
            if entry.data_centre in self._state.evacuated:
                found = found or fits_now or could_run_at_largest(entry, service, step)
            elif fits_now and self._is_reachable(now, worker):
                return False
        return found

    def _is_reachable(self, now: float, worker: LeasedWorker) -> bool:
        return self._state.is_usable(worker) or worker.awaits_first_reply(now)


def _detail(service: str) -> str:
    return f"the workers of {service!r} that could run it are in evacuated data centres"
