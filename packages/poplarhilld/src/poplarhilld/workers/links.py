"""The links to all workers."""

from collections.abc import Callable

import curio
import structlog

from poplarhill.exceptions import ErrorKind
from poplarhill.types import TaskId, WorkerSpec
from poplarhilld.connections import ConnectionPool
from poplarhilld.dispatch.actions import SendTask
from poplarhilld.dispatch.events import TaskLost
from poplarhilld.workers.link import TaskEvent, WorkerLink

_IDLE_SWEEP_S = 5.0
_log = structlog.get_logger()


class WorkerLinks:
    """Sends tasks to all workers, over one link to each address.

    Args:
        clock: Returns the time by this host's clock, s.
        hosts: Count of entry hosts that share the connections of a worker.
        on_discarded: Called with the reason for each reply that is discarded.
        source: Own IP address to connect from; any if not given.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        hosts: int,
        on_discarded: Callable[[str], None],
        source: str | None = None,
    ) -> None:
        self._clock = clock
        self._host_count = hosts
        self._on_discarded = on_discarded
        self._source = source
        self._links: dict[tuple[str, int], WorkerLink] = {}

    async def run(self) -> None:
        """Close idle connections until cancelled."""
        while True:
            await curio.sleep(_IDLE_SWEEP_S)
            for link in list(self._links.values()):
                await link.pool.close_idle()

    async def send(self, action: SendTask) -> TaskEvent:
        """Send a task and return its outcome; never raises an error."""
        try:
            return await self._link(action.worker).send(action)
        except Exception as error:
            _log.exception("send failed", task=str(action.task))
            name = action.worker.name
            kind = ErrorKind.INTERNAL
            return TaskLost(action.task, name, kind, repr(error), action.attempt)

    async def stop(self, task: TaskId, worker: WorkerSpec) -> None:
        """Stop a task on a worker; an error is logged and not raised."""
        try:
            await self._link(worker).stop(task)
        except Exception:
            _log.exception("stop failed", task=str(task))

    async def close(self) -> None:
        """Close every idle connection."""
        for link in self._links.values():
            await link.pool.close_idle(0.0)

    def _link(self, spec: WorkerSpec) -> WorkerLink:
        address = (spec.host, spec.port)
        link = self._links.get(address)
        if link is None:
            size = max(1, spec.connections // self._host_count)
            pool = ConnectionPool(
                spec, size, self._clock, self._on_discarded, self._source
            )
            link = WorkerLink(spec, pool, self._clock, self._on_discarded)
            self._links[address] = link
        return link
