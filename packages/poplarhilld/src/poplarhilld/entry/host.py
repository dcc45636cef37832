"""The process of an entry host, on one curio event loop."""

import math
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

import curio
import structlog

from poplarhill.exceptions import ErrorKind, Failure, SettingsError
from poplarhill.http import Cause, HttpServer, InputLimiter, Limits, Request, Response
from poplarhill.types import Address
from poplarhilld.catalogue import Catalogue, Registry, Route
from poplarhilld.entry.callers import Callers
from poplarhilld.entry.clock import processor_time_s
from poplarhilld.entry.clock import uptime as uptime
from poplarhilld.entry.logs import LogBuffer
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.pages import Pages
from poplarhilld.entry.performer import Performer
from poplarhilld.entry.ports import Directory, WorkerClient
from poplarhilld.entry.reachability import ReachabilityChecks
from poplarhilld.entry.settings import EntrySettings
from poplarhilld.entry.shutdown import Shutdown
from poplarhilld.entry.state import HostState
from poplarhilld.entry.store import StoreReader
from poplarhilld.entry.ticker import Ticker
from poplarhilld.leading import Leader
from poplarhilld.shards import Hosts
from poplarhilld.signals import SignalWaiter
from poplarhilld.submissions import Submission
from poplarhilld.supervisor import Supervisor

_IDLE_SWEEP_S = 5.0  # an idle connection costs only a file descriptor
_USAGE_INTERVAL_S = 5.0  # short enough to tell the start from what follows
_PAGE_LIMITS = Limits(header_bytes=4096, body_bytes=4096)
_log = structlog.get_logger()

Handler = Callable[[Request], Awaitable[Response]]


class EntryHost:
    """One entry host: takes jobs from callers and may lead shards of workers.

    The workers of each data centre are divided into shards. The host that leads a
    shard holds the leases on its workers and decides which task runs on which of
    them. Every host offers the jobs of its callers to a leader, which may be itself.

    The decisions are made by objects that do no I/O: `Hosts` (which hosts are live
    and which shards this host leads), `Leader` (placement and runs on the led
    workers) and `Submissions` (the jobs taken here, until each is answered). Their
    methods return lists of actions, which `Performer` performs.

    Args:
        settings: Settings of the process.
        workers: Sends lease renewals and orders to workers.
        directory: Reads the platform's store.
        logs: Buffer of the log lines.
        metrics: Metrics of this process.
        reload: Reads the settings again.
    """

    def __init__(
        self,
        settings: EntrySettings,
        workers: WorkerClient,
        directory: Directory,
        logs: LogBuffer,
        metrics: EntryMetrics,
        reload: Callable[[], EntrySettings],
    ) -> None:
        self._reload = reload
        self._worker_client = workers
        self._logs = logs
        self._metrics = metrics
        state = self._state = HostState(settings, uptime())
        self._loops = Supervisor()
        self._refusals_logged: Counter[Cause] = Counter()
        self._limiter = InputLimiter.from_machine(settings.machine)
        self._performer = Performer(state, workers, metrics, self._limiter)
        self._ticker = Ticker(state, self._performer, logs)
        self._store = StoreReader(
            state, directory, self._performer, metrics, self._ticker.tick
        )
        self._reachability = ReachabilityChecks(state, workers)
        self._callers = Callers(state, self._performer, metrics, self._limiter)
        self._pages = Pages(
            state,
            self._performer.peers,
            logs,
            metrics,
            self._limiter,
            lambda: self.ready,
        )

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue of routes in force; its version is 0 until one is read."""
        return self._state.catalogue

    @property
    def ready(self) -> bool:
        """Whether this host accepts new jobs."""
        state = self._state
        return (
            state.catalogue.version > 0
            and not state.shutting_down
            and not self._loops.failed
            and any(state.known_leaders(uptime()))
        )

    @property
    def _hosts(self) -> Hosts:
        return self._state.hosts

    @property
    def _leader(self) -> Leader:
        return self._state.leader

    @property
    def _registry(self) -> Registry:
        return self._state.registry

    async def run(self, handler: Handler) -> int:
        """Serve until SIGTERM or SIGINT, then answer the requests in flight.

        A loop that ends by itself stops the process in the same way.

        Args:
            handler: Answers callers' requests.

        Returns:
            Exit code of the process.
        """
        signals = SignalWaiter(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        state, perform = self._state, self._performer.perform
        settings = state.settings
        http = HttpServer(
            *settings.callers,
            handler,
            state.catalogue.limits,
            self._limiter,
            settings.machine.caller_connections,
        )
        self._store.on_limits = http.set_limits
        readiness = self._page_server(settings.readiness, self._pages.answer_readiness)
        metrics = self._page_server(settings.metrics, self._pages.answer_metrics)
        _log.info(
            "Started",
            data_centre=settings.data_centre,
            cores=settings.cores,
            processor_s=round(processor_time_s(), 4),
        )
        # Loops are cancelled in this order: no request may be read after another
        # loop has ended.
        await self._loops.start(
            http.run,
            self._performer.peers.run,
            self._ticker.run,
            self._store.read_catalogues,
            self._store.read_workers,
            self._store.read_hosts,
            self._idle_connections_loop,
            self._reachability.run,
            self._usage_loop,
            readiness.run,
            metrics.run,
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._wait_for_stop, signals)
            await group.spawn(self._loops.wait_failed)
        self._logs.flush()  # a failed loop may be the one that writes the log
        shutdown = Shutdown(state, self._performer, self._ticker, self._loops, http)
        await shutdown.drain()
        abandoned, unanswered = len(state.submissions), http.in_flight
        await perform(state.submissions.abandon_all(uptime()))
        await self._loops.cancel()
        await perform(state.leader.resign())
        await self._worker_client.close()
        _log.info(
            "Stopped",
            failed=self._loops.failed,
            abandoned=abandoned,
            unanswered=unanswered,
            processor_s=round(processor_time_s(), 4),
        )
        self._logs.flush()
        return 1 if self._loops.failed else 0

    def _page_server(self, address: Address, handler: Handler) -> HttpServer:
        """Return a server of pages, whose requests have no bodies."""
        connections = self._state.settings.machine.page_connections
        return HttpServer(*address, handler, _PAGE_LIMITS, self._limiter, connections)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route that matches a request, if any."""
        return self._state.catalogue.route(host, path)

    def waiting(self, route: str) -> int:
        """Return the count of jobs of a route led here without a started task."""
        return self._state.leader.waiting.get(route, 0)

    def is_in_flight(self, job_id: str) -> bool:
        """Return whether a job was submitted to this host, or is led by it."""
        return self._callers.is_known(job_id)

    def find_refusal(
        self, route: Route, job_id: str, caller_timeout_s: float = math.inf
    ) -> Failure | None:
        """Return why a new job is refused before its request is read, if so."""
        return self._callers.find_refusal(route, job_id, caller_timeout_s)

    async def submit(self, submission: Submission) -> Failure | None:
        """Run a job and return its failure, or `None` once it is complete."""
        if self._loops.failed:
            return Failure(ErrorKind.NOT_READY, "this process is stopping")
        return await self._callers.submit(submission)

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job on all live hosts; return whether it was in flight here."""
        was_in_flight = self.is_in_flight(job_id)
        await self._callers.cancel(job_id)
        return was_in_flight

    async def _idle_connections_loop(self) -> None:
        """Close idle connections to workers at intervals."""
        while True:
            await curio.sleep(_IDLE_SWEEP_S)
            await self._worker_client.close_idle_connections()

    async def _usage_loop(self) -> None:
        """Log at intervals what this process has used."""
        state = self._state
        while True:
            await curio.sleep(_USAGE_INTERVAL_S)
            usage = state.usage.report(
                uptime(),
                processor_time_s(),
                len(state.leader.workers),
                len(state.submissions),
            )
            _log.info("Usage", **usage._asdict())
            self._log_refusals()

    def _log_refusals(self) -> None:
        """Log how much input was refused since the last such line, if any was."""
        refused = self._limiter.refused - self._refusals_logged
        if refused:
            self._refusals_logged = self._limiter.refused.copy()
            budget = self._limiter.budget
            _log.warning(
                "InputRefused",
                **{cause.value: count for cause, count in refused.items()},
                held_bytes=budget.held_bytes,
                peak_bytes=budget.peak_bytes,
            )

    async def _wait_for_stop(self, signals: SignalWaiter) -> None:
        """Return when the process is to stop; reload the settings on each SIGHUP."""
        while await signals.wait() is signal.SIGHUP:
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Read the settings again and apply those that may change at run time."""
        state = self._state
        before = state.settings
        try:
            settings = self._reload()
        except SettingsError as error:
            _log.error("ReloadRefused", reason=str(error))
            return
        changed = [
            name
            for name, value in settings._asdict().items()
            if value != getattr(before, name)
        ]
        state.hosts.add_addresses(uptime(), settings.seeds)
        state.settings = before._replace(
            seeds=settings.seeds,
            grace_s=settings.grace_s,
            remote_slowdown=settings.remote_slowdown,
        )
        state.apply_remote_slowdown()
        _log.info("Reloaded", changed=changed)
