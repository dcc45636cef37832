"""Decoding of data that other programs have written."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill.decoding import (
    MAX_JSON_BYTES,
    MAX_JSON_DEPTH,
    InvalidDataError,
    Ordinal,
    decode_json,
    parse_digits,
)
from poplarhill.types import Address


# Guards against a host that ends when another writer registers such an address:
# `int` rejects 5,000 digits with a message of its own, `isdecimal` accepts any script.
@pytest.mark.parametrize(
    "text",
    [
        *("", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "h:1"),
        *("10.0.0.1:" + "9" * 5000, "10.0.0." + "1" * 5000 + ":80", "10.0.0.256:80"),
        *("10.0.0.1:٨٠", "10.0.0.١:80", "10.0.0.²:80", "10.0.0.-1:80"),
    ],
    ids=lambda text: repr(text[:20]),
)
def test_an_address_out_of_range_is_refused_with_a_short_reason(text) -> None:
    with pytest.raises(ValueError, match="is not an IP address|has no port") as raised:
        Address.from_text(text)
    assert len(str(raised.value)) < 200


def test_a_number_is_parsed_from_ascii_digits_only() -> None:
    assert parse_digits("65535", 65535) == 65535
    for text in ("", "65536", "-1", "+1", " 1", "1_0", "٣", "²", "9" * 5000):
        assert parse_digits(text, 65535) is None, text


@pytest.mark.parametrize("opening, closing", [(b"[", b"]"), (b'{"a":', b"}")])
def test_nesting_is_bounded(opening: bytes, closing: bytes) -> None:
    for depth in (1, MAX_JSON_DEPTH):
        decode_json(opening * depth + b"0" + closing * depth)
    for depth in (MAX_JSON_DEPTH + 1, 5_000, 100_000):
        with pytest.raises(InvalidDataError):
            decode_json(opening * depth + b"0" + closing * depth)


def test_brackets_that_do_not_nest_are_not_counted() -> None:
    wide = [{"text": '[{"\\' * MAX_JSON_DEPTH}] * MAX_JSON_DEPTH
    assert decode_json(json.dumps(wide)) == wide


@pytest.mark.parametrize(
    "data",
    [
        *(b"", b"nul", b"[1", b'"\xff"', b'"\\ud800"', "\ud800", b"NaN", b"1e999"),
        *(b"9" * 5000, b"[" * 100_000, b'["' * 1000, b" " * (MAX_JSON_BYTES + 1)),
    ],
    ids=lambda data: repr(data[:12]),
)
def test_malformed_data_raises_the_one_error(data) -> None:
    with pytest.raises(InvalidDataError):
        decode_json(data)


@pytest.mark.parametrize("text", ["0", "-1", "true", "1.0", '"1"', "9" * 30, "9" * 400])
def test_a_number_out_of_range_or_of_another_type_is_refused(text: str) -> None:
    with pytest.raises(InvalidDataError):
        decode_json(text, Ordinal)


@settings(derandomize=True, deadline=None)
@given(st.binary() | st.text())
def test_any_data_is_a_value_or_the_one_error(data) -> None:
    try:
        decode_json(data)
    except InvalidDataError:
        return


@settings(derandomize=True, deadline=None)
@given(st.lists(st.text('[]{}"\\\\a', max_size=9), min_size=9), st.integers(1, 99))
def test_brackets_in_strings_are_not_counted(texts: list[str], depth: int) -> None:
    value: object = texts
    for _ in range(depth - 1):
        value = [*texts, value]
    if depth <= MAX_JSON_DEPTH:
        assert decode_json(json.dumps(value)) == value
        return
    with pytest.raises(InvalidDataError, match="nested"):
        decode_json(json.dumps(value))
