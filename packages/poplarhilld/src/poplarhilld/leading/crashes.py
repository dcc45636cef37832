"""Workers that may have crashed under a task, and the workers for suspected tasks.

A task may crash each worker that starts it. The loss of a worker makes all tasks that
it ran suspects. A suspect runs alone, so that a second crash convicts nobody else.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from poplarhilld.leases import Run
from poplarhilld.peers.messages import LostWorker, TaskLosses

# A task under which so many workers crashed is given up.
MAX_CRASHES = 2
# Callers that retry a job do so within seconds, and a job runs for minutes at most.
_KEPT_S = 120.0
_MAX_TASKS = 8192  # under 2 MB
_ISOLATED_FRACTION = 8  # one worker of a service in so many may be set aside


class LossRecords:
    """Workers that were lost under tasks, as this host has learnt it.

    Each host keeps a copy, so that the next leader of a job has it too.
    """

    def __init__(self) -> None:
        self._tasks: OrderedDict[str, tuple[float, frozenset[LostWorker]]] = (
            OrderedDict()
        )
        self._unshared: dict[str, list[LostWorker]] = {}

    def __bool__(self) -> bool:
        return bool(self._tasks)

    def note(self, now: float, task: str, lost: LostWorker) -> None:
        """Note that this host has lost a worker under a task."""
        self._add(now, TaskLosses(task, (lost,)))
        self._unshared.setdefault(task, []).append(lost)

    def note_shared(self, now: float, losses: Iterable[TaskLosses]) -> None:
        """Note the workers that another host has lost under tasks."""
        for one in losses:
            self._add(now, one)

    def clear(self, task: str, lost: LostWorker) -> None:
        """Remove a worker that was only unreachable."""
        noted_at, known = self._tasks.get(task, (0.0, frozenset()))
        if lost in known:
            self._tasks[task] = (noted_at, known - {lost})

    def of_task(self, task: str) -> frozenset[LostWorker]:
        """Return the workers that were lost under a task."""
        return self._tasks.get(task, (0.0, frozenset()))[1]

    def take_unshared(self) -> tuple[TaskLosses, ...]:
        """Return what this host has noted since the last call."""
        unshared, self._unshared = self._unshared, {}
        return tuple(TaskLosses(task, tuple(lost)) for task, lost in unshared.items())

    def _add(self, now: float, losses: TaskLosses) -> None:
        _, known = self._tasks.pop(losses.task, (now, frozenset()))
        self._tasks[losses.task] = (now, known.union(losses.lost))
        while (
            len(self._tasks) > _MAX_TASKS
            or next(iter(self._tasks.values()))[0] < now - _KEPT_S
        ):
            self._tasks.popitem(last=False)


class _SetAside(NamedTuple):
    """A worker that is set aside, and the run of a suspect on it, if there is one."""

    service: str
    run: Run | None = None


class Isolation:
    """Workers that are set aside for suspected tasks, each for one run at a time."""

    def __init__(self) -> None:
        self._workers: dict[str, _SetAside] = {}

    def __bool__(self) -> bool:
        return bool(self._workers)

    def __contains__(self, worker: str) -> bool:
        return worker in self._workers

    @property
    def vacant(self) -> list[str]:
        """Names of the workers that are set aside and that no suspect holds."""
        return [name for name, aside in self._workers.items() if aside.run is None]

    def may_add(self, service: str, workers: int) -> bool:
        """Return whether one more worker of a service may be set aside.

        Args:
            service: The service.
            workers: Count of its workers that may take tasks now.
        """
        set_aside = sum(one.service == service for one in self._workers.values())
        return set_aside < max(1, workers // _ISOLATED_FRACTION)

    def set_aside(self, worker: str, service: str) -> None:
        """Set a worker aside; its present runs end before a suspect starts on it."""
        self._workers[worker] = _SetAside(service)

    def occupy(self, worker: str, run: Run) -> None:
        """Note the run of a suspect on a worker that is set aside."""
        self._workers[worker] = self._workers[worker]._replace(run=run)

    def note_closed(self, worker: str, run: Run) -> None:
        """Note that a run has ended; the worker of a suspect may be used by others."""
        aside = self._workers.get(worker)
        if aside is not None and aside.run == run:
            del self._workers[worker]

    def forget(self, worker: str) -> None:
        """Forget a worker that was lost or that this host no longer leads."""
        self._workers.pop(worker, None)

    def release_vacant(self) -> bool:
        """Give back the workers that wait for a suspect; return whether any did."""
        vacant = self.vacant
        for name in vacant:
            del self._workers[name]
        return bool(vacant)
