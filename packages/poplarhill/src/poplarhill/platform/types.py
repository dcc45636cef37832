"""What the platform's log and host list answer."""

from typing import NamedTuple


class Record(NamedTuple):
    """One record of a stream.

    Attributes:
        offset: Position in the stream, from 0, without gaps.
        time: When the log accepted it, by the log's clock, s.
        body: Opaque body, JSON text.
    """

    offset: int
    time: float
    body: str


class Appended(NamedTuple):
    """The record is in the stream."""

    offset: int


class AppendRefused(NamedTuple):
    """The record is not in the stream, and never will be."""

    detail: str


class AppendUnknown(NamedTuple):
    """The record may be in the stream, now or later."""

    detail: str


class Batch(NamedTuple):
    """Records from the offset asked for; empty at the end of the stream.

    Attributes:
        records: Records in order, without gaps.
        next_offset: Offset to read from next.
        end_offset: Offset that the next append gets, when this was read.
        time: The log's clock when this was read, s.
    """

    records: tuple[Record, ...]
    next_offset: int
    end_offset: int
    time: float


class Truncated(NamedTuple):
    """The offset asked for is no longer kept.

    Attributes:
        earliest: Offset of the oldest record kept.
    """

    earliest: int


class Unavailable(NamedTuple):
    """The platform did not answer."""

    detail: str


class HostList(NamedTuple):
    """The platform's lagging list of hosts.

    Attributes:
        version: Rises with each change of the list.
        live: Names of hosts and workers taken to be alive.
        leaving: Names of those about to go.
    """

    version: int
    live: frozenset[str]
    leaving: frozenset[str]


AppendResult = Appended | AppendRefused | AppendUnknown
ReadResult = Batch | Truncated | Unavailable
