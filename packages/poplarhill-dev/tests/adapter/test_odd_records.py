"""Pages and records of the store that cannot be decoded."""

import base64
import json
import struct
from collections.abc import Callable
from urllib.parse import parse_qs

import curio
import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill.http import Response
from poplarhill_platform.topics import KeyedTopic, encode_record
from poplarhilld.entry.ports import UnavailableError

NUMBER = "9" * 5_000
SOUND = {"key": "w1", "value": base64.b64encode(b"{}").decode(), "offset": 3}


class Store:
    """Answers each call with the next of some bodies.

    Args:
        bodies: Bodies of the responses.
    """

    def __init__(self, *bodies: bytes) -> None:
        self._bodies = list(bodies)
        self.queries: list[dict[str, list[str]]] = []

    async def call(self, method: str, path: str, *args: object, query: str) -> Response:
        """Return the next response."""
        self.queries.append(parse_qs(query, strict_parsing=True))
        return Response(200, {}, self._bodies.pop(0))


def page(*items: object, has_more: bool = False, end: object = 9) -> bytes:
    """Return a page of the latest values."""
    page = {"items": items, "has_more": has_more, "end": end}
    return json.dumps(page).encode().replace(b'"NUMBER"', NUMBER.encode())


def records(*raw: bytes) -> bytes:
    """Return a response to a read."""
    framed = [struct.pack(">I", len(record)) + record for record in raw]
    return struct.pack(">QQ", 9, 0) + b"".join(framed)


@pytest.fixture
def refresh() -> Callable:
    """Return a function that refreshes a topic once for each body."""

    def refresh(*bodies: bytes, times: int = 1) -> tuple[KeyedTopic, Store]:
        store = Store(*bodies)
        topic = KeyedTopic(store, "keyed.servers")

        async def main() -> None:
            for _ in range(times):
                await topic.refresh()

        curio.run(main)
        return topic, store

    return refresh


ODD_ITEMS = [
    *(
        None,
        [],
        "a",
        5,
        {},
        {**SOUND, "key": None},
        {**SOUND, "value": 5},
        {**SOUND, "key": ""},
    ),
    *({**SOUND, "key": "odd", "value": value} for value in ("=", "a", "é", "e30=!")),
    *({**SOUND, "key": "odd", "offset": offset} for offset in (-1, 2**70, "NUMBER")),
]


# Guards against hosts that end, or take no list, because of one item of a page.
@pytest.mark.parametrize("item", ODD_ITEMS, ids=str)
def test_an_odd_item_of_a_page_costs_only_itself(refresh, item: object) -> None:
    with structlog.testing.capture_logs() as lines:
        topic, _ = refresh(page(item, SOUND, item))
    assert topic.values == {"w1": b"{}"}
    assert [line["event"] for line in lines] == ["RecordIgnored"]
    assert len(str(lines)) < 500


@pytest.mark.parametrize(
    "body",
    [
        *(b"", b"[]", b"null", b"{}", b"\xff", page(end=-1), page(end=2**70)),
        *(page(end="NUMBER"), b'{"x":' + b"[" * 100_000, page(5, has_more=True)),
    ],
    ids=lambda body: repr(body[:20]),
)
def test_an_odd_page_counts_as_no_answer(refresh, body: bytes) -> None:
    with pytest.raises(UnavailableError):
        refresh(body)


# Guards against pages that are lost after a key such as `a&b`, or are read for ever.
@pytest.mark.parametrize("key", ["a&b", "a=b", "a#b", "a b", "a/b", "a%41", "ä"])
def test_the_next_page_is_asked_for_by_any_key(refresh, key: str) -> None:
    first = page({**SOUND, "key": key}, has_more=True)
    topic, store = refresh(first, page(SOUND))
    assert store.queries[1]["depends_on"] == [key]
    assert set(topic.values) == {key, "w1"}


# Guards against workers whose names no request or frame can carry.
@pytest.mark.parametrize(
    "record", [b"", b"\x00", b"\x00{}", b"\x05w1", b"\x02\xff\xfe{}", b"\x02w"]
)
def test_a_record_without_a_valid_key_is_ignored(refresh, record: bytes) -> None:
    sound = encode_record("w1", b"{}")[4:]
    read = records(record, sound, record)
    with structlog.testing.capture_logs() as lines:
        topic, _ = refresh(page(), read, records(record), times=3)
    assert topic.values == {"w1": b"{}"}
    assert (topic.offsets["w1"], topic.end) == (10, 13)
    assert [line["event"] for line in lines] == ["RecordIgnored"]


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=60), st.binary(max_size=60))
def test_any_answer_is_applied_or_counts_as_none(first: bytes, second: bytes) -> None:
    async def main() -> None:
        for bodies in ((first, second), (page(), second)):
            topic = KeyedTopic(Store(*bodies, page()), "keyed.op")
            for _ in bodies:
                try:
                    await topic.refresh()
                except UnavailableError:
                    break

    curio.run(main)
