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
    """Asks a peer for a configuration newer than a version."""

    newer_than: int


class ConfigurationOffer(NamedTuple):
    """Passes a configuration on.

    Attributes:
        version: Its version.
        next_offset: Offset of the first record of the log not in it.
        document: The document, JSON text.
    """

    version: int
    next_offset: int
    document: str


class Goodbye(NamedTuple):
    """Says that the sender is shutting down."""

    incarnation: int


Message = (
    Heartbeat
    | SlotRequest
    | SlotGrant
    | SlotReturn
    | ConfigurationRequest
    | ConfigurationOffer
    | Goodbye
)
