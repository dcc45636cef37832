"""Callers of a soak; they reuse a connection until its host closes it."""

import itertools
import time
from collections.abc import Callable
from random import Random

import curio
import msgspec

from poplarhill.http import (
    Connection,
    ConnectionLostError,
    InvalidResponseError,
    Limits,
    Request,
)
from poplarhill.http.client import IdleState
from poplarhill.types import Resources
from poplarhill_dev.soak.fleet import SoakFleet
from poplarhill_platform_dev import TaskSpec, job_body

JOBS_PREFIX = "/demo/"
ROUTE_TIMEOUT_S = 1.5
ANSWER_TIMEOUT_S = 6.0  # four times the route's timeout; no answer comes later
_CONNECT_TIMEOUT_S = 1.0
_RESEND_DELAY_S = 1.3
_MAX_ATTEMPTS = 3
_RESEND_STATUSES = (None, 502, 504)
_TASK_COUNTS = (1, 1, 2, 4, 8, 16)
_RUN_S = (0.05, 0.1, 0.2, 0.6)
_CORES = (2.0, 6.8, 6.8, 12.0)
_MEAN_THINK_TIME_S = 0.4
_EXTRA_RESPONSE_STATUS = 0  # stands for two responses to one request
_DISCONNECT_SHARE = 0.06
_CANCEL_SHARE = 0.06
_SWITCH_HOST_SHARE = 0.05

TraceSink = Callable[[str, dict], None]


class HostClient:
    """Sends requests to one host at a time over a persistent connection.

    Args:
        fleet: The processes.
        host: The host.
    """

    def __init__(self, fleet: SoakFleet, host: str) -> None:
        self._fleet = fleet
        self.host = host
        self._life = 0
        self._connection: Connection | None = None

    async def switch_host(self, host: str) -> None:
        """Close the connection; the next request connects to another host."""
        await self.close()
        self.host = host

    async def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            await self._connection.close()
        self._connection = None

    async def send(self, request: Request, timeout_s: float) -> dict | None:
        """Send a request.

        Returns:
            Its line of the trace, or None if the host did not accept a connection.
        """
        if not await self._connect():
            return None
        outcome = {"host": self.host, "life": self._life, "sent": time.monotonic()}
        outcome |= {"status": None, "state": "", "left": False}
        try:
            response = await curio.timeout_after(
                timeout_s, self._connection.exchange, request
            )
            extra_response = self._connection.has_extra_data
            outcome["status"] = (
                _EXTRA_RESPONSE_STATUS if extra_response else response.status
            )
            outcome["state"] = _state(response.body)
        except curio.TaskTimeout:
            outcome["left"] = timeout_s < ANSWER_TIMEOUT_S
        except (ConnectionLostError, InvalidResponseError) as error:
            outcome["state"] = str(error)
        outcome["ended"] = time.monotonic()
        if outcome["status"] is None or not self._connection.reusable:
            await self.close()
        return outcome

    async def _connect(self) -> bool:
        if self._connection is not None:
            if self._connection.idle_state() is IdleState.USABLE:
                return True
            await self.close()
        address = self._fleet.hosts[self.host].callers
        self._life = self._fleet.lives[self.host]
        try:
            self._connection = await Connection.open(
                *address, Limits(), _CONNECT_TIMEOUT_S
            )
        except ConnectionLostError:
            return False
        return True


class Caller:
    """Sends jobs, resends those without an outcome, abandons or cancels some.

    Args:
        fleet: The processes.
        name: Number of the caller in the soak.
        seed: Seed of the jobs that it sends.
        note: Appends a line to one of the trace's lists, given the list's name.
    """

    def __init__(self, fleet: SoakFleet, name: int, seed: int, note: TraceSink) -> None:
        self._fleet = fleet
        self._hosts = list(fleet.hosts)
        self._name = name
        self._seed = seed
        self._random = Random(f"caller {seed} {name}")
        self._note = note
        self._client = HostClient(fleet, self._random.choice(self._hosts))
        self._other_host = self._random.choice(self._hosts)
        self._count = 0
        self.stopping = False

    async def run(self) -> None:
        """Send jobs until `stopping` is set."""
        while not self.stopping:
            await curio.sleep(self._random.expovariate(1 / _MEAN_THINK_TIME_S))
            if self._random.random() < _SWITCH_HOST_SHARE:
                await self._client.switch_host(self._random.choice(self._hosts))
            await self.send_job()
        await self._client.close()

    async def send_job(self) -> None:
        """Send one job until it has an outcome or the attempts run out."""
        job, body = self._draw_job()
        draw = self._random.random()
        timeout_s = ANSWER_TIMEOUT_S
        if draw < _DISCONNECT_SHARE:
            timeout_s = self._random.uniform(0.01, 0.5)
        elif draw < _DISCONNECT_SHARE + _CANCEL_SHARE:
            await curio.spawn(self._cancel, job, daemon=True)
        request = Request("POST", JOBS_PREFIX + job, body=body)
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._client.send(request, timeout_s)
            if outcome is not None:
                self._note("requests", {"job": job, **outcome})
                if outcome["left"] or outcome["status"] not in _RESEND_STATUSES:
                    return
                await curio.sleep(_RESEND_DELAY_S)
            else:
                await curio.sleep(_CONNECT_TIMEOUT_S / 10)
            others = [host for host in self._hosts if host != self._client.host]
            await self._client.switch_host(self._random.choice(others or self._hosts))

    def _draw_job(self) -> tuple[str, bytes]:
        self._count += 1
        job = f"{self._seed % 0x10000:04x}{self._name:06x}{self._count:06x}"
        cores = self._random.choice(_CORES)
        spec = TaskSpec(self._random.choice(_RUN_S), cores)
        return job, _noted_job_body(
            job, self._random.choice(_TASK_COUNTS), spec, self._note
        )

    async def _cancel(self, job: str) -> None:
        await curio.sleep(self._random.uniform(0.0, 0.6))
        client = HostClient(self._fleet, self._other_host)
        await client.send(Request("DELETE", JOBS_PREFIX + job), ANSWER_TIMEOUT_S)
        await client.close()


async def recovery_time_s(
    fleet: SoakFleet, host: str, limit_s: float, note: TraceSink
) -> float | None:
    """Return the time until a host completes a job, s, or None if it does not."""
    begin = time.monotonic()
    client = HostClient(fleet, host)
    served = False
    for count in itertools.count():
        if served or time.monotonic() > begin + limit_s:
            break
        await curio.sleep(_CONNECT_TIMEOUT_S / 10)
        job = f"f{int(host[1:]):07x}{count:08x}"
        body = _noted_job_body(job, 1, TaskSpec(_RUN_S[0], _CORES[0]), note)
        outcome = await client.send(
            Request("POST", JOBS_PREFIX + job, body=body), ANSWER_TIMEOUT_S
        )
        if outcome is not None:
            note("requests", {"job": job, **outcome})
            served = outcome["state"] == "completed"
    await client.close()
    return time.monotonic() - begin if served else None


def _noted_job_body(job: str, tasks: int, spec: TaskSpec, note: TraceSink) -> bytes:
    """Record a job in the trace and return its body."""
    spec_text = msgspec.json.encode(spec).decode()
    at = time.monotonic()
    note("jobs", {"job": job, "spec": spec_text, "tasks": tasks, "at": at})
    return job_body(tasks, Resources(spec.cores, 64, 0), spec)


def _state(body: bytes) -> str:
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return "unreadable"
    return value.get("state", "") if isinstance(value, dict) else ""
