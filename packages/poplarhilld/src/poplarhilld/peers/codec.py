"""Codec of frames: packed Cap'n Proto structs behind the typed messages."""

from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

import capnp

from poplarhill.types import Resources
from poplarhilld.peers.messages import (
    Beat,
    Claim,
    ConfigurationNews,
    ConfigurationOffer,
    ConfigurationRequest,
    Goodbye,
    Heartbeat,
    HostsNews,
    JobEnded,
    JobOffer,
    JobProgress,
    JobWithdrawn,
    Load,
    MemberState,
    Message,
    OfferedJob,
    RefreshReply,
    RefreshRequest,
    SlotGrant,
    SlotRequest,
    SlotReturn,
    StepSpec,
    Suspicion,
    WorkerSlots,
)

MAX_FRAME_BYTES = 4 * 1024 * 1024
_MAX_UNPACKED_WORDS = MAX_FRAME_BYTES // 4

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("frames.capnp")))

_VARIANTS: dict[type, str] = {
    Heartbeat: "heartbeat",
    SlotRequest: "slotRequest",
    SlotGrant: "slotGrant",
    SlotReturn: "slotReturn",
    ConfigurationRequest: "configurationRequest",
    ConfigurationOffer: "configurationOffer",
    ConfigurationNews: "configurationNews",
    Goodbye: "goodbye",
    HostsNews: "hostsNews",
    RefreshRequest: "refreshRequest",
    RefreshReply: "refreshReply",
    Beat: "beat",
    OfferedJob: "offeredJob",
    JobWithdrawn: "jobWithdrawn",
    JobProgress: "jobProgress",
    JobEnded: "jobEnded",
}
_TYPES: dict[str, type] = {variant: kind for kind, variant in _VARIANTS.items()}
_ELEMENTS: dict[str, type] = {
    "members": MemberState,
    "suspicions": Suspicion,
    "slots": WorkerSlots,
    "claims": Claim,
    "steps": StepSpec,
}
_STRUCTS: dict[str, type] = {
    "needs": Resources,
    "offer": JobOffer,
    "load": Load,
}
_PLAIN_LISTS = frozenset(
    {"leaving_workers", "records", "heard", "known", "after", "done"}
)


class FrameError(Exception):
    """Bytes that are no well-formed frame."""


class Envelope(NamedTuple):
    """A message and the name of the host that sent it."""

    sender: str
    message: Message


def encode(envelope: Envelope) -> bytes:
    """Return the bytes of a frame."""
    variant = _VARIANTS[type(envelope.message)]
    fields = {"sender": envelope.sender, variant: _to_fields(envelope.message)}
    return _SCHEMA.Frame.new_message(**fields).to_bytes_packed()


def decode(data: bytes) -> Envelope:
    """Return the message in a frame.

    Raises:
        FrameError: The bytes are no well-formed frame.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame over {MAX_FRAME_BYTES} bytes")
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(data, _MAX_UNPACKED_WORDS)
        variant = str(frame.which())
        message = _from_struct(_TYPES[variant], getattr(frame, variant))
        return Envelope(frame.sender, message)
    except (capnp.KjException, KeyError, ValueError) as error:
        raise FrameError(f"not a frame: {error}") from error


def _to_fields(value: NamedTuple) -> dict[str, Any]:
    return {_camel(name): _to_plain(field) for name, field in value._asdict().items()}


def _to_plain(value: Any) -> Any:
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return _to_fields(value)
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    return value


def _from_struct(kind: type, struct: Any) -> Any:
    values = []
    for name in kind._fields:
        value = getattr(struct, _camel(name))
        if name in _ELEMENTS:
            value = tuple(_from_struct(_ELEMENTS[name], item) for item in value)
        elif name in _STRUCTS:
            value = _from_struct(_STRUCTS[name], value)
        elif name in _PLAIN_LISTS:
            value = tuple(value)
        values.append(value)
    return kind(*values)


@cache
def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)
