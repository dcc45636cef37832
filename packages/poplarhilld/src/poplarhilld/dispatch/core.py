"""The dispatcher: a pure state machine from events to actions."""

from collections.abc import Sequence
from random import Random

from poplarhill.configuration import Configuration, Defaults
from poplarhill.exceptions import ErrorKind, Failure, RunState
from poplarhill.status import HostStatus
from poplarhill.types import JobSpec
from poplarhilld.claims.keys import needs_claim
from poplarhilld.claims.messages import (
    ClaimDecided,
    ClaimsAppendDue,
    ClaimsAppended,
    ClaimsRead,
    Ended,
    Joined,
    Won,
)
from poplarhilld.claims.messages import Output as ClaimOutput
from poplarhilld.claims.state import ClaimState
from poplarhilld.configuration.messages import (
    ConfigurationInForce,
    LogRead,
    Output,
)
from poplarhilld.configuration.state import ConfigurationState
from poplarhilld.dispatch.actions import (
    Action,
    AnswerJob,
    LogDecision,
    SendFrame,
    SendTask,
    StopTask,
)
from poplarhilld.dispatch.admission import Admission
from poplarhilld.dispatch.events import (
    ConfigurationChanged,
    Event,
    FrameReceived,
    HostsRead,
    JobCancelled,
    JobSubmitted,
    PeerConnectionRefused,
    ShutdownStarted,
    Started,
    TaskLost,
    TaskSucceeded,
    TaskUnsent,
    Ticked,
)
from poplarhilld.dispatch.following import to_actions
from poplarhilld.dispatch.hosts import EntryHosts, Load
from poplarhilld.dispatch.identity import Identity
from poplarhilld.dispatch.workers import Workers
from poplarhilld.evacuation import lines_on_change
from poplarhilld.freshness import PAUSE_THRESHOLD_S
from poplarhilld.jobs import (
    Job,
    JobOutcome,
    JobTable,
    Send,
    SendTable,
)
from poplarhilld.jobs.retries import MAX_SEND_ATTEMPTS
from poplarhilld.jobs.state import cancellation, exhaustion
from poplarhilld.limits import refused
from poplarhilld.placement import Placed, Placement


class Dispatcher:
    """Makes the decisions of one entry host, without sockets or a clock.

    Args:
        identity: Identity of this host.
        random: Source of random choices.
    """

    def __init__(self, identity: Identity, random: Random) -> None:
        self._identity = identity
        self._configuration: Configuration | None = None
        self._random = random
        # A separate source, so that placement's random choices do not depend on how
        # often the log is polled.
        poll_random = Random(f"{identity.name} {identity.incarnation}")
        retention_s = identity.log_retention_s
        self._configuration_state = ConfigurationState(
            identity.name, retention_s, poll_random
        )
        self._configuration_state.set_peers(tuple(identity.seeds))
        hosts = len(identity.seeds) + 1
        self._claims = ClaimState(
            identity.name, identity.incarnation, hosts, Defaults().key_window_s
        )
        self._jobs = JobTable()
        self._sends = SendTable()
        self._placement: Placement | None = None
        self._workers: Workers | None = None
        self._admission = Admission(run_time_s=self._run_time_s)
        self._hosts = EntryHosts(identity, random)
        self._live: tuple[str, ...] = ()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, once one is known."""
        return self._configuration

    @property
    def ready(self) -> bool:
        """Whether new jobs are accepted."""
        return self._admission.open

    @property
    def jobs_in_flight(self) -> int:
        """Count of jobs without an answer."""
        return len(self._jobs)

    @property
    def sends_in_flight(self) -> int:
        """Count of sends without a report on their outcome."""
        return len(self._sends)

    @property
    def outstanding(self) -> int:
        """Count of tasks that placement counts as outstanding on workers."""
        return self._placement.outstanding if self._placement is not None else 0

    @property
    def workers_ejected(self) -> int:
        """Count of ejected workers, which receive no tasks except probes."""
        return len(self._workers.health.ejected) if self._workers else 0

    @property
    def _version(self) -> int:
        return self._configuration.version if self._configuration else 0

    @property
    def evacuated(self) -> frozenset[str]:
        """Names of the evacuated data centres, by the configuration in force."""
        return self._configuration.evacuated if self._configuration else frozenset()

    @property
    def hosts(self) -> EntryHosts:
        """This host's view of the entry hosts."""
        return self._hosts

    def status(self, now: float) -> HostStatus:
        """Return the status of this host for operators."""
        return HostStatus(
            name=self._identity.name,
            data_centre=self._identity.data_centre,
            ready=self.ready,
            configuration_version=self._configuration_state.version,
            configuration_age_s=self._configuration_state.age(now),
            configuration_complete=self._configuration_state.complete,
            jobs_in_flight=self.jobs_in_flight,
            queued_tasks=self._placement.waiting if self._placement else 0,
            live_hosts=len(self._hosts.live),
            evacuated=tuple(sorted(self.evacuated)),
        )

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions that follow.

        Args:
            now: The host's own clock, s.
            event: The event.
        """
        actions: list[Action] = []
        if self._hosts.note_running(now) and self._workers is not None:
            self._workers.resumed()
        match event:
            case JobSubmitted(spec):
                self._submit(now, spec, actions)
            case JobCancelled(job_id):
                self._cancel(now, job_id, actions)
            case TaskSucceeded() | TaskUnsent() | TaskLost():
                self._handle_report(now, event, actions)
            case ConfigurationChanged(configuration):
                actions += self._configure(configuration, "log")
            case Started():
                self._hosts.start(now)
                self._apply_configuration_outputs(
                    self._configuration_state.start(), actions
                )
            case LogRead(offset, result, asked_at):
                self._apply_configuration_outputs(
                    self._configuration_state.handle_read(now, offset, result), actions
                )
                if self._configuration_state.age(now) == 0:
                    actions += self._hosts.configuration_confirmed(now, asked_at)
            case HostsRead():
                actions += self._hosts.hosts_read(now, event)
            case FrameReceived(sender, message):
                actions += self._hosts.receive(now, sender, message)
                if self._placement is not None:
                    self._placement.receive(now, sender, message)
                    self._workers.receive(now, sender, message)
                outputs = self._configuration_state.receive(now, sender, message)
                self._apply_configuration_outputs(outputs, actions)
            case PeerConnectionRefused(address):
                self._hosts.connection_refused(address)
            case ShutdownStarted():
                self._admission.close()
                actions += self._hosts.leave(now)
            case ClaimsAppended() | ClaimsRead() | ClaimsAppendDue():
                self._apply_claim_outputs(
                    now, self._claims.receive(now, event), actions
                )
            case Ticked():
                self._apply_claim_outputs(now, self._claims.tick(now), actions)
                actions += self._hosts.tick(now, self._load())
                if self.evacuated:
                    self._end_evacuated_jobs(now, actions)
        self._update_live_hosts()
        actions += self._hosts.configuration_in_force(now, self._version)
        self._expire_jobs(now, actions)
        self._place(now, actions)
        return actions

    def _update_live_hosts(self) -> None:
        """Pass a change of the live hosts on to the parts that depend on it."""
        live = self._hosts.presumed_live
        if live == self._live:
            return
        self._live = live
        self._admission.set_host_count(len(live))
        if self._placement is not None:
            self._placement.set_hosts(live)
        name = self._identity.name
        self._configuration_state.set_peers(
            tuple(peer for peer in live if peer != name)
        )

    def _submit(self, now: float, spec: JobSpec, actions: list[Action]) -> None:
        refusal = self._admission.admit(now, spec, self._placement)
        if refusal is not None:
            actions.append(LogDecision(refused(spec, refusal)))
            actions.append(AnswerJob(spec.job_id, refusal))
            return
        self._jobs.add(spec)
        if needs_claim(spec):
            self._apply_claim_outputs(now, self._claims.claim_key(now, spec), actions)
        else:
            self._placement.enqueue(now, spec)

    def _apply_claim_outputs(
        self, now: float, outputs: list[ClaimOutput], actions: list[Action]
    ) -> None:
        """Carry out the decisions on claims."""
        for output in outputs:
            match output:
                case Won(job_id, send_by):
                    job = self._jobs.limit_sends(job_id, send_by)
                    self._placement.enqueue(now, job.spec)
                case Joined(job_id):
                    self._jobs.get(job_id).mark_joined()
                case Ended(job_id, outcome):
                    self._end_job(now, job_id, outcome, actions)
                case ClaimDecided():
                    actions.append(LogDecision(output))
                case request:
                    actions.append(request)

    def _cancel(self, now: float, job_id: str, actions: list[Action]) -> None:
        job = self._jobs.get(job_id)
        if job is not None:
            self._end_job(now, job_id, cancellation(job), actions)

    def _handle_report(
        self,
        now: float,
        event: TaskSucceeded | TaskUnsent | TaskLost,
        actions: list[Action],
    ) -> None:
        """Process the report on a send; only the first report on each send counts."""
        if not self._sends.end(event.task, Send(event.worker, event.attempt)):
            return
        self._placement.release(event.worker, event.task)
        actions += self._workers.report(now, event)
        if isinstance(event, TaskSucceeded):
            self._placement.note_free_slots(now, event.worker, event.free_slots)
        job = self._jobs.get(event.task.job)
        if job is not None:
            self._update_job(now, job, event, actions)

    def _update_job(
        self,
        now: float,
        job: Job,
        event: TaskSucceeded | TaskUnsent | TaskLost,
        actions: list[Action],
    ) -> None:
        task = event.task
        match event:
            case TaskSucceeded():
                outcome = self._jobs.finish_task(task, event.body)
            case TaskUnsent():
                job.mark_unsent(task.index)
                exhausted = job.attempts(task.index) >= MAX_SEND_ATTEMPTS
                outcome = exhaustion(job, event.detail) if exhausted else None
                if outcome is None:
                    self._placement.put_back(task)
            case TaskLost():
                job.mark_failed(task.index)
                outcome = Failure(event.kind, event.detail)
        if outcome is not None:
            self._end_job(now, task.job, outcome, actions)

    def _apply_configuration_outputs(
        self, outputs: list[Output], actions: list[Action]
    ) -> None:
        """Carry out the decisions on the configuration."""
        actions += to_actions(outputs)
        if self._configuration_state.configuration is None:
            return
        in_force = (o for o in outputs if isinstance(o, ConfigurationInForce))
        source = next((output.source for output in in_force), "log")
        actions += self._configure(self._configuration_state.configuration, source)

    def _configure(self, configuration: Configuration, source: str) -> Sequence[Action]:
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return ()
        lines = lines_on_change(
            self.evacuated, configuration.evacuated, {}, configuration.version, source
        )
        self._configuration = configuration
        self._claims.configure(configuration.defaults.key_window_s)
        self._admission.configure(configuration)
        if self._placement is None:
            self._placement = Placement(
                configuration,
                self._random,
                self._identity.name,
                self._identity.data_centre,
                self._hosts.presumed_live,
            )
            self._workers = Workers(configuration, self._hosts)
            self._live = ()
        else:
            self._placement.configure(configuration)
            self._workers.configure(configuration)
        return lines

    def _end_evacuated_jobs(self, now: float, actions: list[Action]) -> None:
        """Answer the jobs whose queued tasks only evacuated workers could run.

        Tasks that run there finish first.
        """
        for job in self._jobs:
            if job.running or not job.has_queued:
                continue
            failure = self._admission.evacuation_failure(job.spec, self._placement)
            if failure is None:
                continue
            if job.run_state is RunState.MAY_HAVE_RUN:
                failure = Failure(ErrorKind.WORKER_LOST, failure.detail)
            self._end_job(now, job.spec.job_id, failure, actions)

    def _run_time_s(self, service: str) -> float:
        return self._workers.health.times.mean_s(service) if self._workers else 0.0

    def _load(self) -> Load:
        if self._placement is None:
            return Load(self._version)
        placement = self._placement
        return Load(
            self._version,
            placement.idle_slots,
            placement.waiting,
            self._workers.suspicions,
        )

    def _expire_jobs(self, now: float, actions: list[Action]) -> None:
        for job, failure in self._jobs.overdue(now):
            self._end_job(now, job.spec.job_id, failure, actions)

    def _end_job(
        self, now: float, job_id: str, outcome: JobOutcome, actions: list[Action]
    ) -> None:
        """Answer a job, discard its queued tasks and stop its running ones."""
        job = self._jobs.pop(job_id)
        if job is None:
            return
        self._admission.release(job.spec)
        self._placement.discard(job_id)
        for task, worker in job.running:
            spec = self._configuration.workers.get(worker)
            if spec is not None:
                actions.append(StopTask(task, spec))
        actions.append(AnswerJob(job_id, outcome))
        self._apply_claim_outputs(
            now, self._claims.record_outcome(now, job_id, outcome), actions
        )

    def _place(self, now: float, actions: list[Action]) -> None:
        if self._placement is None or not self._hosts.freshness.may_send:
            return
        for placed in self._workers.place_probes(now, self._placement, actions):
            self._send(now, placed, actions)
        for placed in self._placement.place(now, self._workers.view):
            self._send(now, placed, actions)
        for peer, message in self._placement.take_messages():
            actions.append(SendFrame(peer, message))

    def _send(self, now: float, placed: Placed, actions: list[Action]) -> None:
        task = placed.task
        job = self._jobs.get(task.job)
        attempt = job.mark_sent(task.index, placed.worker)
        self._sends.begin(task, Send(placed.worker, attempt))
        self._workers.sent(now, task, placed.worker)
        worker = self._configuration.workers[placed.worker]
        body = job.spec.tasks[task.index]
        deadline = job.spec.deadline
        send_by = min(job.send_by, now + PAUSE_THRESHOLD_S)
        actions.append(LogDecision(placed))
        actions.append(SendTask(task, worker, body, deadline, send_by, attempt))
