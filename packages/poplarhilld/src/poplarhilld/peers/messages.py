"""Messages between entry hosts. Any of them may be lost."""

from typing import NamedTuple

from poplarhilld.peers.leadership import UNKNOWN_WORKERS as UNKNOWN_WORKERS
from poplarhilld.peers.leadership import Beat as Beat
from poplarhilld.peers.leadership import Claim as Claim
from poplarhilld.peers.leadership import JobEnded as JobEnded
from poplarhilld.peers.leadership import JobOffer as JobOffer
from poplarhilld.peers.leadership import JobProgress as JobProgress
from poplarhilld.peers.leadership import JobReport as JobReport
from poplarhilld.peers.leadership import JobWithdrawn as JobWithdrawn
from poplarhilld.peers.leadership import LeaderDigest as LeaderDigest
from poplarhilld.peers.leadership import Load as Load
from poplarhilld.peers.leadership import LostWorker as LostWorker
from poplarhilld.peers.leadership import OfferedJob as OfferedJob
from poplarhilld.peers.leadership import ReducedWorker as ReducedWorker
from poplarhilld.peers.leadership import StepSpec as StepSpec
from poplarhilld.peers.leadership import TaskLosses as TaskLosses
from poplarhilld.peers.leadership import WorkersReport as WorkersReport


class MemberState(NamedTuple):
    """State of an entry host as the sender knows it; the sender may be that host.

    Attributes:
        name: Name of the entry host.
        host: IP address on which it listens for peers.
        port: TCP port on which it listens for peers.
        data_centre: Data centre of the host.
        incarnation: Start time of the process, ms since the Unix epoch; a host
            that is replaced or restarted has a higher one.
        heartbeat: Counter that only the host itself raises; a rise shows that the
            host is alive.
        leaving: Whether the host is shutting down.
    """

    name: str
    host: str
    port: int
    data_centre: str
    incarnation: int
    heartbeat: int
    leaving: bool


class Suspicion(NamedTuple):
    """Evidence that a worker is failing.

    Attributes:
        worker: Name of the worker.
        level: Score of the evidence as a fraction of the threshold for ejection, at
            most 1; also 1 if the sender has ejected the worker.
    """

    worker: str
    level: float


class Heartbeat(NamedTuple):
    """Periodic gossip between daemons; hosts behind the adapter send `Beat`.

    Attributes:
        members: States of the hosts that the sender knows, its own first.
        configuration_version: Version of the configuration in force at the sender.
        idle_slots: Count of slots of the sender's share that are not in use, over the
            services without queued tasks.
        queued_tasks: Count of tasks queued at the sender.
        hosts_version: Newest version of the platform's host list that the sender
            knows.
        leaving_workers: Names of hosts and workers that are leaving by that list.
        suspicions: Workers that the sender suspects of failing.
    """

    members: tuple[MemberState, ...]
    configuration_version: int = 0
    idle_slots: int = 0
    queued_tasks: int = 0
    hosts_version: int = 0
    leaving_workers: tuple[str, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class WorkerSlots(NamedTuple):
    """A number of slots on one worker.

    Attributes:
        worker: Name of the worker.
        count: Count of slots.
    """

    worker: str
    count: int


class SlotRequest(NamedTuple):
    """Asks a peer to lend idle slots.

    Attributes:
        request_id: Id that the grant repeats.
        service: Service whose workers the slots must be on.
        wanted: Most slots that the sender can use.
    """

    request_id: int
    service: str
    wanted: int


class SlotGrant(NamedTuple):
    """Lends slots for the time of a lease; a peer that lends none does not reply.

    Attributes:
        request_id: Id of the request.
        lease_s: Length of the lease, counted from when the request was sent, s.
        slots: Slots that are lent.
        idle_slots: Count of the service's slots that stay idle at the sender after
            the grant, including those that it keeps in reserve.
    """

    request_id: int
    lease_s: float
    slots: tuple[WorkerSlots, ...]
    idle_slots: int = 0


class SlotReturn(NamedTuple):
    """Returns lent slots before their lease ends.

    Attributes:
        request_id: Id of the request that the slots were lent for.
        slots: Slots that are returned.
    """

    request_id: int
    slots: tuple[WorkerSlots, ...]


class ConfigurationRequest(NamedTuple):
    """Asks a peer for its configuration; the answer is a `ConfigurationOffer`.

    Attributes:
        newer_than: The offer includes the configuration only if its version is
            higher than this. It is the version of the sender, or one less if the
            sender has a gap in the log: the same version then helps too.
    """

    newer_than: int


class ConfigurationOffer(NamedTuple):
    """Answers a `ConfigurationRequest` with the sender's configuration.

    Attributes:
        version: Version in force at the sender.
        age_s: Time since the log last confirmed that version, s; 1e9 if it never
            did.
        snapshot: The sender's configuration as a snapshot record of the log; empty
            if the receiver has that version.
        snapshot_time: Time of the newest snapshot in the log, by the log's
            clock, s; 0 if the sender knows of none.
    """

    version: int
    age_s: float
    snapshot: str = ""
    snapshot_time: float = 0.0


class ConfigurationNews(NamedTuple):
    """Forwards records that the sender has just read from the log.

    Attributes:
        version: Configuration version after these records.
        first_offset: Offset of the first record in the log.
        records: Bodies of the records in log order; empty if they are too large.
    """

    version: int
    first_offset: int
    records: tuple[str, ...]


class Goodbye(NamedTuple):
    """Announces that the sender is shutting down.

    Attributes:
        incarnation: Start time of the sender's process, ms since the Unix epoch.
    """

    incarnation: int


class HostsNews(NamedTuple):
    """Forwards a newer version of the platform's host list.

    Attributes:
        hosts_version: Version of the list.
        leaving_workers: Names of hosts and workers that are leaving.
    """

    hosts_version: int
    leaving_workers: tuple[str, ...]


class RefreshRequest(NamedTuple):
    """Asks a peer for its current versions.

    Sent by a host after its start and after its process was paused.

    Attributes:
        request_id: Id that the reply repeats.
    """

    request_id: int


class RefreshReply(NamedTuple):
    """Answers a `RefreshRequest` with the sender's current versions.

    Attributes:
        request_id: Id of the request.
        configuration_version: Version of the configuration in force at the sender.
        hosts_version: Version of the platform's host list at the sender.
        leaving_workers: Names of hosts and workers that are leaving.
        informed: Whether the sender's own view is recent enough to rely on.
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
    | Beat
    | OfferedJob
    | JobWithdrawn
    | JobProgress
    | JobEnded
    | WorkersReport
)
