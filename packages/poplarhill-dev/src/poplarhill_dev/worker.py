"""Stand-in for a worker: runs tasks in slots and counts their starts.

A task body is JSON such as `{"run_s": 0.1, "echo": "x"}`; any other text is echoed
at once. `{"fail": true}` makes the task fail.
"""

import time
from collections import Counter
from typing import NamedTuple

import curio
import msgspec

from poplarhill.http import HttpServer, Request, Response, json_response

_HTTP_OK = 200
_HTTP_STOPPED = 409
_HTTP_FAILED = 500
_HTTP_NOT_FOUND = 404


class TaskBody(msgspec.Struct):
    """The body of a task.

    Attributes:
        run_s: Run time, s.
        echo: Result of the task.
        fail: Whether the task fails after its run time.
    """

    run_s: float = 0.0
    echo: str = "done"
    fail: bool = False


class WorkerFaults(NamedTuple):
    """Injected faults of the stand-in.

    Attributes:
        fail: Whether every task fails at once.
        slow: Factor on the run time of every task.
    """

    fail: bool = False
    slow: float = 1.0


class Start(NamedTuple):
    """One start of a task.

    Attributes:
        at: When it started, by the machine's monotonic clock, s.
        task: Id of the task.
        echo: The `echo` of its body.
    """

    at: float
    task: str
    echo: str


class WorkerStandIn:
    """One worker.

    Args:
        name: Its name.
        host: IP address to listen on.
        port: TCP port to listen on; 0 takes any free one.
        slots: Tasks that run at a time; further tasks wait.
    """

    def __init__(self, name: str, host: str, port: int, slots: int) -> None:
        self._name = name
        self._slot_count = slots
        self._slots = curio.Semaphore(slots)
        self._starts: Counter[str] = Counter()
        self._trace: list[Start] = []
        self._faults = WorkerFaults()
        self._running: dict[str, curio.Event] = {}
        self._server = HttpServer(host, port, self.handle)

    @property
    def port(self) -> int:
        """The port in use."""
        return self._server.port

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.run()

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        match (request.method, request.path.strip("/").split("/")):
            case ("POST", ["tasks"]):
                return await self._run_task(request)
            case ("DELETE", ["tasks", job, index]):
                stopped = self._running.get(f"{job}/{index}")
                if stopped is not None:
                    await stopped.set()
                return json_response(_HTTP_OK, {})
            case ("GET", ["starts"]):
                return json_response(_HTTP_OK, dict(self._starts))
            case ("GET", ["trace"]):
                return json_response(_HTTP_OK, self._trace)
            case ("PUT", ["faults"]):
                self._faults = WorkerFaults(**msgspec.json.decode(request.body))
                return json_response(_HTTP_OK, {})
        return json_response(_HTTP_NOT_FOUND, {})

    async def _run_task(self, request: Request) -> Response:
        task = request.headers["task-id"]
        body = _parse(request.body)
        self._starts[task] += 1
        self._trace.append(Start(time.monotonic(), task, body.echo))
        stopped = curio.Event()
        self._running[task] = stopped
        headers = {"task-id": task}
        failing = self._faults.fail or body.fail
        run_s = 0.0 if self._faults.fail else body.run_s * self._faults.slow
        try:
            async with self._slots:
                was_stopped = await curio.ignore_after(run_s, stopped.wait)
        finally:
            self._running.pop(task, None)
        headers["slots-free"] = str(self._slot_count - len(self._running))
        if was_stopped:
            return Response(_HTTP_STOPPED, headers)
        if failing:
            return Response(_HTTP_FAILED, headers)
        return Response(_HTTP_OK, headers, body.echo.encode())


async def run_workers(workers: list[WorkerStandIn]) -> None:
    """Serve several workers in one event loop until cancelled."""
    async with curio.TaskGroup() as group:
        for worker in workers:
            await group.spawn(worker.run)


def _parse(body: bytes) -> TaskBody:
    try:
        return msgspec.json.decode(body, type=TaskBody)
    except msgspec.MsgspecError:
        return TaskBody(echo=body.decode("utf-8", "replace"))
