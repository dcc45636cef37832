"""The process of an entry host: runs its decisions on one loop."""

import signal
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterable

import curio
import structlog

from poplarhill.exceptions import ErrorKind, Failure, SettingsError
from poplarhill.http import HttpServer, Request, Response, json_response
from poplarhill.types import Address
from poplarhilld.catalogue import Catalogue, Registry, Route, WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.entry.logs import LogBuffer
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.ports import Directory, UnavailableError, WorkerPort
from poplarhilld.entry.settings import EntrySettings
from poplarhilld.leading import (
    Leader,
    QueryWorker,
    RenewLease,
    ReportJob,
    StartRun,
    StopRun,
)
from poplarhilld.leases import LeaseLost, LeaseReply, Renewal, TokenSource
from poplarhilld.peers import PeerLinks
from poplarhilld.peers.codec import Envelope
from poplarhilld.peers.messages import (
    Beat,
    JobEnded,
    JobProgress,
    JobWithdrawn,
    Message,
    OfferedJob,
)
from poplarhilld.shards import (
    HostLost,
    Hosts,
    LocalHost,
    SendHeartbeat,
    data_centre,
    partition,
)
from poplarhilld.signals import SignalWaiter
from poplarhilld.submissions import (
    AnswerCaller,
    LeaderView,
    OfferToLeader,
    Submission,
    Submissions,
    WithdrawFromLeader,
)
from poplarhilld.supervisor import Supervisor

_TICK_S = 0.05  # a third of a heartbeat
_LEADER_REFRESH_S = 0.7  # a draining worker is seen well within 2 s
_REFRESH_S = 2.0  # a host that leads nothing needs the list for a takeover only
_HOSTS_REFRESH_S = 5.0  # heartbeats carry addresses; the store helps strangers
_STORE_RETRY_S = 0.3  # eight hosts stay far below the store's rates
_TEND_S = 5.0  # an idle connection costs a descriptor
_SCOUT_S = 0.5  # a quarter of the time for which a data centre must be empty
_BALANCER_S = 2.5  # it asks once a second, and acts on the second refusal
_LAST_ANSWER_S = 1.0  # before SIGKILL; a busy loop was seen to be late by 0.04 s
_EXIT_MARGIN_S = 0.3  # before SIGKILL; leaves time to write the last lines
_LAST_WRITE_S = 0.1  # a third of the margin; an answer is written within a few ms
_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
_FAULT = Failure(ErrorKind.INTERNAL, "a fault of this process")
_log = structlog.get_logger()

Handler = Callable[[Request], Awaitable[Response]]


class EntryHost:
    """One entry host.

    Args:
        settings: Settings of the process.
        workers: How workers are told.
        directory: What the platform's store knows.
        logs: Where log lines wait.
        metrics: Counters of this process.
        reload: Reads the settings anew.
    """

    def __init__(
        self,
        settings: EntrySettings,
        workers: WorkerPort,
        directory: Directory,
        logs: LogBuffer,
        metrics: EntryMetrics,
        reload: Callable[[], EntrySettings],
    ) -> None:
        self._reload = reload
        self._settings = settings
        self._ports = workers
        self._directory = directory
        self._logs = logs
        self._metrics = metrics
        self._beats = metrics.frames.labels("Beat")
        self._tokens = TokenSource(settings.peers)
        now = uptime()
        incarnation = round(time.time() * 1000)
        self._advertised = settings.advertise or settings.peers
        me = LocalHost(
            settings.name,
            self._advertised,
            settings.data_centre,
            incarnation,
            settings.cores,
        )
        self._hosts = Hosts(me, settings.seeds, self._tokens, now)
        self._catalogue = Catalogue()
        self._registry = Registry()
        self._shards: dict[str, dict] = {}
        self._leader = Leader(self._tokens, settings.lease_s)
        self._submissions = Submissions()
        self._outcomes: dict[int, curio.Queue] = {}
        self._count = 0
        self._loops = Supervisor()
        self._peers = PeerLinks(
            settings.name,
            settings.peers,
            self._frame,
            self._refused,
            settings.peers.host,
        )
        self._known_registry = False
        self._reachable: dict[str, float] = {}
        self._store_lost: dict[str, str] = {}
        self._leaving = False
        self._http: HttpServer | None = None

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force; version 0 before the first one."""
        return self._catalogue

    @property
    def ready(self) -> bool:
        """Whether new jobs are welcome here."""
        return (
            self._catalogue.version > 0
            and not self._leaving
            and not self._loops.failed
            and any(self._view())
        )

    async def run(self, handler: Handler) -> int:
        """Serve until SIGTERM or SIGINT, then answer what is in flight.

        Args:
            handler: Answers callers' requests.

        Returns:
            Exit code of the process.
        """
        signals = SignalWaiter(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        settings = self._settings
        self._http = HttpServer(*settings.callers, handler)
        readiness = HttpServer(*settings.readiness, self._answer_readiness)
        metrics = HttpServer(*settings.metrics, self._answer_metrics)
        _log.info("Started", data_centre=settings.data_centre, cores=settings.cores)
        # Loops end in this order: no request may be read once others have ended.
        await self._loops.start(
            self._http.run,
            self._logs.run,
            self._peers.run,
            self._tick_loop,
            self._catalogue_loop,
            self._registry_loop,
            self._hosts_loop,
            self._tend_loop,
            self._scout_loop,
            readiness.run,
            metrics.run,
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._wait_for_stop, signals)
            await group.spawn(self._loops.wait_failed)
        await self._drain()
        abandoned, unanswered = len(self._submissions), self._http.in_flight
        await self._perform(self._submissions.abandon(uptime()))
        await self._loops.cancel()
        await self._perform(self._leader.resign())
        await self._ports.close()
        _log.info(
            "Stopped",
            failed=self._loops.failed,
            abandoned=abandoned,
            unanswered=unanswered,
        )
        self._logs.flush()
        return 1 if self._loops.failed else 0

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, if there is one."""
        return self._catalogue.route(host, path)

    def waiting(self, route: str) -> int:
        """Return how many jobs of a route wait here without a started task."""
        return self._leader.waiting.get(route, 0)

    def is_in_flight(self, job_id: str) -> bool:
        """Return whether a job is in flight here."""
        return self._submissions.knows(job_id) or job_id in self._leader.jobs

    async def submit(self, submission: Submission) -> Failure | None:
        """Run a job to its outcome; `None` says that it is complete."""
        if self._loops.failed:
            return Failure(ErrorKind.NOT_READY, "this process is stopping")
        self._count += 1
        number = self._count
        outcome = self._outcomes[number] = curio.Queue()
        begin = uptime()
        route = submission.route.name
        try:
            await self._perform(self._submissions.submit(begin, number, submission))
            failure = await outcome.get()
        except curio.CancelledError:
            left = self._submissions.caller_left(uptime(), number)
            await curio.disable_cancellation(self._perform(left))
            raise
        finally:
            del self._outcomes[number]
        self._metrics.latency.labels(route).observe(uptime() - begin)
        kind = failure.kind.value if failure else "complete"
        self._metrics.jobs.labels(route, kind).inc()
        return failure

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job wherever it is; return whether it was in flight here."""
        known = self.is_in_flight(job_id)
        withdrawn = JobWithdrawn(job_id, cancelled=True)
        for name in self._hosts.live:
            await self._send(name, withdrawn)
        await self._perform(self._take(self._settings.name, withdrawn))
        return known

    # Loops

    async def _tick_loop(self) -> None:
        while True:
            await curio.sleep(_TICK_S)
            await self._tick()

    async def _tick(self) -> None:
        now = uptime()
        actions = self._hosts.tick(
            now,
            time.time(),
            {shard: len(entries) for shard, entries in self._shards.items()},
            self._known_registry,
            self._leader.load(now),
            self._catalogue.version,
            {**self._reachable, **self._reached()},
        )
        await self._perform(actions)
        await self._lead()
        await self._perform(self._leader.tick(uptime()))
        await self._perform(self._submissions.view(uptime(), self._view()))
        await self._perform(self._submissions.tick(uptime()))

    async def _lead(self) -> None:
        """Lead the workers that this host's claims call for."""
        if not self._hosts.claims:
            if self._leader.workers:
                await self._perform(self._leader.resign())
            return
        ours: dict[str, WorkerEntry] = {}
        elsewhere: set[str] = set()
        for shard, entries in self._shards.items():
            if shard in self._hosts.claims:
                ours.update(entries)
            else:
                elsewhere.update(entries)
        await self._perform(
            self._leader.set_workers(uptime(), time.time(), ours, frozenset(elsewhere))
        )

    def _reached(self) -> dict[str, float]:
        """Return since when workers of the shards led here answer, s."""
        found: dict[str, float] = {}
        for shard in self._hosts.claims:
            for name in self._shards.get(shard, ()):
                worker = self._leader.workers.get(name)
                if worker is not None and worker.answers(uptime()):
                    found[shard] = worker.silent_since
                    break
        return found

    def _view(self) -> dict[str, LeaderView]:
        """Return the leaders that this host knows."""
        place = self._settings.data_centre
        view: dict[str, LeaderView] = {}
        claims = self._hosts.claims
        if claims:
            near = any(data_centre(shard) == place for shard in claims)
            load = self._leader.load(uptime())
            view[self._settings.name] = LeaderView(
                self._hosts.leading_since_epoch, near, load
            )
        for name, beat in self._hosts.leaders.items():
            near = any(data_centre(c.shard) == place for c in beat.claims)
            view[name] = LeaderView(beat.tenure, near, beat.load)
        return view

    async def _catalogue_loop(self) -> None:
        while True:
            try:
                catalogue = await self._directory.next_catalogue()
            except UnavailableError as error:
                self._note_store("catalogue", str(error))
                await curio.sleep(_STORE_RETRY_S)
                continue
            self._note_store("catalogue")
            if catalogue is not None and catalogue.version > self._catalogue.version:
                _log.info(
                    "CatalogueTaken",
                    version=catalogue.version,
                    before=self._catalogue.version,
                    routes=len(catalogue.routes),
                )
                self._catalogue = catalogue

    async def _registry_loop(self) -> None:
        while True:
            try:
                workers = await self._directory.workers()
            except UnavailableError as error:
                self._note_store("workers", str(error))
                await curio.sleep(_STORE_RETRY_S)
                continue
            self._note_store("workers")
            if self._registry.read(uptime(), workers) or not self._known_registry:
                self._known_registry = True
                self._shards = partition(self._registry.workers.values())
                _log.info("WorkersRead", workers=len(workers), shards=len(self._shards))
                await self._lead()
            await curio.sleep(_LEADER_REFRESH_S if self._leader.workers else _REFRESH_S)

    async def _hosts_loop(self) -> None:
        registered = False
        while True:
            try:
                if not registered:
                    await self._directory.register(
                        self._settings.name, self._advertised
                    )
                    registered = True
                self._hosts.add_addresses(uptime(), await self._directory.hosts())
            except UnavailableError as error:
                self._note_store("hosts", str(error))
                await curio.sleep(_STORE_RETRY_S)
                continue
            self._note_store("hosts")
            await curio.sleep(_HOSTS_REFRESH_S)

    async def _tend_loop(self) -> None:
        while True:
            await curio.sleep(_TEND_S)
            await self._ports.close_idle_connections()

    async def _scout_loop(self) -> None:
        """Find out which leaderless shards of other data centres are reached."""
        while True:
            await curio.sleep(_SCOUT_S)
            leaderless = {
                shard: entries
                for shard, entries in self._shards.items()
                if self._hosts.leader(shard) is None
            }
            for shard in self._reachable.keys() - leaderless.keys():
                del self._reachable[shard]
            for shard, entries in leaderless.items():
                worker = entries[min(entries)]
                if await self._answers(worker):
                    self._reachable.setdefault(shard, uptime())
                else:
                    self._reachable.pop(shard, None)

    async def _answers(self, worker: WorkerEntry) -> bool:
        """Return whether a worker answers; the lowest token changes nothing."""
        look = Renewal(0, 0, None, 0.0, uptime())
        reply = await self._ports.renew(worker, look)
        return reply not in (LeaseLost.SILENT, LeaseLost.REFUSED)

    async def _wait_for_stop(self, signals: SignalWaiter) -> None:
        """Return when the process is to stop; reload on SIGHUP meanwhile."""
        while await signals.wait() is signal.SIGHUP:
            self._take_settings()

    def _take_settings(self) -> None:
        """Read the settings again; what cannot change in a run stays."""
        before = self._settings
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
        self._hosts.add_addresses(uptime(), settings.seeds)
        self._settings = before._replace(seeds=settings.seeds, grace_s=settings.grace_s)
        _log.info("Reloaded", changed=changed)

    def _note_store(self, call: str, problem: str = "") -> None:
        """Log when the store is lost to a call, and when it is back."""
        self._metrics.store_calls.labels(call, "failed" if problem else "ok").inc()
        before = self._store_lost.get(call, "")
        if problem and not before:
            _log.warning("StoreLost", call=call, reason=problem)
        elif before and not problem:
            _log.info("StoreBack", call=call, reason=before)
        self._store_lost[call] = problem

    # Actions

    async def _perform(self, actions: Iterable) -> None:
        todo = deque(actions)
        while todo:
            action = todo.popleft()
            match action:
                case LogDecision(decision):
                    _log.info(type(decision).__name__, **decision._asdict())
                case StartRun():
                    await curio.spawn(self._start(action), daemon=True)
                case StopRun():
                    await curio.spawn(self._stop(action), daemon=True)
                case RenewLease():
                    await curio.spawn(self._renew(action), daemon=True)
                case QueryWorker():
                    await curio.spawn(self._look(action), daemon=True)
                case ReportJob(host, report):
                    todo.extend(await self._send(host, report))
                case OfferToLeader(host, offered):
                    todo.extend(await self._send(host, offered))
                case WithdrawFromLeader(host, withdrawn):
                    todo.extend(await self._send(host, withdrawn))
                case AnswerCaller(number, failure):
                    waiter = self._outcomes.get(number)
                    if waiter is not None:
                        await waiter.put(failure)
                case SendHeartbeat(address, beat):
                    self._beats.inc()
                    await self._peers.send(address, beat)
                case HostLost(host):
                    todo.extend(self._leader.host_lost(uptime(), host))

    async def _send(self, host: str, message: Message) -> list:
        """Send a message to a host; to this one, take it in at once."""
        if host == self._settings.name:
            return self._take(host, message)
        address = self._hosts.address(host)
        if address is not None:
            self._metrics.frames.labels(type(message).__name__).inc()
            await self._peers.send(address, message)
        return []

    def _take(self, sender: str, message: Message) -> list:
        """Take a message in and return what it calls for."""
        now = uptime()
        match message:
            case Beat():
                return self._hosts.heartbeat_received(now, sender, message)
            case OfferedJob(number, offer):
                if not self._hosts.claims:
                    return []
                return self._leader.offer(now, sender, number, offer)
            case JobWithdrawn(job_id, cancelled):
                actions = self._leader.withdraw(now, sender, message)
                if cancelled:
                    actions = actions + self._submissions.cancelled(now, job_id)
                return actions
            case JobProgress() | JobEnded():
                return self._submissions.reported(now, sender, message)
        _log.warning("FrameIgnored", kind=type(message).__name__, peer=sender)
        return []

    async def _frame(self, envelope: Envelope) -> None:
        await self._perform(self._take(envelope.sender, envelope.message))

    async def _refused(self, address: Address) -> None:
        await self._perform(self._hosts.connection_refused(uptime(), address))

    async def _start(self, action: StartRun) -> None:
        begin = uptime()
        reply = await self._ports.start(action.worker, action.order)
        self._metrics.order_latency.observe(uptime() - begin)
        self._metrics.orders.labels(reply.outcome.value).inc()
        name, run = action.worker.name, action.order.run
        await self._perform(self._leader.handle_start_reply(uptime(), name, run, reply))

    async def _stop(self, action: StopRun) -> None:
        answered = await self._ports.stop(action.worker, action.run, action.token)
        self._metrics.stops.labels(str(answered).lower()).inc()
        name = action.worker.name
        await self._perform(
            self._leader.handle_stop_reply(uptime(), name, action.run, answered)
        )

    async def _renew(self, action: RenewLease) -> None:
        """Renew a lease, and again when that is answered, in this one task.

        The task keeps its connection, which spares the loop most of the work.
        """
        following: RenewLease | None = action
        while following is not None:
            following = await self._renew_once(following)

    async def _renew_once(self, action: RenewLease) -> RenewLease | None:
        """Renew a lease and return the renewal that is due next."""
        renewal = action.renewal
        name = action.worker.name
        if action.pause_s:
            await curio.sleep(action.pause_s)
            worker = self._leader.workers.get(name)
            if worker is None or worker.token != renewal.token or worker.fenced:
                return None
            renewal = worker.renew(uptime())
        reply = await self._ports.renew(action.worker, renewal)
        outcome = "ok" if isinstance(reply, LeaseReply) else reply.value
        self._metrics.renewals.labels(outcome).inc()
        actions = self._leader.handle_renewal_reply(uptime(), name, renewal, reply)
        due = next((one for one in actions if isinstance(one, RenewLease)), None)
        await self._perform(one for one in actions if one is not due)
        return due

    async def _look(self, action: QueryWorker) -> None:
        reply = await self._ports.renew(action.worker, action.renewal)
        name = action.worker.name
        await self._perform(
            self._leader.handle_state_reply(uptime(), name, action.renewal, reply)
        )

    # Ends

    async def _drain(self) -> None:
        """Hand over what this host leads and answer what is in flight."""
        begin = uptime()
        self._leaving = True
        # An idle connection that is closed later may cross with a request.
        self._http.close_after_answers()
        self._hosts.leave()
        _log.info(
            "ShutdownStarted",
            jobs=len(self._submissions),
            connections=self._http.connections,
            grace_s=self._settings.grace_s,
        )
        answering = await curio.spawn(self._answer_after_failure, daemon=True)
        if not self._loops.failed:
            await self._tick()
        killed_at = begin + self._settings.grace_s
        self._submissions.leave_at(max(begin, killed_at - _LAST_ANSWER_S))
        left_s = killed_at - _EXIT_MARGIN_S - uptime()
        async with curio.ignore_after(max(0.0, left_s)):
            # The balancer goes on sending until it has seen twice that we leave.
            await curio.sleep(_BALANCER_S)
            await self._peers.flush()
            self._http.close_idle()
            await self._http.drain()
            await self._lead_to_the_end()
        # A host that stood still until now has not given its last answers yet.
        await self._perform(self._submissions.tick(uptime()))
        async with curio.ignore_after(_LAST_WRITE_S):
            await self._http.wait_idle()
        await answering.cancel()

    async def _lead_to_the_end(self) -> None:
        """Lead as long as other hosts live of which none can take over."""
        while self._hosts.claims and self._hosts.live and not self._loops.failed:
            await curio.sleep(_TICK_S)

    async def _answer_after_failure(self) -> None:
        """Answer every job in flight once a loop has failed.

        What was decided may be wrong then, so no leader is told.
        """
        await self._loops.wait_failed()
        await self._perform(self._submissions.fail(uptime(), _FAULT))

    async def _answer_readiness(self, request: Request) -> Response:
        ready = self.ready
        return json_response(_HTTP_OK if ready else _HTTP_UNAVAILABLE, {"ready": ready})

    async def _answer_metrics(self, request: Request) -> Response:
        metrics = self._metrics
        metrics.in_flight.set(len(self._submissions))
        metrics.led_workers.set(len(self._leader.workers))
        metrics.led_jobs.set(len(self._leader.jobs))
        metrics.live_hosts.set(len(self._hosts.live) + 1)
        metrics.version.set(self._catalogue.version)
        metrics.lines_dropped.set(self._logs.dropped)
        metrics.frames_dropped.set(self._peers.dropped)
        headers = {"content-type": "text/plain; version=0.0.4"}
        return Response(_HTTP_OK, headers, metrics.page())


def uptime() -> float:
    """Return the time since boot, s; it goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
