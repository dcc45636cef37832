"""Records of the configuration stream and their JSON encoding."""

from typing import Annotated, Any

import msgspec

from poplarhill.decoding import InvalidDataError, Offset, Version, decode_json

CONFIG_STREAM = "configuration"

_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class Change(msgspec.Struct, tag="change", forbid_unknown_fields=True):
    """A change that an operator publishes.

    Attributes:
        change_id: Unique id, by which the publisher finds the outcome in the log
            if the response to an append is lost.
        base_version: Version that the change is based on.
        author: Who made the change.
        note: Why the change was made, in a sentence.
        patch: JSON merge patch against the base version's document.
    """

    change_id: _Id
    base_version: Version
    author: str
    note: str
    patch: dict[str, Any]


class Snapshot(msgspec.Struct, tag="snapshot", forbid_unknown_fields=True):
    """The state after folding every record below an offset.

    A snapshot depends only on the contents of the log. It may therefore be
    appended repeatedly, late, or by any host.

    Attributes:
        version: Version of the document.
        document: The document.
        next_offset: Offset of the first record that is not included.
        time: Time, by the log's clock, at which the log held no record beyond
            those included, s. The snapshot can be used for as long as the log
            keeps records of that time.
        winners: Ids of the latest accepted changes by their base version.
    """

    version: Version
    document: dict[str, Any]
    next_offset: Offset
    time: float
    winners: dict[Version, str] = {}


class Restoration(msgspec.Struct, tag="restoration", forbid_unknown_fields=True):
    """A state that a host writes back to a log that has lost its records.

    A reader applies it only if its version is higher than the reader's own.

    Attributes:
        version: Version of the document.
        document: The document.
        host: Name of the entry host that wrote the record.
    """

    version: Version
    document: dict[str, Any]
    host: str


ConfigurationRecord = Change | Snapshot | Restoration


def encode_record(record: ConfigurationRecord) -> str:
    """Return a record as the JSON text of a log record's body."""
    return msgspec.json.encode(record).decode()


def decode_record(body: str) -> ConfigurationRecord | None:
    """Return the record encoded in a body, or None if the body is not valid."""
    try:
        return decode_json(body, ConfigurationRecord)
    except InvalidDataError:
        return None
