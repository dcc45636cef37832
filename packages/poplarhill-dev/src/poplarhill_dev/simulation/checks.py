"""The invariants of a simulated fleet, checked as runs start and end."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from poplarhilld.leases import Run, RunEndKind

if TYPE_CHECKING:
    from poplarhill_dev.simulation.fleet import FleetWorld

DRAIN_NOTICE_S = 2.0
_ON_TIME_S = 0.05  # an order that takes longer to arrive was delayed on the way


class Violation(NamedTuple):
    """A violated invariant.

    Attributes:
        at: When it was violated, s.
        kind: The invariant.
        job_id: The job.
        what: What was seen.
    """

    at: float
    kind: str
    job_id: str
    what: str


class RunRecord(NamedTuple):
    """The start or the end of a run on a worker.

    Attributes:
        at: When it started or ended, s.
        worker: Name of the worker.
        run: The run.
    """

    at: float
    worker: str
    run: Run


class Checks:
    """Checks what the runs of all workers have in common.

    Args:
        world: The fleet.

    Attributes:
        told_not_run: Ids of the jobs whose callers were told that nothing has run.
        violated: The violated invariants.
    """

    def __init__(self, world: FleetWorld) -> None:
        self._world = world
        self.told_not_run: set[str] = set()
        self.violated: list[Violation] = []
        self._running_on: dict[str, set[str]] = {}
        # Starts of the first submission of a job; another one may start a task again.
        self._starts: dict[str, list[RunRecord]] = {}
        self._done: dict[tuple[str, Run], RunRecord] = {}
        self._acknowledged: dict[str, list[RunRecord]] = {}

    def record(self, kind: str, job_id: str, what: str) -> None:
        """Record that an invariant is violated now."""
        self._world.note("check", f"VIOLATION {kind}: {what}")
        self.violated.append(Violation(self._world.now, kind, job_id, what))

    def run_started(self, name: str, run: Run, host: str, sent_at: float) -> None:
        """Check a run that has just started.

        Args:
            name: Name of its worker.
            run: The run.
            host: Name of the host that ordered it.
            sent_at: When the host sent the order, s.
        """
        job_id = _job_id(run)
        if job_id in self.told_not_run:
            self.record("started after 'not run'", job_id, f"{run} on {name}")
        self._check_other_runs(name, run)
        self._check_draining(name, run, host, sent_at)
        if len(self._world.callers.by_job[job_id].attempts) == 1:
            start = RunRecord(self._world.now, name, run)
            self._starts.setdefault(run.task, []).append(start)
            self._check_done([start], self._acknowledged.get(run.task, ()))

    def run_ended(self, name: str, at: float, run: Run, kind: RunEndKind) -> None:
        """Note that a run has ended at a time, s."""
        self._running_on.get(run.task, set()).discard(name)
        if kind is RunEndKind.DONE:
            self._done[name, run] = RunRecord(at, name, run)

    def end_acknowledged(self, name: str, run: Run) -> None:
        """Note that a leader has acknowledged the end of a run while its lease held."""
        end = self._done.pop((name, run), None)
        if end is not None:
            self._acknowledged.setdefault(run.task, []).append(end)
            self._check_done(self._starts.get(run.task, ()), [end])

    def _check_other_runs(self, name: str, run: Run) -> None:
        """Check that no other run of a task is under way when one starts."""
        on = self._running_on.setdefault(run.task, set())
        on.add(name)
        for other in sorted(on):
            worker = self._world.workers[other]
            worker.advance(self._world.now)
            for one in worker.running:
                if one.task == run.task and (other, one) != (name, run):
                    what = f"{run} on {name} beside {one} on {other}"
                    self.record("ran twice", _job_id(run), what)

    def _check_done(
        self, starts: Iterable[RunRecord], ends: Iterable[RunRecord]
    ) -> None:
        """Check that no run of a task starts after one whose result was acknowledged.

        The acknowledgement may also come after the start.
        """
        for start in starts:
            for end in ends:
                if end.at < start.at:
                    what = (
                        f"{start.run} on {start.worker} at {start.at:.3f} after "
                        f"{end.run} on {end.worker} was done at {end.at:.3f}"
                    )
                    self.record("started after done", _job_id(start.run), what)

    def _check_draining(self, name: str, run: Run, host: str, sent_at: float) -> None:
        """Check that a host which can read the list starts nothing on leaving workers.

        Orders that arrive late are left out.
        """
        world, since = self._world, sent_at - DRAIN_NOTICE_S
        if world.now - sent_at > _ON_TIME_S:
            return
        draining_since = world.store.drains_since(name)
        if draining_since >= since:
            return
        if world.undisturbed_since(host) <= since:
            drains_s = world.now - draining_since
            what = f"{run} on {name}, draining for {drains_s:.3f} s, by {host}"
            self.record("started on a draining worker", _job_id(run), what)


def _job_id(run: Run) -> str:
    return run.task.partition(".")[0]
