"""Every decoder of data from outside takes any data."""

import ast
import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import poplarhill
import poplarhill_platform
import poplarhilld
from poplarhill.cli import _support
from poplarhill.configuration.records import decode_record
from poplarhill.decoding import decode_json
from poplarhill.exceptions import PoplarhillError, SettingsError
from poplarhill.http import Request, Response
from poplarhill.platform import Appended, Batch, HostList, Record, Truncated
from poplarhill.platform.client import _decode as decode_log_reply
from poplarhill.story import read_lines
from poplarhill_dev.leased import worker_entry
from poplarhill_platform import callers, store, topics, workers
from poplarhill_platform_dev import configuration, worker_record
from poplarhilld.api.requests import parse_job
from poplarhilld.catalogue import Route
from poplarhilld.claims.ledger import Ledger
from poplarhilld.entry.ports import UnavailableError
from poplarhilld.entry.settings import EntrySettings
from poplarhilld.peers.codec import Envelope, FrameError, decode, encode
from poplarhilld.peers.messages import (
    JobOffer,
    OfferedJob,
    ReducedWorker,
    WorkersReport,
)
from poplarhilld.settings import Settings

ROUTE = Route("r", "h", "/r/", "s", 1.5)
NO_HEADERS = Request("POST", "/r/1", "", {}, b"")
ENDPOINT = {"host": "127.0.0.1", "port": 7001}
ADDRESS = "127.0.0.1:7001"


class Decoder(NamedTuple):
    """A decoder of data from outside.

    Attributes:
        name: What it decodes.
        decode: Decodes some data.
        sound: A value that it takes.
        error: The only exception that it may raise, if any.
    """

    name: str
    decode: Callable[[bytes], object]
    sound: Any
    error: type[Exception] | tuple[()] = ()


def send_worker(data: bytes) -> None:
    """Decode the registration of a worker and report it to another host."""
    for worker in (
        store._Entries(store._worker, "E", "worker").decode({"w": data}).values()
    ):
        report = WorkersReport((ReducedWorker("w", worker.draining, worker.room),))
        decode(encode(Envelope("h1", report)))


def send_job(data: bytes) -> None:
    """Decode a job and offer it to another host."""
    job = callers._submission(ROUTE, "j", decode_json(data, callers._Job), NO_HEADERS)
    fields = (1, 2, 1.5, 0.5, 0.25, 1.0)
    offer = JobOffer(job.job_id, "r", "s", job.body, job.steps, *fields)
    decode(encode(Envelope("h1", OfferedJob(4, offer))))


def file_of(data: bytes) -> Path:
    """Return a file with these bytes."""
    path = Path(_directory) / "file.json"
    path.write_bytes(data)
    return path


_directory = ""
OK_REPLY = [
    {"clock_ms": 5, "born": 7, "running": [["j", 1, "", 4]]},
    {"clock_ms": 5, "reason": "late"},
]
STEP = {"count": 2, "cpu": 500, "mem_mb": 64, "gpu": 1, "estimated_ms": 9.5}
CLAIM = {"host": "h1", "incarnation": 3, "first": 1, "keys": ["a"], "released": [2]}
CHANGE = {
    "type": "change",
    "change_id": "c",
    "base_version": 1,
    "author": "a",
    "note": "n",
    "patch": {"services": {}},
}
SNAPSHOT = {
    "type": "snapshot",
    "version": 1,
    "document": {},
    "next_offset": 2,
    "time": 1.5,
    "winners": {"3": "c"},
}
ENTRY = {
    "name": "h1",
    "data_centre": "dc1",
    "callers": ADDRESS,
    "readiness": ADDRESS,
    "peers": ADDRESS,
    "metrics": ADDRESS,
    "store": ADDRESS,
    "seeds": ADDRESS,
    "cores": 2,
    "lease_ms": 1000,
    "remote_slowdown": "1.5",
}
DAEMON = {
    "name": "h1",
    "data_centre": "dc1",
    "listen": ENDPOINT,
    "peer_listen": ENDPOINT,
    "platform": ENDPOINT,
    "peers": {"h2": ENDPOINT},
    "log_retention_s": 60.5,
}
ITEM = {"key": "w1", "value": "e30=", "offset": 3}
DECODERS = [
    Decoder("workers", send_worker, worker_record(worker_entry("w1"))),
    Decoder(
        "hosts",
        lambda data: store._Entries(store._host_address, "E", "host").decode(
            {"h": data}
        ),
        {"address": ADDRESS},
    ),
    Decoder(
        "configuration",
        store.decode_configuration,
        configuration(3, ["/a/"], 1.5),
        ValueError,
    ),
    Decoder(
        "pages of the store",
        topics._decode_page,
        {"items": [ITEM], "end": 5, "has_more": False},
        UnavailableError,
    ),
    Decoder(
        "items of a page",
        lambda data: decode_json(data, topics._Item),
        ITEM,
        ValueError,
    ),
    Decoder("records", lambda data: list(topics._decode_records(data)), {}),
    Decoder(
        "lease replies",
        lambda data: workers._lease_reply(Response(200, {}, data)),
        OK_REPLY[0],
    ),
    Decoder(
        "order replies",
        lambda data: workers._order_reply(Response(409, {}, data)),
        OK_REPLY[1],
    ),
    Decoder("callers' jobs", send_job, {"spec": "", "steps": [STEP]}, ValueError),
    Decoder(
        "jobs of the API",
        lambda data: parse_job("s", data, None, 0.0),
        {"tasks": ["a"], "timeout_s": 5, "cores": 1.5, "memory_mb": 5},
    ),
    Decoder(
        "changes", lambda data: decode_record(data.decode("utf-8", "replace")), CHANGE
    ),
    Decoder(
        "snapshots",
        lambda data: decode_record(data.decode("utf-8", "replace")),
        SNAPSHOT,
    ),
    Decoder(
        "claims",
        lambda data: Ledger(60.0).apply(
            Record(0, 1.0, data.decode("utf-8", "replace"))
        ),
        CLAIM,
    ),
    Decoder("appends", lambda data: decode_log_reply(data, Appended), [5]),
    Decoder(
        "reads",
        lambda data: decode_log_reply(data, Batch),
        [[[0, 1.5, "{}"]], 1, 1, 1.5],
    ),
    Decoder("truncated reads", lambda data: decode_log_reply(data, Truncated), [5]),
    Decoder(
        "lists of hosts", lambda data: decode_log_reply(data, HostList), [1, ["h"], []]
    ),
    Decoder("frames", decode, {}, FrameError),
    Decoder(
        "settings",
        lambda data: Settings.from_file(file_of(data)),
        DAEMON,
        SettingsError,
    ),
    Decoder(
        "settings of an entry host",
        lambda data: EntrySettings.from_file(file_of(data)),
        ENTRY,
        SettingsError,
    ),
    Decoder(
        "replies to commands",
        lambda data: _support.decode(data, _support.FailedAnswer),
        {"error": {"kind": "timeout", "detail": "", "retry_after_s": 1.5}},
        PoplarhillError,
    ),
    Decoder(
        "documents of commands",
        lambda data: _support.load_json(file_of(data)),
        {"services": {}},
        PoplarhillError,
    ),
    Decoder("logs", lambda data: list(read_lines([data])), {"event": "Started"}),
]
NESTED = "[" * 5_000 + "]" * 5_000
ODD = [
    *("null", "true", "[]", "{}", '""', '"a"', "-1", "0", "1.5", "1e400", "-1e300"),
    *("NaN", "9" * 20, "9" * 30, "-" + "9" * 400, "9" * 5_000, NESTED, "[" * 100_000),
    *(
        '"\\ud800"',
        '"\\u0000"',
        '"127.0.0.1:99999"',
        '"127.0.0.1:٧"',
        '"' + "a" * 9999 + '"',
    ),
]
_PLACE = "a place that is replaced"


def places(value: Any) -> Iterator[Any]:
    """Yield copies of a value, each with another place in it marked."""
    yield _PLACE
    match value:
        case dict():
            for key, inner in value.items():
                for marked in places(inner):
                    yield {**value, key: marked}
            yield {**value, "unknown": _PLACE}
        case list():
            for index, inner in enumerate(value):
                for marked in places(inner):
                    yield [*value[:index], marked, *value[index + 1 :]]


@pytest.fixture(autouse=True)
def directory(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the directory of `file_of`."""
    monkeypatch.setitem(globals(), "_directory", str(tmp_path))


@pytest.fixture(params=DECODERS, ids=lambda decoder: decoder.name)
def decoder(request: pytest.FixtureRequest) -> Decoder:
    return request.param


def take(decoder: Decoder, data: bytes) -> None:
    """Decode some data; let through any error but the expected one."""
    try:
        decoder.decode(data)
    except decoder.error as error:
        assert len(str(error)) < 1_000


def test_a_decoder_takes_a_sound_value(decoder: Decoder) -> None:
    if decoder.name != "frames":
        decoder.decode(json.dumps(decoder.sound).encode())


# Guards against a process that ends because one place decodes with a list of
# exceptions, or ranges, of its own.
def test_an_odd_value_in_any_place_raises_no_other_error(decoder: Decoder) -> None:
    for marked in places(decoder.sound):
        text = json.dumps(marked)
        for odd in ODD:
            take(decoder, text.replace(f'"{_PLACE}"', odd).encode())


def test_any_bytes_raise_no_other_error(decoder: Decoder) -> None:
    sound = json.dumps(decoder.sound).encode()

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.data())
    def run(data: st.DataObject) -> None:
        raw = bytearray(data.draw(st.just(sound) | st.binary(max_size=99)))
        for _ in range(data.draw(st.integers(0, 4)) if raw else 0):
            raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(
                st.integers(0, 255)
            )
        take(decoder, bytes(raw))

    run()


# Decode JSON themselves: the one decoder, and the check of an operator's file, which
# names the line of each fault.
ALLOWED = {"poplarhill/decoding.py", "poplarhill/configuration/check/source.py"}
DECODING_NAMES = {
    *("json.decode", "json.loads", "json.load", "json.Decoder", "json.JSONDecoder"),
    *("json.decoder", "msgspec.convert", "msgspec.msgpack"),
}


# Guards against a new place that decodes data with a list of exceptions of its own.
def test_no_other_module_decodes_json() -> None:
    found = set()
    for package in (poplarhill, poplarhilld, poplarhill_platform):
        root = Path(package.__file__).parent
        for path in root.rglob("*.py"):
            tree = ast.parse(path.read_text())
            used = {
                ast.unparse(n) for n in ast.walk(tree) if isinstance(n, ast.Attribute)
            }
            imported = {
                f"{node.module}.{alias.name}"
                for node in ast.walk(tree)
                if isinstance(node, ast.ImportFrom)
                for alias in node.names
            }
            for name in used | imported:
                if any(name == n or name.endswith(f".{n}") for n in DECODING_NAMES):
                    found.add(str(path.relative_to(root.parent)))
    assert found == ALLOWED
