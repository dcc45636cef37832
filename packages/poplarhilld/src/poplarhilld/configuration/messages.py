"""What the configuration slice decides on, asks for, and logs."""

from dataclasses import dataclass
from typing import NamedTuple

from poplarhill.platform import ReadResult
from poplarhilld.peers.messages import Message


@dataclass(frozen=True)
class LogRead:
    """A read of the configuration stream ended.

    Attributes:
        offset: Offset that was asked for.
        result: The log's answer.
        asked_at: When the read began, s.
    """

    offset: int
    result: ReadResult
    asked_at: float = 0.0


@dataclass(frozen=True)
class ReadLog:
    """Read the configuration stream.

    Attributes:
        offset: Where to begin.
        delay_s: Time to wait first, s.
        limit: Most records to ask for.
    """

    offset: int
    delay_s: float
    limit: int


@dataclass(frozen=True)
class AppendRecord:
    """Append a record to the configuration stream, best effort."""

    body: str


class ToPeer(NamedTuple):
    """A message for another entry host."""

    peer: str
    message: Message


class ConfigurationInForce(NamedTuple):
    """Decision: a newer configuration is in force on this host.

    Attributes:
        version: Its version.
        previous: Version before.
        source: `log`, or name of the peer that passed it on.
        next_offset: Offset from which the log is read on.
    """

    version: int
    previous: int
    source: str
    next_offset: int


class ChangeRejected(NamedTuple):
    """Decision: a change in the log was not accepted."""

    change_id: str
    winner: str | None
    detail: str


class LogUnreadable(NamedTuple):
    """The log gave nothing to fold.

    Attributes:
        offset: Offset that was asked for.
        reason: What came instead.
        asked: Peers asked in its place.
    """

    offset: int
    reason: str
    asked: tuple[str, ...]


class RecordWritten(NamedTuple):
    """Decision: this host writes a snapshot or a restoration to the log."""

    record: str
    version: int
    next_offset: int


Decision = ConfigurationInForce | ChangeRejected | LogUnreadable | RecordWritten
Output = ReadLog | AppendRecord | ToPeer | Decision
