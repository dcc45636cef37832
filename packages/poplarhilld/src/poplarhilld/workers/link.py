"""Connections to workers and the classification of what comes back.

From the moment the first byte of a task may have left this host, the task is
reported as lost unless its own response, or the worker's explicit refusal,
comes back.
"""

from collections.abc import Callable

import curio

from poplarhill.exceptions import ErrorKind
from poplarhill.http import (
    Connection,
    ConnectionLostError,
    InvalidResponseError,
    Limits,
    Request,
    Response,
)
from poplarhill.types import TaskId, WorkerSpec
from poplarhilld.dispatch.actions import SendTask
from poplarhilld.dispatch.events import TaskLost, TaskSucceeded, TaskUnsent

TASK_ID_HEADER = "task-id"
TASK_STARTED_HEADER = "task-started"
TIMEOUT_HEADER = "task-timeout-s"
FREE_SLOTS_HEADER = "slots-free"

_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
_CONNECT_TIMEOUT_S = 1.0
_STOP_TIMEOUT_S = 2.0
_LIMITS = Limits()

TaskEvent = TaskSucceeded | TaskUnsent | TaskLost


class WorkerLink:
    """The connections of this host to one worker.

    Args:
        spec: The worker.
    """

    def __init__(self, spec: WorkerSpec) -> None:
        self._spec = spec
        self._idle: list[Connection] = []

    async def send(self, action: SendTask, timeout_s: float) -> TaskEvent:
        """Send a task and return what became of it."""
        task, worker = action.task, self._spec.name
        request = Request(
            "POST",
            "/tasks",
            headers={
                TASK_ID_HEADER: str(task),
                TIMEOUT_HEADER: f"{timeout_s:.3f}",
            },
            body=action.body,
        )
        try:
            connection = await self._connection()
        except ConnectionLostError as error:
            return TaskUnsent(task, worker, str(error))
        try:
            response = await curio.timeout_after(
                timeout_s + _STOP_TIMEOUT_S, connection.exchange, request
            )
        except ConnectionLostError as error:
            await connection.close()
            return TaskLost(task, worker, ErrorKind.WORKER_LOST, str(error))
        except (InvalidResponseError, curio.TaskTimeout) as error:
            await connection.close()
            detail = str(error) or "no response in time"
            return TaskLost(task, worker, ErrorKind.BAD_RESPONSE, detail)
        event = _classify(task, worker, response)
        if isinstance(event, TaskLost) and event.kind is ErrorKind.BAD_RESPONSE:
            await connection.close()
        else:
            await self._keep(connection)
        return event

    async def stop(self, task: TaskId) -> None:
        """Ask the worker to stop a task; whether it does is seen elsewhere."""
        request = Request("DELETE", f"/tasks/{task}")
        try:
            connection = await self._connection()
        except ConnectionLostError:
            return
        try:
            await curio.timeout_after(_STOP_TIMEOUT_S, connection.exchange, request)
        except (ConnectionLostError, InvalidResponseError, curio.TaskTimeout):
            await connection.close()
        else:
            await self._keep(connection)

    async def close(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await self._idle.pop().close()

    async def _connection(self) -> Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        return await Connection.open(
            self._spec.host, self._spec.port, _LIMITS, _CONNECT_TIMEOUT_S
        )

    async def _keep(self, connection: Connection) -> None:
        if connection.reusable:
            self._idle.append(connection)
        else:
            await connection.close()


class WorkerLinks:
    """The links to every worker.

    Args:
        clock: Returns the host's own time, s.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._links: dict[tuple[str, int], WorkerLink] = {}

    async def send(self, action: SendTask) -> TaskEvent:
        """Send a task and return what became of it."""
        timeout_s = max(0.0, action.deadline - self._clock())
        return await self._link(action.worker).send(action, timeout_s)

    async def stop(self, task: TaskId, worker: WorkerSpec) -> None:
        """Ask a worker to stop a task."""
        await self._link(worker).stop(task)

    async def close(self) -> None:
        """Close every idle connection."""
        for link in self._links.values():
            await link.close()

    def _link(self, spec: WorkerSpec) -> WorkerLink:
        address = (spec.host, spec.port)
        if address not in self._links:
            self._links[address] = WorkerLink(spec)
        return self._links[address]


def _classify(task: TaskId, worker: str, response: Response) -> TaskEvent:
    if response.headers.get(TASK_ID_HEADER) != str(task):
        detail = "response is for another task"
        return TaskLost(task, worker, ErrorKind.BAD_RESPONSE, detail)
    if response.status == _HTTP_OK:
        return TaskSucceeded(task, worker, response.body, _free_slots(response))
    refused = response.headers.get(TASK_STARTED_HEADER) == "no"
    if response.status == _HTTP_UNAVAILABLE and refused:
        return TaskUnsent(task, worker, "the worker refused the task")
    detail = f"the worker answered {response.status}"
    return TaskLost(task, worker, ErrorKind.TASK_FAILED, detail)


def _free_slots(response: Response) -> int | None:
    """Return the free slots that a worker shows, or none if it shows none."""
    try:
        return int(response.headers[FREE_SLOTS_HEADER])
    except (KeyError, ValueError):
        return None
