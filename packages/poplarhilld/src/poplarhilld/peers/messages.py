"""Messages between entry hosts. All of them are soft state."""

from typing import NamedTuple

from poplarhill.types import Resources


class MemberState(NamedTuple):
    """What one host says of another, or of itself.

    Attributes:
        name: Name of the entry host.
        host: IP address for peers.
        port: TCP port for peers.
        data_centre: Data centre that it stands in.
        incarnation: Start time of the process, ms since the epoch; a host
            that is replaced or restarted has a higher one.
        heartbeat: Count that the host itself raises; proves life.
        leaving: Whether it is shutting down.
    """

    name: str
    host: str
    port: int
    data_centre: str
    incarnation: int
    heartbeat: int
    leaving: bool


class Suspicion(NamedTuple):
    """A worker that a host takes to be failing.

    Attributes:
        worker: Its name.
        level: 0 (well) to 1 (failing everything).
    """

    worker: str
    level: float


class Heartbeat(NamedTuple):
    """Periodic gossip from one host to another.

    Attributes:
        members: What the sender knows of hosts, itself first.
        configuration_version: Version that the sender has in force.
        idle_slots: Slots that the sender could lend now.
        queued_tasks: Tasks that the sender has queued.
        hosts_version: Version of the platform's host list that it last saw.
        leaving_workers: Workers that the list says are leaving.
        suspicions: Workers that it takes to be failing.
    """

    members: tuple[MemberState, ...]
    configuration_version: int = 0
    idle_slots: int = 0
    queued_tasks: int = 0
    hosts_version: int = 0
    leaving_workers: tuple[str, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class WorkerSlots(NamedTuple):
    """A number of slots on one worker."""

    worker: str
    count: int


class SlotRequest(NamedTuple):
    """Asks a peer to lend idle slots.

    Attributes:
        request_id: Id that the grant repeats.
        service: Service whose workers are wanted.
        wanted: Most slots of use.
    """

    request_id: int
    service: str
    wanted: int


class SlotGrant(NamedTuple):
    """Lends slots until the lease ends; empty when there are none.

    Attributes:
        request_id: Id of the request.
        lease_s: How long they are lent, from when the request was sent, s.
        slots: What is lent.
        idle_slots: Slots that the sender could lend besides.
    """

    request_id: int
    lease_s: float
    slots: tuple[WorkerSlots, ...]
    idle_slots: int = 0


class SlotReturn(NamedTuple):
    """Gives lent slots back before their lease ends.

    Attributes:
        request_id: Id of the request that they were lent for.
        slots: What is given back.
    """

    request_id: int
    slots: tuple[WorkerSlots, ...]


class ConfigurationRequest(NamedTuple):
    """Asks a peer for its configuration; the answer is a `ConfigurationOffer`.

    Attributes:
        newer_than: Version up to which the sender needs no document.
    """

    newer_than: int


class ConfigurationOffer(NamedTuple):
    """Tells the version in force at the sender, and passes it on if needed.

    Attributes:
        version: The version.
        age_s: Time since the log last confirmed it, s.
        snapshot: The sender's state as a record of the log; empty when the
            receiver has it.
        snapshot_time: Time of the newest snapshot in the log, by the log's
            clock, s; 0 if the sender knows of none.
    """

    version: int
    age_s: float
    snapshot: str = ""
    snapshot_time: float = 0.0


class ConfigurationNews(NamedTuple):
    """Passes on records that the sender has just read from the log.

    Attributes:
        version: Version that they lead to.
        first_offset: Offset of the first record.
        records: Bodies in log order; none when they are too large.
    """

    version: int
    first_offset: int
    records: tuple[str, ...]


class Goodbye(NamedTuple):
    """Says that the sender is shutting down."""

    incarnation: int


class HostsNews(NamedTuple):
    """Passes a newer version of the platform's host list on.

    Attributes:
        hosts_version: Its version.
        leaving_workers: Hosts and workers that are leaving.
    """

    hosts_version: int
    leaving_workers: tuple[str, ...]


class RefreshRequest(NamedTuple):
    """Asks a peer for what it knows now; sent after a pause.

    Attributes:
        request_id: Id that the reply repeats.
    """

    request_id: int


class RefreshReply(NamedTuple):
    """Says what the sender knows now.

    Attributes:
        request_id: Id of the request.
        configuration_version: Version in force at the sender.
        hosts_version: Version of the host list there.
        leaving_workers: Hosts and workers that are leaving.
        informed: Whether the sender's own view is fresh.
    """

    request_id: int
    configuration_version: int
    hosts_version: int
    leaving_workers: tuple[str, ...]
    informed: bool


class StepSpec(NamedTuple):
    """One step of a job: equal tasks.

    Attributes:
        count: Count of its tasks.
        needs: Room that each of them takes.
        run_time_s: Declared run time of a task, a rough guess, s.
        after: Numbers of the steps whose tasks must all be done first.
        label: Label that a worker must have; empty for any.
        max_per_worker: Most tasks of the step on one worker; 0 for any.
        data_rack: Rack where its data lies; empty for none.
    """

    count: int
    needs: Resources
    run_time_s: float
    after: tuple[int, ...] = ()
    label: str = ""
    max_per_worker: int = 0
    data_rack: str = ""


class JobOffer(NamedTuple):
    """Hands a job to the leader of some workers.

    Attributes:
        job_id: Id that the caller chose.
        route: Name of its route.
        service: Service that runs it.
        body: What its tasks are given.
        steps: Its steps.
        priority: 0 goes first.
        max_attempts: Failed runs after which a task has failed.
        stretch: Factor on the work within which an answer is in time.
        allowance_s: Time on top of the work for that, s.
        elapsed_s: Time since the entry host has read it, s.
        left_s: Time until its caller leaves, s.
        handovers: Count of earlier leaders that it was offered to.
        done: Numbers of its tasks that are known to be done.
    """

    job_id: str
    route: str
    service: str
    body: str
    steps: tuple[StepSpec, ...]
    priority: int
    max_attempts: int
    stretch: float
    allowance_s: float
    elapsed_s: float
    left_s: float
    handovers: int = 0
    done: tuple[int, ...] = ()


class JobWithdrawn(NamedTuple):
    """Takes a job back: nothing of it may start any more.

    Attributes:
        job_id: Its id.
        cancelled: Whether its caller cancelled it, whoever carries it.
    """

    job_id: str
    cancelled: bool = False


class JobProgress(NamedTuple):
    """Tells an entry host which tasks of its job are done.

    Attributes:
        job_id: Id of the job.
        done: Numbers of tasks that have ended since the last report.
    """

    job_id: str
    done: tuple[int, ...] = ()


class JobEnded(NamedTuple):
    """Tells an entry host the outcome of its job.

    Attributes:
        job_id: Id of the job.
        error: Kind of its failure; empty when it is complete.
        detail: One sentence on the failure.
        retry_after_s: When to come back, s; 0 if that does not help.
        not_run: Whether no task of it was ever started.
    """

    job_id: str
    error: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    not_run: bool = False


JobReport = JobProgress | JobEnded


class OfferedJob(NamedTuple):
    """A job for a leader.

    Attributes:
        number: Count of the sender's submissions; tells offers of one id apart.
        offer: The job.
    """

    number: int
    offer: JobOffer


class Claim(NamedTuple):
    """A shard that the sender leads.

    Attributes:
        shard: Name of the shard.
        epoch: Rises with each change of leader.
        workers: Count of its workers.
    """

    shard: str
    epoch: int
    workers: int = 0


class Load(NamedTuple):
    """How busy a leader is.

    Attributes:
        cores: Cores of its workers in use.
        free_cores: Cores that nothing holds.
        queued_core_s: Room that waiting jobs will take, core-seconds.
    """

    cores: float = 0.0
    free_cores: float = 0.0
    queued_core_s: float = 0.0


class Beat(NamedTuple):
    """Tells a host that the sender lives, and what it leads.

    Attributes:
        host: IP address for peers.
        port: TCP port for peers.
        data_centre: Data centre that it stands in.
        incarnation: Start time of the process, ms since the epoch.
        weight: Cores that it has for its work.
        able: Whether it knows enough to lead.
        leaving: Whether it is shutting down.
        heard: Names of the hosts that it hears.
        claims: Shards that it leads.
        known: Addresses of hosts that it knows, as `ip:port`; now and then.
        version: Version of the catalogue in force at the sender.
        tenure: Epoch since which it leads without a break; 0 if it leads nothing.
        load: How busy it is as a leader.
    """

    host: str
    port: int
    data_centre: str
    incarnation: int
    weight: float
    able: bool
    leaving: bool = False
    heard: tuple[str, ...] = ()
    claims: tuple[Claim, ...] = ()
    known: tuple[str, ...] = ()
    version: int = 0
    tenure: int = 0
    load: Load = Load()


Message = (
    Heartbeat
    | SlotRequest
    | SlotGrant
    | SlotReturn
    | ConfigurationRequest
    | ConfigurationOffer
    | ConfigurationNews
    | Goodbye
    | HostsNews
    | RefreshRequest
    | RefreshReply
    | Beat
    | OfferedJob
    | JobWithdrawn
    | JobProgress
    | JobEnded
)
