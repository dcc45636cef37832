"""The process of one entry host: performs the dispatcher's actions on one loop."""

import math
import signal
import time
from random import Random

import curio
import structlog

from poplarhill.exceptions import ErrorKind, Failure
from poplarhill.http import HttpServer, InputLimiter
from poplarhill.machine import MachineLimits
from poplarhill.platform import HttpPlatform
from poplarhill.status import HostStatus
from poplarhill.types import Address, JobSpec
from poplarhilld.api import Api
from poplarhilld.claims import AppendClaims, ClaimLoop, ReadClaims, ScheduleClaimsAppend
from poplarhilld.configuration import AppendRecord, ConfigurationReader, ReadLog
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import (
    Action,
    AnswerJob,
    LogDecision,
    SendFrame,
    SendTask,
    StopTask,
)
from poplarhilld.dispatch.events import (
    Event,
    FrameReceived,
    JobCancelled,
    JobSubmitted,
    PeerConnectionRefused,
    ShutdownStarted,
    Started,
    Ticked,
)
from poplarhilld.freshness import HostsRead, ReadHosts, ReadLogNow
from poplarhilld.jobs import Completed, JobOutcome
from poplarhilld.metrics import Metrics
from poplarhilld.peers import PeerLinks
from poplarhilld.peers.codec import Envelope
from poplarhilld.peers.messages import Message
from poplarhilld.settings import Settings
from poplarhilld.signals import SignalWaiter
from poplarhilld.supervisor import Supervisor
from poplarhilld.workers import WorkerLinks

_PLATFORM_TIMEOUT_S = 2.0
_TICK_S = 0.1
_INTERNAL_ERROR = Failure(ErrorKind.INTERNAL, "internal error in this process")
EXIT_FAILED = _INTERNAL_ERROR.answer.exit_code
_log = structlog.get_logger()


class Daemon:
    """One entry host.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = _uptime
        incarnation = round(time.time() * 1000)
        identity = Identity.from_config(settings, incarnation)
        self._dispatcher = Dispatcher(identity, Random())
        self._metrics = Metrics()
        self._loops = Supervisor()
        self._worker_links = WorkerLinks(
            self._clock,
            hosts=len(settings.peers) + 1,
            on_discarded=lambda r: self._metrics.replies_discarded.labels(r).inc(),
            source=settings.source,
        )
        self._outcomes: dict[str, curio.Queue] = {}
        self._events: curio.Queue = curio.Queue()
        self._platform = HttpPlatform(
            *settings.platform, _PLATFORM_TIMEOUT_S, settings.source
        )
        self._configuration_reader = ConfigurationReader(
            self._platform, self._post, self._clock
        )
        self._claim_loop = ClaimLoop(self._platform, self._post)
        machine = MachineLimits.from_machine(settings.memory_mb)
        self._limiter = InputLimiter.from_machine(machine)
        self._peer_links = PeerLinks(
            settings.name,
            settings.peer_listen,
            self._frame_received,
            self._connection_refused,
            settings.source,
            self._limiter,
            machine.peer_connections,
        )
        self._api = Api(
            submit=self.submit,
            cancel=self.cancel,
            ready=lambda: self._dispatcher.ready and not self._loops.failed,
            status=self.status,
            metrics=self._metrics_page,
            clock=self._clock,
        )
        self._http = HttpServer(
            *settings.listen,
            self._api.handle,
            limiter=self._limiter,
            max_connections=machine.caller_connections,
        )

    @classmethod
    def from_config(cls, settings: Settings) -> "Daemon":
        """Create the daemon from its settings."""
        return cls(settings)

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then answer the jobs in flight and stop.

        The process also stops when a loop fails. The state of the dispatcher is then
        unknown, so every job in flight is answered with an internal error.

        Returns:
            Exit code of the process.
        """
        stop = SignalWaiter(signal.SIGTERM, signal.SIGINT)
        await self._loops.start(
            self._decide,
            self._tick,
            self._configuration_reader.run,
            self._peer_links.run,
            self._http.run,
            self._worker_links.run,
        )
        await self._post(Started())
        _log.info("started", port=self._settings.listen.port)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(stop.wait)
            await group.spawn(self._loops.wait_failed)
        _log.info("shutdown started", jobs=self._dispatcher.jobs_in_flight)
        await self._post(ShutdownStarted())
        answering = await curio.spawn(self._answer_jobs_on_failure, daemon=True)
        await self._http.drain()
        await answering.cancel()
        await self._peer_links.flush()
        await self._loops.cancel()
        await self._worker_links.close()
        _log.info("stopped")
        return EXIT_FAILED if self._loops.failed else 0

    def status(self) -> HostStatus:
        """Return the status of this host, as shown to operators."""
        return self._dispatcher.status(self._clock())

    async def submit(self, spec: JobSpec) -> JobOutcome:
        """Run a job and return its outcome."""
        if self._loops.failed:
            return _INTERNAL_ERROR
        outcome: curio.Queue = curio.Queue()
        self._outcomes[spec.job_id] = outcome
        try:
            await self._post(JobSubmitted(spec))
            return await outcome.get()
        finally:
            self._outcomes.pop(spec.job_id, None)

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether it was in flight on this host."""
        known = job_id in self._outcomes
        await self._post(JobCancelled(job_id))
        return known

    async def _answer_jobs_on_failure(self) -> None:
        """Wait until a loop fails, then answer every job in flight with an error."""
        await self._loops.wait_failed()
        for outcome_queue in list(self._outcomes.values()):
            await outcome_queue.put(_INTERNAL_ERROR)

    def _metrics_page(self) -> bytes:
        status = self.status()
        age_s = status.configuration_age_s
        self._metrics.configuration_version.set(status.configuration_version)
        self._metrics.configuration_age.set(math.inf if age_s is None else age_s)
        configuration = self._dispatcher.configuration
        self._metrics.evacuated.clear()
        for name in configuration.data_centres if configuration else ():
            evacuated = name in self._dispatcher.evacuated
            self._metrics.evacuated.labels(name).set(evacuated)
        hosts = self._dispatcher.hosts
        age_s = hosts.freshness.hosts_age(self._clock())
        self._metrics.live_hosts.set(len(hosts.live))
        self._metrics.hosts_age.set(math.inf if age_s is None else age_s)
        self._metrics.hosts_version.set(hosts.freshness.version)
        self._metrics.workers_ejected.set(self._dispatcher.workers_ejected)
        self._metrics.isolated.set(hosts.freshness.isolated)
        self._metrics.set_input(self._limiter)
        self._metrics.peer_frames_dropped.set(self._peer_links.dropped)
        return self._metrics.page()

    async def _post(self, event: Event) -> None:
        await self._events.put(event)

    async def _frame_received(self, envelope: Envelope) -> None:
        await self._post(FrameReceived(envelope.sender, envelope.message))

    async def _connection_refused(self, address: Address) -> None:
        await self._post(PeerConnectionRefused(address))

    async def _decide(self) -> None:
        while True:
            event = await self._events.get()
            for action in self._dispatcher.handle(self._clock(), event):
                await self._perform(action)
            self._metrics.jobs_in_flight.set(self._dispatcher.jobs_in_flight)

    async def _tick(self) -> None:
        while True:
            await curio.sleep(_TICK_S)
            await self._post(Ticked())

    async def _perform(self, action: Action) -> None:
        match action:
            case SendTask():
                self._metrics.tasks_sent.inc()
                await curio.spawn(self._send, action, daemon=True)
            case StopTask(task, worker):
                self._metrics.messages.labels("stop").inc()
                await curio.spawn(self._worker_links.stop, task, worker, daemon=True)
            case SendFrame(peer, message):
                await self._send_frame(peer, message)
            case ReadLog() | AppendRecord():
                self._count(action)
                await self._configuration_reader.perform(action)
            case AppendClaims() | ReadClaims():
                self._count(action)
                await self._claim_loop.perform(action)
            case ScheduleClaimsAppend():
                await self._claim_loop.perform(action)
            case ReadLogNow():
                await self._configuration_reader.skip_delay()
            case ReadHosts():
                self._count(action)
                await curio.spawn(self._read_hosts, daemon=True)
            case AnswerJob(job_id, outcome):
                await self._answer_job(job_id, outcome)
            case LogDecision(decision):
                _log.info(type(decision).__name__, **decision._asdict())

    def _count(self, message: Message | Action) -> None:
        """Count a message to a peer or a request to the platform, by its type."""
        self._metrics.messages.labels(type(message).__name__).inc()

    async def _send_frame(self, peer: str, message: Message) -> None:
        self._count(message)
        address = self._dispatcher.hosts.address(peer)
        if address is not None:
            await self._peer_links.send(address, message)

    async def _read_hosts(self) -> None:
        asked_at = self._clock()
        await self._post(HostsRead(asked_at, await self._platform.hosts()))

    async def _send(self, action: SendTask) -> None:
        await self._post(await self._worker_links.send(action))

    async def _answer_job(self, job_id: str, outcome: JobOutcome) -> None:
        match outcome:
            case Completed():
                label = "complete"
            case failure:
                label = failure.kind.value
        self._metrics.jobs.labels(label).inc()
        _log.info("answered", job=job_id, outcome=label)
        outcome_queue = self._outcomes.get(job_id)
        if outcome_queue is not None:
            await outcome_queue.put(outcome)


def _uptime() -> float:
    """Return the time since boot, including time suspended, s."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
