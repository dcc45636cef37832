"""Messages between entry hosts. All of them are soft state."""

from typing import NamedTuple


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
)
