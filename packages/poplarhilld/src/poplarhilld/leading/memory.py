"""Records of closed jobs and of tasks that ended before their job was offered."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import TypeVar

from poplarhilld.peers.messages import JobEnded

_REPORT_KEPT_S = 5.0  # callers retry a request within some seconds
_CANCEL_KEPT_S = 10.0  # longest delay of an offer in transit
_ANSWER_KEPT_S = 10.0  # longest delay of an offer in transit
_ORDERED_KEPT_S = 10.0  # longest delay of an offer in transit
_LONGEST_KEPT_S = 30.0  # limits the memory if callers wait for hours
# Tasks that were done before their job was offered here. Limits the memory that they
# take.
_MOST_TASKS = 4096

_Key = TypeVar("_Key", bound=Hashable)
_Record = TypeVar("_Record")


class JobHistory:
    """Outcomes of jobs, answers to offers, cancellations, and what had run.

    Each record is kept for a limited time, completed tasks up to a limited count. What
    became of a job is kept until its caller stops waiting, since its offer may be
    repeated until then, however long the link to its host was cut.
    """

    def __init__(self) -> None:
        self._reports: OrderedDict[str, tuple[float, JobEnded]] = OrderedDict()
        self._answered: OrderedDict[Hashable, tuple[float, JobEnded]] = OrderedDict()
        self._cancelled: OrderedDict[str, float] = OrderedDict()
        self._ordered: OrderedDict[str, tuple[float, None]] = OrderedDict()
        self._done: OrderedDict[str, None] = OrderedDict()

    def note_outcome(self, now: float, report: JobEnded, deadline: float) -> None:
        """Record the outcome of a job and when its caller stops waiting."""
        until = now + _REPORT_KEPT_S
        _add(self._reports, now, until, deadline, report.job_id, report)

    def completion(self, job_id: str) -> JobEnded | None:
        """Return the outcome of a job that was completed recently."""
        _, report = self._reports.get(job_id, (0.0, None))
        return report if report is not None and not report.error else None

    def note_answer(
        self, now: float, offer: Hashable, report: JobEnded, deadline: float
    ) -> None:
        """Record the answer to an offer and when the caller stops waiting."""
        until = now + _ANSWER_KEPT_S
        _add(self._answered, now, until, deadline, offer, report)

    def answer(self, offer: Hashable) -> JobEnded | None:
        """Return the recent answer to an offer that arrives late or again."""
        return self._answered.get(offer, (0.0, None))[1]

    def note_cancel(self, now: float, job_id: str) -> None:
        """Record that a job was cancelled."""
        self._cancelled.pop(job_id, None)
        self._cancelled[job_id] = now
        while next(iter(self._cancelled.values())) < now - _CANCEL_KEPT_S:
            self._cancelled.popitem(last=False)

    def is_cancelled(self, now: float, job_id: str) -> bool:
        """Return whether a job was cancelled recently."""
        since = self._cancelled.get(job_id)
        return since is not None and since >= now - _CANCEL_KEPT_S

    def note_ordered(self, now: float, job_id: str, deadline: float) -> None:
        """Record that runs of a job were ordered, and when its caller stops waiting."""
        until = now + _ORDERED_KEPT_S
        _add(self._ordered, now, until, deadline, job_id, None)

    def was_ordered(self, job_id: str) -> bool:
        """Return whether runs of a job were ordered before it was offered again."""
        return job_id in self._ordered

    def note_done(self, task: str) -> None:
        """Record a task that was done before its job was offered here."""
        self._done[task] = None
        if len(self._done) > _MOST_TASKS:
            self._done.popitem(last=False)

    @property
    def any_done(self) -> bool:
        """Whether any task was done before its job was offered here."""
        return bool(self._done)

    def is_done(self, task: str) -> bool:
        """Return whether a task was done before its job was offered here."""
        return task in self._done


def _add(
    records: OrderedDict[_Key, tuple[float, _Record]],
    now: float,
    until: float,
    deadline: float,
    key: _Key,
    record: _Record,
) -> None:
    """Add or replace a record, and drop the first ones as far as their time is over.

    It is kept until a time, or until the deadline of its job if that is later.
    """
    if deadline > until:
        until = min(deadline, now + _LONGEST_KEPT_S)
    records.pop(key, None)
    records[key] = (until, record)
    while next(iter(records.values()))[0] < now:
        records.popitem(last=False)
