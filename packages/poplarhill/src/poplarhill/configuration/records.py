"""Records of the configuration stream and their JSON form."""

from typing import Annotated, Any

import msgspec

CONFIG_STREAM = "configuration"

_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class Change(msgspec.Struct, tag="change", forbid_unknown_fields=True):
    """A change that an operator publishes.

    Attributes:
        change_id: Unique id, by which a lost answer is settled.
        base_version: Version that the change was made from.
        author: Who made it.
        note: Why, in a sentence.
        patch: JSON merge patch against the base version's document.
    """

    change_id: _Id
    base_version: _Count
    author: str
    note: str
    patch: dict[str, Any]


class Snapshot(msgspec.Struct, tag="snapshot", forbid_unknown_fields=True):
    """The state after folding every record below an offset.

    It states a fact about the log, so that it may be repeated, late, or come
    from any host.

    Attributes:
        version: Version of the document.
        document: The document.
        next_offset: Offset of the first record that is not folded in.
        time: The log's clock when it held no record beyond those folded in, s;
            the state can be taken over for as long as records of that time last.
        winners: Ids of the latest accepted changes, by their base version.
    """

    version: _Count
    document: dict[str, Any]
    next_offset: _Count
    time: float
    winners: dict[int, str] = {}


class Restoration(msgspec.Struct, tag="restoration", forbid_unknown_fields=True):
    """A state that a host still holds of a log that has lost its records.

    It counts only where its version is higher than the fold's.

    Attributes:
        version: Version of the document.
        document: The document.
        host: Name of the entry host that writes it.
    """

    version: _Count
    document: dict[str, Any]
    host: str


ConfigurationRecord = Change | Snapshot | Restoration

_decoder = msgspec.json.Decoder(ConfigurationRecord)


def encode_record(record: ConfigurationRecord) -> str:
    """Return the body of a record."""
    return msgspec.json.encode(record).decode()


def decode_record(body: str) -> ConfigurationRecord | None:
    """Return the record in a body, or None for anything else."""
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError, UnicodeError):
        return None
