"""Decodes JSON and numbers that other programs have written.

Each decoder of outside data uses `decode_json`, so that all of them refuse the same
input with the same error. The annotated types bound the numbers in it.
"""

import re
from functools import cache
from itertools import islice
from typing import Annotated, Any, TypeVar

import msgspec

MAX_JSON_BYTES = 16 * 1024 * 1024  # twice the largest body of an HTTP message
MAX_JSON_DEPTH = 64
MAX_HEADER_BYTES = 64 * 1024
MAX_CORES = 65_535
MAX_MEMORY_MB = 2**31 - 1
MAX_ACCELERATORS = 65_535
_MAX_INT64 = 2**63 - 1
_MAX_UINT16 = 2**16 - 1
_MAX_INT32 = 2**31 - 1
_MAX_DURATION_S = 30 * 86_400
_MAX_EXACT_DOUBLE = 2**53
_MAX_REASON_CHARS = 200  # error messages may quote the input

_MILLI = 1000  # thousandths
_Value = TypeVar("_Value")

Cores = Annotated[float, msgspec.Meta(ge=0, le=MAX_CORES)]
Millicores = Annotated[int, msgspec.Meta(ge=0, le=MAX_CORES * _MILLI)]
Megabytes = Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)]
MemoryMb = Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)]
Accelerators = Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_UINT16)]
Descriptors = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT32)]
Priority = Annotated[int, msgspec.Meta(ge=-_MAX_INT32, le=_MAX_INT32)]
Factor = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Duration = Annotated[float, msgspec.Meta(ge=0, le=_MAX_DURATION_S)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=_MAX_DURATION_S * _MILLI)]
SignedDurationMs = Annotated[
    float,
    msgspec.Meta(ge=-_MAX_DURATION_S * _MILLI, le=_MAX_DURATION_S * _MILLI),
]
# Limits on requests. The smallest leave room for usual ones.
HeaderBytes = Annotated[int, msgspec.Meta(ge=256, le=MAX_HEADER_BYTES)]
BodyBytes = Annotated[int, msgspec.Meta(ge=1, le=MAX_JSON_BYTES)]
TimeoutMs = Annotated[float, msgspec.Meta(ge=1, le=_MAX_DURATION_S * _MILLI)]
# A time of a clock that starts at any time, such as the Unix epoch.
ClockMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT_DOUBLE)]
Version = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
Offset = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
# Numbers that are counted from 1, such as the runs of a task.
Ordinal = Annotated[int, msgspec.Meta(ge=1, le=_MAX_INT32)]
Name = Annotated[str, msgspec.Meta(max_length=255)]

# Strings, which may hold brackets, and everything else that isn't a bracket. An
# unterminated string extends to the end.
_NOT_BRACKETS = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?+|[^"\[\]{}]++', re.DOTALL)
_NEITHER_BRACKETS_NOR_QUOTES = bytes(set(range(256)) - set(b'[]{}"'))
_BRACES_TO_BRACKETS = bytes.maketrans(b"{}", b"[]")
# A string, or what begins a list, an object or a further value in one.
_VALUES = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?+|[,\[{]', re.DOTALL)


class InvalidDataError(msgspec.DecodeError):
    """Data from another program is not JSON of the expected form."""


def decode_json(
    data: bytes | str, kind: type[_Value] | Any = Any, max_values: int | None = None
) -> _Value:
    """Decode JSON that another program has written.

    Args:
        data: The JSON.
        kind: Type of the value.
        max_values: Largest number of strings and of elements of lists and objects;
            any number if not given. A decoded value can take up a hundred times its
            bytes, so that this bounds memory where the size alone does not.

    Raises:
        InvalidDataError: The data is not JSON of this type, holds a number out of its
            range, or exceeds `MAX_JSON_BYTES`, `MAX_JSON_DEPTH` or `max_values`.
    """
    if len(data) > MAX_JSON_BYTES:
        raise InvalidDataError(f"longer than {MAX_JSON_BYTES} bytes")
    try:
        if isinstance(data, str):
            data = data.encode()
        if max_values is not None and _exceeds_values(data, max_values):
            raise InvalidDataError(f"more than {max_values} values")
        if _exceeds_depth(data):
            raise InvalidDataError(f"nested more than {MAX_JSON_DEPTH} deep")
        return _decoder(kind).decode(data)
    except InvalidDataError:
        raise
    except (msgspec.MsgspecError, ValueError, ArithmeticError, RecursionError) as error:
        raise InvalidDataError(str(error)[:_MAX_REASON_CHARS]) from error


def convert_json(value: Any, kind: type[_Value]) -> _Value:
    """Convert a decoded JSON value to a type.

    Raises:
        InvalidDataError: The value is not of this type.
    """
    try:
        return msgspec.convert(value, kind)
    except (msgspec.MsgspecError, ValueError, ArithmeticError, RecursionError) as error:
        raise InvalidDataError(str(error)[:_MAX_REASON_CHARS]) from error


def parse_digits(text: str, highest: int) -> int | None:
    """Return the number in a text of ASCII digits; `None` if it is anything else.

    Args:
        text: The text.
        highest: Largest number that is accepted.
    """
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(highest)):
        return None
    number = int(text)
    return number if number <= highest else None


@cache
def _decoder(kind: Any) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(kind)


def _exceeds_values(data: bytes, max_values: int) -> bool:
    """Return whether JSON has more than so many strings and elements."""
    if sum(map(data.count, (b'"', b",", b"[", b"{"))) <= max_values:
        return False
    values = _VALUES.finditer(data)
    return next(islice(values, max_values, None), None) is not None


def _exceeds_depth(data: bytes) -> bool:
    """Return whether JSON is nested more than `MAX_JSON_DEPTH` deep."""
    if data.count(b"[") + data.count(b"{") <= MAX_JSON_DEPTH:
        return False
    if b"\\" not in data:
        # Faster than the expression alone. Without escapes, removing quotes in pairs
        # leaves each bracket inside or outside of a string.
        data = data.translate(None, _NEITHER_BRACKETS_NOR_QUOTES).replace(b'""', b"")
    brackets = _NOT_BRACKETS.sub(b"", data).translate(_BRACES_TO_BRACKETS)
    for _ in range(MAX_JSON_DEPTH):
        # Each pass removes the innermost level.
        brackets, before = brackets.replace(b"[]", b""), brackets
        if brackets == before:
            break  # nothing is left, or the brackets don't match
    return bool(brackets) and b"[]" in brackets
