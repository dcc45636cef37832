"""Results of the operations on the platform's log and host list."""

from typing import NamedTuple

from poplarhill.decoding import Offset, Version


class Record(NamedTuple):
    """One record of a stream.

    Attributes:
        offset: Position in the stream, from 0, without gaps.
        time: Time at which the log accepted the record, by the log's clock, s.
        body: JSON text, opaque to the log.
    """

    offset: Offset
    time: float
    body: str


class Appended(NamedTuple):
    """The record is in the stream.

    Attributes:
        offset: Offset of the record.
    """

    offset: Offset


class AppendRefused(NamedTuple):
    """The record is not in the stream and will not be added later.

    Attributes:
        detail: Why the append failed.
    """

    detail: str


class AppendUnknown(NamedTuple):
    """The record may be in the stream already, or may be added later.

    Attributes:
        detail: Why the result is unknown.
    """

    detail: str


class Batch(NamedTuple):
    """Records starting at the requested offset; empty at the end of the stream.

    Attributes:
        records: Records in order, without gaps.
        next_offset: Offset to read from next.
        end_offset: Offset after the last record of the stream at the time of the
            read; the next appended record gets it.
        time: Time of the read, by the log's clock, s.
    """

    records: tuple[Record, ...]
    next_offset: Offset
    end_offset: Offset
    time: float


class Truncated(NamedTuple):
    """The log no longer keeps the requested offset.

    Attributes:
        earliest: Offset of the oldest record that the log keeps.
    """

    earliest: Offset


class Unavailable(NamedTuple):
    """The platform did not return a usable response.

    Attributes:
        detail: Why the request failed.
    """

    detail: str


class HostList(NamedTuple):
    """The platform's list of hosts and workers, which lags behind their state.

    Attributes:
        version: Version, which increases with each change of the list.
        live: Names of the hosts and workers that the platform considers live.
        leaving: Names of the hosts and workers that are about to shut down.
    """

    version: Version
    live: frozenset[str]
    leaving: frozenset[str]


AppendResult = Appended | AppendRefused | AppendUnknown
ReadResult = Batch | Truncated | Unavailable
