"""The process of an entry host, on one curio event loop."""

import resource
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
from poplarhilld.entry.ports import Directory, UnavailableError, WorkerClient
from poplarhilld.entry.settings import EntrySettings
from poplarhilld.entry.usage import BusyMeter, UsageMeter
from poplarhilld.evacuation import EvacuationCopy, Evacuations
from poplarhilld.leading import (
    Leader,
    QueryWorker,
    RenewLease,
    ReportJob,
    ShareLosses,
    StartRun,
    StopRun,
)
from poplarhilld.leases import (
    LeaseReply,
    OrderOutcome,
    OrderReply,
    Renewal,
    RenewalFailure,
    TokenSource,
)
from poplarhilld.peers import PeerLinks
from poplarhilld.peers.codec import Envelope
from poplarhilld.peers.messages import (
    Beat,
    JobEnded,
    JobProgress,
    JobWithdrawn,
    Load,
    Message,
    OfferedJob,
    WorkersReport,
)
from poplarhilld.shards import (
    AnswerNewPeer,
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

_TICK_S = 0.05  # a third of the heartbeat interval
_IDLE_TICK_S = 0.075  # without jobs and workers; half of the heartbeat interval
# With this interval, a leader notices well within 2 s that a worker is draining.
_LEADER_REGISTRY_REFRESH_S = 0.7
# A host that leads no shard needs the list of workers only for a takeover.
_REGISTRY_REFRESH_S = 2.0
# A leader that has missed two reads asks other hosts what they have read.
_REGISTRY_OUTDATED_S = 2 * _LEADER_REGISTRY_REFRESH_S
# Heartbeats carry addresses; the store is needed only to find unknown peers.
_HOSTS_REFRESH_S = 5.0
# The retries of eight hosts stay far below the request rates of the store.
_STORE_RETRY_S = 0.3
_IDLE_SWEEP_S = 5.0  # an idle connection costs only a file descriptor
# A quarter of the time for which a data centre must be without hosts before
# hosts of other data centres take over its shards.
_REACHABILITY_CHECK_S = 0.5
# The balancer checks readiness every second and acts on the second refusal.
_BALANCER_NOTICE_S = 2.5
_USAGE_INTERVAL_S = 5.0  # short enough to tell the start from what follows
_ANSWER_BEFORE_KILL_S = 1.0  # before SIGKILL; a busy loop has run 0.04 s late
_EXIT_BEFORE_KILL_S = 0.3  # before SIGKILL; leaves time to write the last log lines
# A third of the margin above; an answer is written within a few milliseconds.
_FINAL_WRITE_TIMEOUT_S = 0.1
_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
_PROCESS_FAILURE = Failure(ErrorKind.INTERNAL, "internal error in this process")
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
    methods return lists of actions, which this class performs.

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
        self._settings = settings
        self._worker_client = workers
        self._directory = directory
        self._logs = logs
        self._metrics = metrics
        self._heartbeats_sent = metrics.frames.labels("Beat")
        self._tokens = TokenSource(settings.peers)
        now = uptime()
        self._usage = UsageMeter(now)
        self._busy = BusyMeter(now, settings.cores)
        incarnation = round(time.time() * 1000)
        self._advertised = settings.advertise or settings.peers
        own_host = LocalHost(
            settings.name,
            self._advertised,
            settings.data_centre,
            incarnation,
            settings.cores,
        )
        self._hosts = Hosts(own_host, settings.seeds, self._tokens, now)
        self._catalogue = Catalogue()
        self._registry = Registry()
        self._evacuations = EvacuationCopy()
        self._shards: dict[str, dict] = {}
        self._leader = Leader(self._tokens, settings.lease_s)
        self._submissions = Submissions()
        self._outcomes: dict[int, curio.Queue] = {}
        self._submission_count = 0
        self._loops = Supervisor()
        self._tick_wanted = curio.Event()
        self._peers = PeerLinks(
            settings.name,
            settings.peers,
            self._on_frame,
            self._on_refused,
            settings.peers.host,
        )
        self._registry_read = False
        self._registry_read_at = now
        self._reachable_since: dict[str, float] = {}
        self._store_errors: dict[str, str] = {}
        self._shutting_down = False
        self._http: HttpServer | None = None

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue of routes in force; its version is 0 until one is read."""
        return self._catalogue

    @property
    def ready(self) -> bool:
        """Whether this host accepts new jobs."""
        return (
            self._catalogue.version > 0
            and not self._shutting_down
            and not self._loops.failed
            and any(self._known_leaders())
        )

    async def run(self, handler: Handler) -> int:
        """Serve until SIGTERM or SIGINT, then answer the requests in flight.

        A loop that ends by itself stops the process in the same way.

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
        _log.info(
            "Started",
            data_centre=settings.data_centre,
            cores=settings.cores,
            processor_s=round(_processor_time_s(), 4),
        )
        # Loops are cancelled in this order: no request may be read after another
        # loop has ended.
        await self._loops.start(
            self._http.run,
            self._peers.run,
            self._tick_loop,
            self._catalogue_loop,
            self._registry_loop,
            self._hosts_loop,
            self._idle_connections_loop,
            self._leaderless_shards_loop,
            self._usage_loop,
            readiness.run,
            metrics.run,
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._wait_for_stop, signals)
            await group.spawn(self._loops.wait_failed)
        self._logs.flush()  # a failed loop may be the one that writes the log
        await self._drain()
        abandoned, unanswered = len(self._submissions), self._http.in_flight
        await self._perform(self._submissions.abandon_all(uptime()))
        await self._loops.cancel()
        await self._perform(self._leader.resign())
        await self._worker_client.close()
        _log.info(
            "Stopped",
            failed=self._loops.failed,
            abandoned=abandoned,
            unanswered=unanswered,
            processor_s=round(_processor_time_s(), 4),
        )
        self._logs.flush()
        return 1 if self._loops.failed else 0

    def route(self, host: str, path: str) -> Route | None:
        """Return the route that matches a request, if any."""
        return self._catalogue.route(host, path)

    def waiting(self, route: str) -> int:
        """Return the count of jobs of a route led here without a started task."""
        return self._leader.waiting.get(route, 0)

    def is_in_flight(self, job_id: str) -> bool:
        """Return whether a job was submitted to this host, or is led by it."""
        return self._submissions.is_in_flight(job_id) or job_id in self._leader.jobs

    async def submit(self, submission: Submission) -> Failure | None:
        """Run a job and return its failure, or `None` once it is complete."""
        if self._loops.failed:
            return Failure(ErrorKind.NOT_READY, "this process is stopping")
        self._submission_count += 1
        number = self._submission_count
        outcome = self._outcomes[number] = curio.Queue()
        begin = uptime()
        route = submission.route.name
        try:
            await self._perform(self._submissions.submit(begin, number, submission))
            failure = await outcome.get()
        except curio.CancelledError:
            withdrawal = self._submissions.drop_caller(uptime(), number)
            await curio.disable_cancellation(self._perform(withdrawal))
            raise
        finally:
            del self._outcomes[number]
        self._metrics.latency.labels(route).observe(uptime() - begin)
        kind = failure.kind.value if failure else "complete"
        self._metrics.jobs.labels(route, kind).inc()
        return failure

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job on all live hosts; return whether it was in flight here."""
        was_in_flight = self.is_in_flight(job_id)
        withdrawn = JobWithdrawn(job_id, cancelled=True)
        for name in self._hosts.live:
            await self._send(name, withdrawn)
        await self._perform(self._handle_message(self._settings.name, withdrawn))
        return was_in_flight

    # Loops

    async def _tick_loop(self) -> None:
        """Run the time-dependent decisions and write the log at short intervals."""
        while True:
            busy = len(self._submissions) or self._leader.workers
            interval_s = _TICK_S if busy else _IDLE_TICK_S
            # A caller that waits little longer than the limit must still get an answer.
            until_deadline_s = self._submissions.next_deadline - uptime()
            async with curio.ignore_after(max(0.0, min(interval_s, until_deadline_s))):
                await self._tick_wanted.wait()
            self._tick_wanted.clear()
            await self._tick()
            self._logs.flush()

    async def _tick(self) -> None:
        """Make the decisions that depend on time and perform their actions."""
        now = uptime()
        unread_s = now - self._registry_read_at
        self._hosts.set_outdated(
            bool(self._hosts.claims) and unread_s > _REGISTRY_OUTDATED_S
        )
        if self._busy.is_due(now):
            self._busy.measure(now, _processor_time_s())
        actions = self._hosts.tick(
            now,
            time.time(),
            {shard: len(entries) for shard, entries in self._shards.items()},
            self._registry_read,
            self._load(now),
            self._catalogue.version,
            {**self._reachable_since, **self._last_reply_of_led_shards()},
        )
        await self._perform(actions)
        await self._update_led_workers()
        await self._perform(self._leader.tick(uptime()))
        await self._perform(
            self._submissions.update_leaders(uptime(), self._known_leaders())
        )
        await self._perform(self._submissions.tick(uptime()))

    async def _update_led_workers(self) -> None:
        """Lead exactly the workers of the shards that this host claims."""
        if not self._hosts.claims:
            if self._leader.workers:
                await self._perform(self._leader.resign())
            return
        led_entries: dict[str, WorkerEntry] = {}
        not_led_here: set[str] = set()
        for shard, entries in self._shards.items():
            if shard in self._hosts.claims:
                led_entries.update(entries)
            else:
                not_led_here.update(entries)
        await self._perform(
            self._leader.set_workers(
                uptime(), time.time(), led_entries, frozenset(not_led_here)
            )
        )

    def _last_reply_of_led_shards(self) -> dict[str, float]:
        """Return when a worker of each led shard last responded, s.

        Shards of which no worker responds are left out.
        """
        last_reply_at: dict[str, float] = {}
        for shard in self._hosts.claims:
            for name in self._shards.get(shard, ()):
                worker = self._leader.workers.get(name)
                if worker is not None and worker.is_responsive(uptime()):
                    last_reply_at[shard] = worker.last_reply_at
                    break
        return last_reply_at

    def _load(self, now: float) -> Load:
        """Return the load of this host."""
        busy = round(self._busy.share, 1)  # a heartbeat that changes is decoded anew
        return self._leader.load(now)._replace(busy=busy)

    def _known_leaders(self) -> dict[str, LeaderView]:
        """Return the leaders that this host knows, by name; it may be one of them."""
        own_data_centre = self._settings.data_centre
        view: dict[str, LeaderView] = {}
        claims = self._hosts.claims
        if claims:
            near = any(data_centre(shard) == own_data_centre for shard in claims)
            load = self._load(uptime())
            view[self._settings.name] = LeaderView(
                self._hosts.leading_since_epoch,
                near,
                load,
                self._evacuations.leaves_nothing(load.cores, map(data_centre, claims)),
            )
        for name, beat in self._hosts.leaders.items():
            near = any(data_centre(c.shard) == own_data_centre for c in beat.claims)
            led = (data_centre(claim.shard) for claim in beat.claims)
            evacuated = self._evacuations.leaves_nothing(beat.load.cores, led)
            view[name] = LeaderView(beat.tenure, near, beat.load, evacuated)
        return view

    async def _catalogue_loop(self) -> None:
        """Put each newer catalogue from the store in force."""
        while True:
            catalogue, problem = None, ""
            try:
                catalogue = await self._directory.next_catalogue()
            except UnavailableError as error:
                problem = str(error)
            self._record_store_call("catalogue", problem)
            evacuations = self._directory.evacuations
            await self._perform(self._update_evacuations("store", evacuations))
            if problem:
                await curio.sleep(_STORE_RETRY_S)
                continue
            if catalogue is not None and catalogue.version > self._catalogue.version:
                _log.info(
                    "CatalogueTaken",
                    version=catalogue.version,
                    before=self._catalogue.version,
                    routes=len(catalogue.routes),
                )
                self._catalogue = catalogue

    def _update_evacuations(self, source: str, copy: Evacuations) -> list:
        """Adopt what the store or a peer holds if it is newer; return the actions."""
        changed, lines = self._evacuations.update(source, copy)
        self._hosts.set_evacuations(self._evacuations.for_peers)
        if not changed:
            return []
        return [
            *lines,
            *self._leader.set_evacuated(uptime(), self._evacuations.data_centres),
        ]

    async def _registry_loop(self) -> None:
        """Read the registered workers from the store and divide them into shards."""
        while True:
            try:
                workers = await self._directory.workers()
            except UnavailableError as error:
                self._record_store_call("workers", str(error))
                await curio.sleep(_STORE_RETRY_S)
                continue
            self._record_store_call("workers")
            self._registry_read_at = uptime()
            self._hosts.set_outdated(False)
            if self._registry.update(uptime(), workers) or not self._registry_read:
                self._registry_read = True
                self._shards = partition(self._registry.workers.values())
                _log.info("WorkersRead", workers=len(workers), shards=len(self._shards))
                # Claims the shards that were split off led ones before their workers
                # are taken for workers of another leader.
                await self._tick()
            await self._report_workers()
            await curio.sleep(
                _LEADER_REGISTRY_REFRESH_S
                if self._leader.workers
                else _REGISTRY_REFRESH_S
            )

    async def _report_workers(self) -> None:
        """Tell leaders that can't read the list of workers which take fewer tasks."""
        report = WorkersReport(self._registry.reduced)
        if not report.reduced:
            return
        for name, beat in self._hosts.leaders.items():
            if beat.outdated:
                await self._send(name, report)

    def _apply_workers_report(self, sender: str, report: WorkersReport) -> None:
        """Apply what another host has read of workers, if this host can't read it."""
        if self._hosts.outdated and self._registry.reduce(report.reduced):
            self._shards = partition(self._registry.workers.values())
            _log.info("WorkersReported", peer=sender, reduced=len(report.reduced))

    async def _hosts_loop(self) -> None:
        """Register this host in the store and read the addresses of its peers."""
        registered = False
        while True:
            try:
                if not registered:
                    await self._directory.register(
                        self._settings.name, self._advertised
                    )
                    registered = True
                addresses = await self._directory.hosts()
                self._hosts.set_registered_addresses(uptime(), addresses)
                await self._tick_wanted.set()  # sends new hosts their first heartbeat
            except UnavailableError as error:
                self._record_store_call("hosts", str(error))
                await curio.sleep(_STORE_RETRY_S)
                continue
            self._record_store_call("hosts")
            await curio.sleep(_HOSTS_REFRESH_S)

    async def _idle_connections_loop(self) -> None:
        """Close idle connections to workers at intervals."""
        while True:
            await curio.sleep(_IDLE_SWEEP_S)
            await self._worker_client.close_idle_connections()

    async def _usage_loop(self) -> None:
        """Log at intervals what this process has used."""
        while True:
            await curio.sleep(_USAGE_INTERVAL_S)
            usage = self._usage.report(
                uptime(),
                _processor_time_s(),
                len(self._leader.workers),
                len(self._submissions),
            )
            _log.info("Usage", **usage._asdict())

    async def _leaderless_shards_loop(self) -> None:
        """Ask one worker of each shard that this host may have to claim.

        Records since when each of these shards has been reachable.
        """
        while True:
            await curio.sleep(_REACHABILITY_CHECK_S)
            leaderless = {
                shard: self._shards[shard]
                for shard in self._hosts.shards_to_watch(self._shards)
            }
            for shard in self._reachable_since.keys() - leaderless.keys():
                del self._reachable_since[shard]
            for shard, entries in leaderless.items():
                worker = entries[min(entries)]
                if await self._worker_responds(worker):
                    self._reachable_since.setdefault(shard, uptime())
                else:
                    self._reachable_since.pop(shard, None)

    async def _worker_responds(self, worker: WorkerEntry) -> bool:
        """Return whether a worker responds to a renewal.

        The renewal carries the lowest fencing token, which changes nothing on the
        worker.
        """
        renewal = Renewal(0, 0, None, 0.0, uptime())
        reply = await self._worker_client.renew(worker, renewal)
        return reply not in (RenewalFailure.SILENT, RenewalFailure.REFUSED)

    async def _wait_for_stop(self, signals: SignalWaiter) -> None:
        """Return when the process is to stop; reload the settings on each SIGHUP."""
        while await signals.wait() is signal.SIGHUP:
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Read the settings again and apply those that may change at run time."""
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

    def _record_store_call(self, call: str, problem: str = "") -> None:
        """Count a call to the store; log when it starts to fail and when it recovers.

        Args:
            call: Kind of the call.
            problem: Why the call failed; empty if it succeeded.
        """
        self._metrics.store_calls.labels(call, "failed" if problem else "ok").inc()
        before = self._store_errors.get(call, "")
        if problem and not before:
            _log.warning("StoreLost", call=call, reason=problem)
        elif before and not problem:
            _log.info("StoreBack", call=call, reason=before)
        self._store_errors[call] = problem

    # Actions

    async def _perform(self, actions: Iterable) -> None:
        """Perform actions in order, and those that result from them."""
        pending = deque(actions)
        while pending:
            action = pending.popleft()
            match action:
                case LogDecision(decision):
                    _log.info(type(decision).__name__, **decision._asdict())
                case StartRun():
                    await curio.spawn(self._start_run(action), daemon=True)
                case StopRun():
                    await curio.spawn(self._stop_run(action), daemon=True)
                case RenewLease():
                    await curio.spawn(self._renew_repeatedly(action), daemon=True)
                case QueryWorker():
                    await curio.spawn(self._query_worker(action), daemon=True)
                case ReportJob(host, report):
                    pending.extend(await self._send(host, report))
                case ShareLosses(report):
                    for name in self._hosts.live:
                        await self._send(name, report)
                case OfferToLeader(host, offered):
                    pending.extend(await self._send(host, offered))
                case WithdrawFromLeader(host, withdrawn):
                    pending.extend(await self._send(host, withdrawn))
                case AnswerCaller(number, failure):
                    outcome_queue = self._outcomes.get(number)
                    if outcome_queue is not None:
                        await outcome_queue.put(failure)
                case SendHeartbeat(address, beat):
                    self._heartbeats_sent.inc()
                    await self._peers.send(address, beat)
                case AnswerNewPeer(address):
                    await self._peers.reconnect(address)
                    await self._tick_wanted.set()
                case HostLost(host):
                    pending.extend(self._leader.handle_lost_host(uptime(), host))

    async def _send(self, host: str, message: Message) -> list:
        """Send a message to a host; handle it at once if that is this host.

        Returns:
            Actions that result from handling it here.
        """
        if host == self._settings.name:
            return self._handle_message(host, message)
        address = self._hosts.address(host)
        if address is not None:
            self._metrics.frames.labels(type(message).__name__).inc()
            await self._peers.send(address, message)
        return []

    def _handle_message(self, sender: str, message: Message) -> list:
        """Apply a message from a host, maybe this one; return the resulting actions."""
        now = uptime()
        match message:
            case Beat():
                actions = self._hosts.heartbeat_received(now, sender, message)
                if message.evacuations_end:
                    copy = Evacuations(message.evacuations_end, message.evacuations)
                    actions = actions + self._update_evacuations(sender, copy)
                return actions
            case OfferedJob(number, offer):
                if not self._hosts.claims:
                    return []
                return self._leader.handle_offer(now, sender, number, offer)
            case JobWithdrawn(job_id, cancelled):
                actions = self._leader.handle_withdrawal(now, sender, message)
                if cancelled:
                    actions = actions + self._submissions.cancel_job(now, job_id)
                return actions
            case WorkersReport():
                self._apply_workers_report(sender, message)
                return []
            case JobProgress() | JobEnded():
                if isinstance(message, JobProgress) and message.losses:
                    self._leader.handle_losses(now, message.losses)
                return self._submissions.apply_report(now, sender, message)
        _log.warning("FrameIgnored", kind=type(message).__name__, peer=sender)
        return []

    async def _on_frame(self, envelope: Envelope) -> None:
        """Handle a message that a peer sent."""
        if isinstance(envelope.message, Beat):
            self._usage.heartbeats += 1
        else:
            self._usage.frames += 1
        await self._perform(self._handle_message(envelope.sender, envelope.message))

    async def _on_refused(self, address: Address) -> None:
        """Report that a peer's address refused a connection."""
        await self._perform(self._hosts.connection_refused(uptime(), address))

    async def _start_run(self, action: StartRun) -> None:
        begin = uptime()
        if action.worker.data_centre in self._evacuations.data_centres:
            # Decided before the evacuation was known here; it waits for a connection
            # for 0.5 s at most after this.
            reply = OrderReply(OrderOutcome.UNSENT)
        else:
            reply = await self._worker_client.start(action.worker, action.order)
        self._metrics.order_latency.observe(uptime() - begin)
        self._metrics.orders.labels(reply.outcome.value).inc()
        self._usage.orders += 1
        name, run = action.worker.name, action.order.run
        await self._perform(self._leader.handle_start_reply(uptime(), name, run, reply))

    async def _stop_run(self, action: StopRun) -> None:
        answered = await self._worker_client.stop(
            action.worker, action.run, action.token
        )
        self._metrics.stops.labels(str(answered).lower()).inc()
        name = action.worker.name
        await self._perform(
            self._leader.handle_stop_reply(uptime(), name, action.run, answered)
        )

    async def _renew_repeatedly(self, action: RenewLease) -> None:
        """Renew a lease, and send each further renewal from the same curio task.

        The task keeps its connection, which spares the event loop most of the work.
        """
        next_renewal: RenewLease | None = action
        while next_renewal is not None:
            next_renewal = await self._renew_once(next_renewal)

    async def _renew_once(self, action: RenewLease) -> RenewLease | None:
        """Renew a lease, after a pause if one is set, and return the next renewal.

        Returns:
            The renewal to send next; `None` if the leader asks for none, such as
            after the worker has left or the token has changed.
        """
        renewal = action.renewal
        name = action.worker.name
        if action.pause_s:
            await curio.sleep(action.pause_s)
            worker = self._leader.workers.get(name)
            if worker is None or worker.token != renewal.token or worker.fenced:
                return None
            renewal = worker.next_renewal(uptime())
        reply = await self._worker_client.renew(action.worker, renewal)
        outcome = "ok" if isinstance(reply, LeaseReply) else reply.value
        self._metrics.renewals.labels(outcome).inc()
        self._usage.renewals += 1
        actions = self._leader.handle_renewal_reply(uptime(), name, renewal, reply)
        next_renewal = next(
            (one for one in actions if isinstance(one, RenewLease)), None
        )
        await self._perform(one for one in actions if one is not next_renewal)
        return next_renewal

    async def _query_worker(self, action: QueryWorker) -> None:
        """Ask a worker for its state at once, beside the renewal under way."""
        reply = await self._worker_client.renew(action.worker, action.renewal)
        name = action.worker.name
        await self._perform(
            self._leader.handle_state_reply(uptime(), name, action.renewal, reply)
        )

    # Shutdown

    async def _drain(self) -> None:
        """Hand over the led shards and answer the requests in flight.

        Stops shortly before the end of the grace period, when the process is killed.
        """
        begin = uptime()
        self._shutting_down = True
        # From now on each answer closes its connection: one that stayed open could
        # receive a request at the moment when it is closed as idle below.
        self._http.close_after_answers()
        self._hosts.leave()
        _log.info(
            "ShutdownStarted",
            jobs=len(self._submissions),
            connections=self._http.connections,
            grace_s=self._settings.grace_s,
        )
        answerer = await curio.spawn(self._answer_after_failure, daemon=True)
        if not self._loops.failed:
            await self._tick()
        killed_at = begin + self._settings.grace_s
        self._submissions.set_stop_time(max(begin, killed_at - _ANSWER_BEFORE_KILL_S))
        remaining_s = killed_at - _EXIT_BEFORE_KILL_S - uptime()
        async with curio.ignore_after(max(0.0, remaining_s)):
            # The balancer sends requests until two readiness checks have failed.
            await curio.sleep(_BALANCER_NOTICE_S)
            await self._peers.flush()
            self._http.close_idle()
            await self._http.drain()
            await self._lead_until_handover()
        # If the process was paused until now, the last jobs have no answer yet.
        await self._perform(self._submissions.tick(uptime()))
        async with curio.ignore_after(_FINAL_WRITE_TIMEOUT_S):
            await self._http.wait_idle()
        await answerer.cancel()

    async def _lead_until_handover(self) -> None:
        """Keep leading while other hosts are live and none of them can take over."""
        while self._hosts.claims and self._hosts.live and not self._loops.failed:
            await curio.sleep(_TICK_S)

    async def _answer_after_failure(self) -> None:
        """Answer every job in flight with a failure once a loop has failed.

        Earlier decisions may be wrong then, so the leaders get no withdrawal.
        """
        await self._loops.wait_failed()
        await self._perform(self._submissions.fail_all(uptime(), _PROCESS_FAILURE))

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
        evacuated = self._evacuations.data_centres
        metrics.set_evacuated(evacuated, map(data_centre, self._shards))
        metrics.processor_s.set(_processor_time_s())
        metrics.lines_dropped.set(self._logs.dropped)
        metrics.frames_dropped.set(self._peers.dropped)
        headers = {"content-type": "text/plain; version=0.0.4"}
        return Response(_HTTP_OK, headers, metrics.page())


def _processor_time_s() -> float:
    """Return the processor time used since the start of the process, s."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def uptime() -> float:
    """Return the time since boot, including time in suspension, s."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
