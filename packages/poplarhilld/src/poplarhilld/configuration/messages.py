"""Events, requests and decisions of the configuration slice."""

from dataclasses import dataclass
from typing import NamedTuple

from poplarhill.platform import ReadResult
from poplarhilld.peers.messages import Message


@dataclass(frozen=True)
class LogRead:
    """A read of the configuration stream ended.

    Attributes:
        offset: Offset from which the read started.
        result: Result from the log.
        asked_at: When the read started, by the host's clock, s.
    """

    offset: int
    result: ReadResult
    asked_at: float = 0.0


@dataclass(frozen=True)
class ReadLog:
    """Read the configuration stream.

    Attributes:
        offset: Offset of the first record to read.
        delay_s: Delay before the read, s.
        limit: Maximum number of records to read.
    """

    offset: int
    delay_s: float
    limit: int


@dataclass(frozen=True)
class AppendRecord:
    """Append a record to the configuration stream; a failure is only logged.

    Attributes:
        body: Body of the record, JSON.
    """

    body: str


class ToPeer(NamedTuple):
    """Send a message to another entry host.

    Attributes:
        peer: Name of the host.
        message: The message.
    """

    peer: str
    message: Message


class ConfigurationInForce(NamedTuple):
    """Decision: a newer configuration is in force on this host.

    Attributes:
        version: Version of the configuration.
        previous: Version in force before.
        source: `log`, or the name of the peer that forwarded it.
        next_offset: Offset of the next record to read from the log.
    """

    version: int
    previous: int
    source: str
    next_offset: int


class ChangeRejected(NamedTuple):
    """Decision: a change in the log was rejected.

    Attributes:
        change_id: Id of the change.
        winner: Id of the change accepted from the same version, if known.
        detail: Why the change was rejected.
    """

    change_id: str
    winner: str | None
    detail: str


class LogUnreadable(NamedTuple):
    """Decision: ask peers, because a read gave no configuration.

    Attributes:
        offset: Offset from which the log was read.
        reason: Why the read gave no configuration.
        asked: Names of the peers that are asked instead.
    """

    offset: int
    reason: str
    asked: tuple[str, ...]


class RecordWritten(NamedTuple):
    """Decision: this host writes a snapshot or a restoration to the log.

    Attributes:
        record: `Snapshot` or `Restoration`.
        version: Version of the configuration in the record.
        next_offset: Offset of the next record to read from the log.
    """

    record: str
    version: int
    next_offset: int


Decision = ConfigurationInForce | ChangeRejected | LogUnreadable | RecordWritten
Output = ReadLog | AppendRecord | ToPeer | Decision
