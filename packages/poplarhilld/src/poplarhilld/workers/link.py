"""Sends each task to a worker at most once and classifies the response.

Once the first byte of a task may have left this host, the task is reported as
lost unless its own success response, or an explicit refusal by the worker,
arrives.
Each send is reported exactly once.
"""

from collections.abc import Callable
from dataclasses import replace

import curio
import structlog

from poplarhill.decoding import parse_digits
from poplarhill.exceptions import ErrorKind
from poplarhill.http import (
    Connection,
    ConnectionLostError,
    InvalidResponseError,
    Request,
    Response,
)
from poplarhill.types import TaskId, WorkerSpec
from poplarhilld.connections import CONNECT_TIMEOUT_S, ConnectionPool
from poplarhilld.dispatch.actions import SendTask
from poplarhilld.dispatch.events import TaskLost, TaskSucceeded, TaskUnsent

TASK_ID_HEADER = "task-id"
TASK_STARTED_HEADER = "task-started"
TIMEOUT_HEADER = "task-timeout-s"
FREE_SLOTS_HEADER = "slots-free"

_HTTP_OK = 200
_MAX_FREE_SLOTS = 65_535
_HTTP_STOPPED = 409
_HTTP_UNAVAILABLE = 503
_STOP_TIMEOUT_S = 2.0
_log = structlog.get_logger()

TaskEvent = TaskSucceeded | TaskUnsent | TaskLost


class WorkerLink:
    """Sends tasks of this host to one worker, and stops them.

    Args:
        spec: The worker.
        pool: Connections to the worker.
        clock: Returns the time by this host's clock, s.
        on_discarded: Called with the reason for each reply that is discarded.
    """

    def __init__(
        self,
        spec: WorkerSpec,
        pool: ConnectionPool,
        clock: Callable[[], float],
        on_discarded: Callable[[str], None],
    ) -> None:
        self._spec = spec
        self._pool = pool
        self._clock = clock
        self._on_discarded = on_discarded
        self._awaiting_connection: set[TaskId] = set()
        self._running: dict[TaskId, Connection] = {}

    @property
    def pool(self) -> ConnectionPool:
        """Connections to the worker."""
        return self._pool

    async def send(self, action: SendTask) -> TaskEvent:
        """Send a task and return its outcome."""
        task = action.task
        self._awaiting_connection.add(task)
        try:
            connection = await self._pool.acquire(CONNECT_TIMEOUT_S)
        except ConnectionLostError as error:
            return self._unsent(action, str(error))
        finally:
            withdrawn = task not in self._awaiting_connection
            self._awaiting_connection.discard(task)
        if withdrawn or self._clock() >= action.send_by:
            await self._pool.release(connection)
            detail = "withdrawn" if withdrawn else "send deadline passed"
            return self._unsent(action, detail, by_worker=False)
        self._running[task] = connection
        try:
            return await self._exchange(action, connection)
        finally:
            del self._running[task]

    async def stop(self, task: TaskId) -> None:
        """Stop a task.

        A task that waits for a connection is not sent. For one that runs, the worker
        is asked to stop it; if no response follows, the connection is aborted.
        """
        if task in self._awaiting_connection:
            self._awaiting_connection.discard(task)
            return
        connection = self._running.get(task)
        if connection is None:
            return
        await self._send_stop(task)
        if self._running.get(task) is connection:
            await curio.sleep(_STOP_TIMEOUT_S)
        if self._running.get(task) is connection:
            connection.abort()

    async def _exchange(self, action: SendTask, connection: Connection) -> TaskEvent:
        timeout_s = max(0.0, action.deadline - self._clock())
        request = _task_request(action, timeout_s)
        try:
            response = await curio.timeout_after(
                timeout_s + _STOP_TIMEOUT_S,
                connection.exchange,
                request,
                lambda: self._clock() < action.send_by,
            )
        except ConnectionLostError as error:
            await self._pool.discard(connection)
            if not error.sent:
                return self._unsent(action, "send deadline passed", by_worker=False)
            return self._lost(action, ErrorKind.WORKER_LOST, str(error))
        except (InvalidResponseError, curio.TaskTimeout) as error:
            await self._pool.discard(connection)
            detail = str(error) or "no response in time"
            return self._lost(action, ErrorKind.BAD_RESPONSE, detail)
        except BaseException:
            await self._pool.discard(connection)
            raise
        return await self._receive(action, connection, response)

    async def _receive(
        self, action: SendTask, connection: Connection, response: Response
    ) -> TaskEvent:
        if response.headers.get(TASK_ID_HEADER) != str(action.task):
            self._report_discarded("another task", action.task)
            await self._pool.discard(connection)
            detail = "response is for another task"
            return self._lost(action, ErrorKind.BAD_RESPONSE, detail)
        if connection.has_extra_data:
            self._report_discarded("surplus", action.task)
        await self._pool.release(connection)
        return self._classify(action, response)

    def _classify(self, action: SendTask, response: Response) -> TaskEvent:
        if response.status == _HTTP_OK:
            worker = action.worker.name
            free_slots = _free_slots(response)
            return TaskSucceeded(
                action.task, worker, response.body, action.attempt, free_slots
            )
        refused = response.headers.get(TASK_STARTED_HEADER) == "no"
        if response.status == _HTTP_UNAVAILABLE and refused:
            return self._unsent(action, "the worker refused the task")
        detail = f"the worker answered {response.status}"
        lost = self._lost(action, ErrorKind.TASK_FAILED, detail)
        return replace(lost, stopped=response.status == _HTTP_STOPPED)

    async def _send_stop(self, task: TaskId) -> None:
        try:
            connection = await self._pool.acquire(_STOP_TIMEOUT_S)
        except ConnectionLostError:
            return
        request = Request("DELETE", f"/tasks/{task}")
        try:
            await curio.timeout_after(_STOP_TIMEOUT_S, connection.exchange, request)
        except (ConnectionLostError, InvalidResponseError, curio.TaskTimeout):
            await self._pool.discard(connection)
        else:
            await self._pool.release(connection)

    def _report_discarded(self, reason: str, task: TaskId) -> None:
        """Count and log a reply, or surplus data after one, that is discarded."""
        self._on_discarded(reason)
        worker = self._spec.name
        _log.warning("reply discarded", reason=reason, worker=worker, task=str(task))

    def _unsent(
        self, action: SendTask, detail: str, by_worker: bool = True
    ) -> TaskUnsent:
        name = action.worker.name
        return TaskUnsent(action.task, name, detail, action.attempt, by_worker)

    def _lost(self, action: SendTask, kind: ErrorKind, detail: str) -> TaskLost:
        return TaskLost(action.task, action.worker.name, kind, detail, action.attempt)


def _task_request(action: SendTask, timeout_s: float) -> Request:
    headers = {
        TASK_ID_HEADER: str(action.task),
        TIMEOUT_HEADER: f"{timeout_s:.3f}",
    }
    return Request("POST", "/tasks", headers=headers, body=action.body)


def _free_slots(response: Response) -> int | None:
    """Return the free slots that a response reports; `None` if it does not."""
    text = response.headers.get(FREE_SLOTS_HEADER, "")
    number = parse_digits(text.removeprefix("-"), _MAX_FREE_SLOTS)
    return -number if number and text.startswith("-") else number
