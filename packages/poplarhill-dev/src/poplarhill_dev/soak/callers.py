"""Callers of a soak: they keep connections until the host's process is gone."""

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
ROUTE_S = 1.5
PATIENCE_S = 6.0  # four times the route's limit: no answer will come any more
_CONNECT_S = 1.0
_RESEND_S = 1.3
_MOST_SENDS = 3
_RESENT = (None, 502, 504)
_TASKS = (1, 1, 2, 4, 8, 16)
_RUN_S = (0.05, 0.1, 0.2, 0.6)
_CORES = (2.0, 6.8, 6.8, 12.0)
_THINK_S = 0.4
_DOUBLED = 0  # stands for the status of a request with two answers
_LEAVE_SHARE = 0.06
_CANCEL_SHARE = 0.06
_MOVE_SHARE = 0.05

Note = Callable[[str, dict], None]


class HostLink:
    """Sends requests to one host at a time, on one connection while it lasts.

    Args:
        fleet: The processes.
        host: The host.
    """

    def __init__(self, fleet: SoakFleet, host: str) -> None:
        self._fleet = fleet
        self.host = host
        self._life = 0
        self._connection: Connection | None = None

    async def move(self, host: str) -> None:
        """Close the connection; the next one goes to another host."""
        await self.close()
        self.host = host

    async def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            await self._connection.close()
        self._connection = None

    async def ask(self, request: Request, patience_s: float) -> dict | None:
        """Return what came of a request, or None if it could not be sent."""
        if not await self._connect():
            return None
        seen = {"host": self.host, "life": self._life, "sent": time.monotonic()}
        seen |= {"status": None, "state": "", "left": False}
        try:
            response = await curio.timeout_after(
                patience_s, self._connection.exchange, request
            )
            doubled = self._connection.has_extra_data
            seen["status"] = _DOUBLED if doubled else response.status
            seen["state"] = _state(response.body)
        except curio.TaskTimeout:
            seen["left"] = patience_s < PATIENCE_S
        except (ConnectionLostError, InvalidResponseError) as error:
            seen["state"] = str(error)
        seen["ended"] = time.monotonic()
        if seen["status"] is None or not self._connection.reusable:
            await self.close()
        return seen

    async def _connect(self) -> bool:
        if self._connection is not None:
            if self._connection.idle_state() is IdleState.USABLE:
                return True
            await self.close()
        address = self._fleet.hosts[self.host].callers
        self._life = self._fleet.lives[self.host]
        try:
            self._connection = await Connection.open(*address, Limits(), _CONNECT_S)
        except ConnectionLostError:
            return False
        return True


class Caller:
    """Sends jobs, resends those without an outcome, leaves or cancels some.

    Args:
        fleet: The processes.
        name: Its number in the soak.
        seed: Seed of what it sends.
        note: Takes a line of the trace: the list's name and the line.
    """

    def __init__(self, fleet: SoakFleet, name: int, seed: int, note: Note) -> None:
        self._fleet = fleet
        self._hosts = list(fleet.hosts)
        self._name = name
        self._seed = seed
        self._random = Random(f"caller {seed} {name}")
        self._note = note
        self._link = HostLink(fleet, self._random.choice(self._hosts))
        self._other_host = self._random.choice(self._hosts)
        self._count = 0
        self.stopping = False

    async def run(self) -> None:
        """Send jobs until told to stop."""
        while not self.stopping:
            await curio.sleep(self._random.expovariate(1 / _THINK_S))
            if self._random.random() < _MOVE_SHARE:
                await self._link.move(self._random.choice(self._hosts))
            await self.send_job()
        await self._link.close()

    async def send_job(self) -> None:
        """Send one job until it has an outcome, or too often."""
        job, body = self._draw_job()
        fate = self._random.random()
        patience_s = PATIENCE_S
        if fate < _LEAVE_SHARE:
            patience_s = self._random.uniform(0.01, 0.5)
        elif fate < _LEAVE_SHARE + _CANCEL_SHARE:
            await curio.spawn(self._cancel, job, daemon=True)
        request = Request("POST", JOBS_PREFIX + job, body=body)
        for _ in range(_MOST_SENDS):
            seen = await self._link.ask(request, patience_s)
            if seen is not None:
                self._note("requests", {"job": job, **seen})
                if seen["left"] or seen["status"] not in _RESENT:
                    return
                await curio.sleep(_RESEND_S)
            else:
                await curio.sleep(_CONNECT_S / 10)
            others = [host for host in self._hosts if host != self._link.host]
            await self._link.move(self._random.choice(others or self._hosts))

    def _draw_job(self) -> tuple[str, bytes]:
        self._count += 1
        job = f"{self._seed % 0x10000:04x}{self._name:06x}{self._count:06x}"
        cores = self._random.choice(_CORES)
        spec = TaskSpec(self._random.choice(_RUN_S), cores)
        return job, _body(job, self._random.choice(_TASKS), spec, self._note)

    async def _cancel(self, job: str) -> None:
        await curio.sleep(self._random.uniform(0.0, 0.6))
        link = HostLink(self._fleet, self._other_host)
        await link.ask(Request("DELETE", JOBS_PREFIX + job), PATIENCE_S)
        await link.close()


async def first_served_s(
    fleet: SoakFleet, host: str, give_up_s: float, note: Note
) -> float | None:
    """Return after which time a host serves a job, s; None if it does not."""
    begin = time.monotonic()
    link = HostLink(fleet, host)
    served = False
    for count in itertools.count():
        if served or time.monotonic() > begin + give_up_s:
            break
        await curio.sleep(_CONNECT_S / 10)
        job = f"f{int(host[1:]):07x}{count:08x}"
        body = _body(job, 1, TaskSpec(_RUN_S[0], _CORES[0]), note)
        seen = await link.ask(Request("POST", JOBS_PREFIX + job, body=body), PATIENCE_S)
        if seen is not None:
            note("requests", {"job": job, **seen})
            served = seen["state"] == "completed"
    await link.close()
    return time.monotonic() - begin if served else None


def _body(job: str, tasks: int, spec: TaskSpec, note: Note) -> bytes:
    """Return the body of a job that is noted."""
    told = msgspec.json.encode(spec).decode()
    at = time.monotonic()
    note("jobs", {"job": job, "spec": told, "tasks": tasks, "at": at})
    return job_body(tasks, Resources(spec.cores, 64, 0), spec)


def _state(body: bytes) -> str:
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return "unreadable"
    return value.get("state", "") if isinstance(value, dict) else ""
