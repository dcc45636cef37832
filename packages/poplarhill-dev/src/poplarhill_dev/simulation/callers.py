"""Simulated callers, which send a job again after a failed attempt."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from poplarhill.exceptions import ErrorKind, Failure, RunState
from poplarhill_dev.leased import LINK_DELAY_S, SimulatedJob
from poplarhill_dev.simulation.network import PortState
from poplarhilld.catalogue import Route
from poplarhilld.submissions import Submission

if TYPE_CHECKING:
    from poplarhill_dev.simulation.fleet import FleetWorld
    from poplarhill_dev.simulation.host import SimulatedHost

RESEND_DELAY_S = 1.3
MAX_ATTEMPTS = 4
# Callers that state no time wait this much longer than the timeout of the route.
_WAIT_BEYOND_TIMEOUT_S = 0.01
ROUTE = Route("deposit", "one.example", "/r/", "booking", 1.53, 0.06, 1.6, 0, 2)
# Attempts that reach another data centre, as when the own one is out of rotation.
_RESENT_ELSEWHERE_SHARE = 0.25
_RESENT_STATUSES = (502, 504)
# The callers' interface reports it as an end of the job.
_FINAL_KINDS = (ErrorKind.TASK_FAILED,)


class Attempt(NamedTuple):
    """One request of a caller.

    Attributes:
        process: Name of the process that received it.
        number: Number of the submission there.
    """

    process: str
    number: int


@dataclass
class Caller:
    """A caller of one job.

    Attributes:
        job: The job.
        data_centre: Data centre of the caller.
        route: Route that it uses.
        stated_timeout_s: How long it waits, as it states in its requests, s; infinite
            if it states nothing.
        resends: Whether it sends the job again after a failed attempt.
        attempts: Its requests so far.
        waiting: Whether the last one awaits its answer.
        outcome: Answer that ended the job for the caller; empty before that.
    """

    job: SimulatedJob
    data_centre: str
    route: Route = ROUTE
    stated_timeout_s: float = math.inf
    resends: bool = True
    attempts: list[Attempt] = field(default_factory=list)
    waiting: bool = False
    outcome: str = ""

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.job.offer.job_id

    @property
    def submission(self) -> Submission:
        """The job as it is submitted."""
        steps, timeout_s = self.job.offer.steps, self.stated_timeout_s
        return Submission(self.job_id, self.route, "{}", steps, timeout_s)

    @property
    def timeout_s(self) -> float:
        """How long it waits for an answer, s."""
        if math.isinf(self.stated_timeout_s):
            return self.route.timeout_s + _WAIT_BEYOND_TIMEOUT_S
        return self.stated_timeout_s

    def awaits(self, attempt: Attempt) -> bool:
        """Return whether it waits for the answer to an attempt."""
        return self.waiting and self.attempts[-1] == attempt


class Callers:
    """The callers of a fleet.

    Args:
        world: The fleet.

    Attributes:
        by_job: The callers by job id.
        cut_hosts: Hosts that neither reach their callers nor are reached by them.
        closed_requests_handled: Whether a host handles a request that it reads
            together with the close of its connection.
    """

    def __init__(self, world: FleetWorld) -> None:
        self._world = world
        self.by_job: dict[str, Caller] = {}
        self.cut_hosts: set[str] = set()
        self.closed_requests_handled = False
        self._by_attempt: dict[Attempt, Caller] = {}
        self._closed: set[Attempt] = set()

    def submit(self, caller: Caller, host: str = "") -> None:
        """Let a caller send its job to a host, or to any of its data centre."""
        self.by_job[caller.job_id] = caller
        if host:
            self._send_to(caller, host)
        else:
            self._send(caller)

    def answer(self, process: str, number: int, failure: Failure | None) -> None:
        """Answer the caller of a submission."""
        attempt = Attempt(process, number)
        if process.partition("@")[0] not in self.cut_hosts:
            self._world.schedule(LINK_DELAY_S, self._answered, attempt, failure)

    def connections_broken(self, host: SimulatedHost) -> None:
        """Let the callers of a host notice that its process has ended."""
        for caller in self._waiting_at(host):
            self._attempt_failed(caller, "connection broken")

    def connections_reset(self, host: SimulatedHost) -> None:
        """Let a host and its callers notice that their connections are reset."""
        for caller in self._waiting_at(host):
            self._close(host, caller.attempts[-1])
            self._attempt_failed(caller, "connection reset")

    def _waiting_at(self, host: SimulatedHost) -> list[Caller]:
        return [
            caller
            for caller in self.by_job.values()
            if caller.waiting and caller.attempts[-1].process == host.process
        ]

    def _send(self, caller: Caller) -> None:
        """Send a job to a host that is in rotation."""
        world = self._world
        names = [name for name in world.hosts if name.startswith(caller.data_centre)]
        if caller.attempts and world.random.random() < _RESENT_ELSEWHERE_SHARE:
            names = list(world.hosts)
        in_rotation = [name for name in names if self._is_in_rotation(name)]
        self._send_to(caller, world.random.choice(in_rotation or names))

    def _is_in_rotation(self, name: str) -> bool:
        host = self._world.hosts[name]
        return name not in self._world.ports and not host.state.shutting_down

    def _send_to(self, caller: Caller, name: str) -> None:
        world = self._world
        host, port = world.hosts[name], world.port(name)
        attempt = Attempt(host.process, len(self._by_attempt) + 1)
        self._by_attempt[attempt] = caller
        caller.attempts.append(attempt)
        caller.waiting = True
        count = len(caller.attempts)
        world.note("caller", f"{caller.job_id}: attempt {count} at {name}")
        if port is PortState.REFUSED:
            self._attempt_failed(caller, "connection refused")
            return
        world.schedule(caller.timeout_s, self._give_up, caller, host, attempt)
        if port is PortState.OPEN and name not in self.cut_hosts:
            read = partial(self._read, host, caller, attempt)
            world.schedule(LINK_DELAY_S, host.handle, read)

    def _read(self, host: SimulatedHost, caller: Caller, attempt: Attempt) -> None:
        """Let a host read a request."""
        if self.closed_requests_handled or attempt not in self._closed:
            host.submit(attempt.number, caller.submission)

    def _close(self, host: SimulatedHost, attempt: Attempt) -> None:
        """Close the connection of a caller, which its host notices."""
        self._closed.add(attempt)
        drop = partial(host.drop_caller, attempt.number)
        self._world.schedule(0.0, host.handle, drop)

    def _answered(self, attempt: Attempt, failure: Failure | None) -> None:
        caller = self._by_attempt[attempt]
        if not caller.awaits(attempt):
            return
        if _is_resent_after(failure):
            self._attempt_failed(caller, f"{failure.kind.value}: {failure.detail}")
            return
        world, job_id = self._world, caller.job_id
        caller.waiting = False
        caller.outcome = failure.kind.value if failure else "complete"
        world.note("caller", f"{job_id}: {caller.outcome}")
        if failure is not None and failure.answer.run_state is RunState.NOT_RUN:
            world.checks.told_not_run.add(job_id)
            started = any(
                task.startswith(f"{job_id}.") for task in world.starts_by_task
            )
            if started and len(caller.attempts) == 1:
                what = caller.outcome
                world.checks.record("started before 'not run'", job_id, what)

    def _give_up(self, caller: Caller, host: SimulatedHost, attempt: Attempt) -> None:
        if caller.awaits(attempt):
            if host.name not in self.cut_hosts:
                self._close(host, attempt)
            self._attempt_failed(caller, "no answer")

    def _attempt_failed(self, caller: Caller, why: str) -> None:
        caller.waiting = False
        self._world.note("caller", f"{caller.job_id}: {why}")
        if caller.resends and len(caller.attempts) < MAX_ATTEMPTS:
            self._world.schedule(RESEND_DELAY_S, self._send, caller)


def _is_resent_after(failure: Failure | None) -> bool:
    """Return whether a caller sends its job again after an answer."""
    if failure is None or failure.kind in _FINAL_KINDS:
        return False
    answer = failure.answer
    return answer.run_state is RunState.MAY_HAVE_RUN and (
        answer.status in _RESENT_STATUSES
    )
