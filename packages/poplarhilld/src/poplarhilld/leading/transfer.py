"""Jobs that a leader gives back untouched, for another leader with capacity."""

from collections.abc import Collection

from poplarhill.exceptions import ErrorKind
from poplarhilld.leading.job import LedJob
from poplarhilld.leading.shared import LeaderState, Subscriber
from poplarhilld.peers.messages import JobEnded


def give_back(
    now: float,
    state: LeaderState,
    job: LedJob,
    subscribers: Collection[Subscriber],
    report: JobEnded,
    wait_s: float,
) -> JobEnded:
    """Return the refusal of a job, marked if another leader may run the job instead.

    It is marked only if nothing of the job was ever ordered, as far as is known here,
    if one submission alone waits for it, and if its caller waits long enough for it
    to run at all. Two entry hosts could offer it to two leaders at once.

    Args:
        now: The leader's clock, s.
        state: State of the leader.
        job: The job.
        subscribers: The submissions that wait for it.
        report: Its refusal.
        wait_s: How long it would wait here, s; 0 if that was not the reason.
    """
    if (
        report.error != ErrorKind.OVERLOADED.value
        or not report.not_run
        or now + job.home_run_s > job.deadline
        or len(subscribers) != 1
        or state.runs.orphans_of(job)
        or any(state.history.is_done(task.name) for task in job.tasks)
    ):
        return report
    return report._replace(elsewhere=True, wait_s=wait_s, run_s=job.home_run_s)
