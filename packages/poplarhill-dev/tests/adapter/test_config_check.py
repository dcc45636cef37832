"""The check of the platform's record `config`."""

import json
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill.cli import main
from poplarhill.configuration.check import check_source, has_errors, read_bytes
from poplarhill.types import Address, Resources
from poplarhill_dev.loopback import free_port
from poplarhill_platform.store import decode_configuration
from poplarhill_platform_dev import StandInStore, configuration, worker_record
from poplarhilld.catalogue import WorkerEntry

VALID = configuration(3, ["/a/", "/b/"], 1.5)
Check = Callable[..., tuple[int, list[dict[str, Any]]]]


def changed_route(**fields: Any) -> dict[str, Any]:
    routes = [VALID["routes"][0], VALID["routes"][1] | fields]
    return VALID | {"routes": routes}


MISSPELT = {key: value for key, value in VALID["routes"][0].items() if key != "stretch"}
MISSPELT["strech"] = 1.6

# A document with one fault; severity, path, and a part of the message.
FAULTS = {
    "number in quotes": (
        VALID | {"version": "3"},
        "error /version | a whole number without quotes",
    ),
    "version with a point": (VALID | {"version": 3.0}, "error /version | got `float`"),
    "service missing": (
        VALID | {"routes": [{**VALID["routes"][0], "service": None}]},
        "error /routes/0/service | this is null",
    ),
    "routes missing": (
        {"version": 1, "services": []},
        "error / | the key 'routes' is missing",
    ),
    "misspelt key": (
        VALID | {"routes": [MISSPELT]},
        "warning /routes/0/strech | write 'stretch'",
    ),
    "same prefix": (
        changed_route(path_prefix="/a/", host="PoplarHill"),
        "warning /routes/1/path_prefix | 'b' never matches",
    ),
    "same name": (changed_route(name="a"), "warning /routes/1/name | rename"),
    "prefix without a slash": (
        changed_route(path_prefix="b/"),
        "warning /routes/1/path_prefix | begin it with a /",
    ),
    "prefix with a query": (
        changed_route(path_prefix="/b?x"),
        "warning /routes/1/path_prefix | remove that part",
    ),
    "host with a port": (
        changed_route(host="poplarhill:80"),
        "warning /routes/1/host | without scheme, port and path",
    ),
    "unknown service": (
        changed_route(service="cook"),
        "warning /routes/1/service | there is no service 'cook'",
    ),
    "service without routes": (
        VALID | {"services": [{"name": "booking"}, {"name": "cook"}]},
        "warning /services/1/name | no route leads",
    ),
    "service twice": (
        VALID | {"services": [{"name": "booking"}, {"name": "booking"}]},
        "warning /services/1/name | is here twice",
    ),
    "timeout below the objective": (
        changed_route(timeout_ms=60),
        "warning /routes/1/timeout_ms | raise timeout_ms or lower slo_ms",
    ),
    "timeout below a run": (
        changed_route(timeout_ms=40, slo_ms=0),
        "warning /routes/1/timeout_ms | the shortest tasks",
    ),
    "timeout beyond the drain": (
        changed_route(timeout_ms=6001),
        "warning /routes/1/timeout_ms | grace_s, which is 6 s by default",
    ),
    "objective below the run time": (
        changed_route(stretch=0.5, slo_ms=0),
        "warning /routes/1/stretch | at least 1",
    ),
    "no attempt": (
        changed_route(max_attempts=0),
        "warning /routes/1/max_attempts | at least 1",
    ),
    "negative priority": (
        changed_route(priority=-1),
        "warning /routes/1/priority | 0 or more",
    ),
    "negative objective": (
        changed_route(slo_ms=-1),
        "warning /routes/1/slo_ms | 0 or more",
    ),
}


@pytest.fixture
def check(tmp_path: Path) -> Check:
    """Return a function that runs the command and returns its findings."""

    def run(document: Any, *arguments: str) -> tuple[int, list[dict[str, Any]]]:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(document, indent=1))
        command = ["config", "check", str(path), "--format", "json", *arguments]
        result = CliRunner().invoke(main, command)
        assert result.exception is None or isinstance(result.exception, SystemExit)
        return result.exit_code, json.loads(result.stdout)["findings"]

    return run


@pytest.fixture
def store() -> Iterator[tuple[StandInStore, Address]]:
    """Return a store that serves in a thread, and its address."""
    stop = curio.UniversalEvent()
    started = threading.Event()
    store, address = StandInStore(), Address("127.0.0.1", free_port())

    async def serve() -> None:
        serving = await curio.spawn(store.server(*address).run)
        await curio.sleep(0)
        started.set()
        await stop.wait()
        await serving.cancel()

    thread = threading.Thread(target=curio.run, args=(serve,))
    thread.start()
    started.wait()
    yield store, address
    stop.set()
    thread.join()


def test_a_valid_record_has_no_findings(check: Check) -> None:
    assert check(VALID) == (0, [])
    assert check(changed_route(path_prefix="")) == (0, [])


@pytest.mark.parametrize("name", FAULTS)
def test_each_fault_gives_one_message(check: Check, name: str) -> None:
    document, expected = FAULTS[name]
    where, message = expected.split(" | ")
    exit_code, [finding] = check(document)
    assert exit_code == (2 if where.startswith("error") else 1)
    assert f"{finding['severity']} {finding['path']}" == where
    assert message in finding["message"] and finding["line"]


def test_differences_are_told_by_the_names_of_routes(
    check: Check, tmp_path: Path
) -> None:
    old = tmp_path / "old.json"
    old.write_text(json.dumps(VALID))
    routes = [VALID["routes"][1] | {"timeout_ms": 900}, VALID["routes"][0]]
    _, [version, changed] = check(
        VALID | {"version": 4, "routes": routes}, "--against", str(old)
    )
    assert (changed["path"], changed["old"], changed["new"]) == (
        "/routes/0/timeout_ms",
        1500,
        900,
    )
    assert changed["affects"] == "callers of poplarhill/b/"
    assert version["path"] == "/version"
    exit_code, findings = check(VALID | {"routes": routes}, "--against", str(old))
    assert exit_code == 1 and "set it to 4" in findings[0]["message"]


def test_the_store_gives_the_record_in_force_and_the_workers(
    check: Check, store: tuple[StandInStore, Address]
) -> None:
    stand_in, address = store
    against = ("--platform", f"{address.host}:{address.port}")
    stand_in.put("keyed.op", "config", VALID)
    exit_code, [finding] = check(VALID, *against)
    assert exit_code == 1 and "no worker is registered" in finding["message"]
    worker = WorkerEntry(
        "w1", "booking", address, "dc1", "r1", frozenset(), Resources(16, 64), True
    )
    stand_in.put("keyed.servers", "w1", worker_record(worker))
    [finding] = check(VALID, *against)[1]
    assert "every worker of the service 'booking' drains" in finding["message"]
    stand_in.put("keyed.servers", "w1", worker_record(worker._replace(draining=False)))
    assert check(VALID, *against) == (0, [])
    stand_in.put_bytes("keyed.op", "config", b"[")
    path = "/no-such-file"
    assert CliRunner().invoke(main, ["config", "check", path, *against]).exit_code == 2


VALUES = st.sampled_from([None, True, 0, -1, 1.0, 2.5, "", "a", "/a/", 2**70])
KEYS = st.sampled_from(["name", "service", "slo_ms", "priority", "timeout_ms", "x"])


# Guards against a record that the check accepts and the daemon cannot decode, which
# would leave hosts at the version before, or the reverse.
@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.dictionaries(KEYS, VALUES, max_size=2),
    st.sampled_from(["version", "routes", "services", "x"]),
    st.none() | VALUES,
)
def test_check_and_daemon_accept_the_same_records(fields, section, value) -> None:
    document = changed_route(**fields)
    if value is not None:
        document[section] = value
    data = json.dumps(document).encode()
    try:
        decode_configuration(data)
    except msgspec.DecodeError:
        accepted = False
    else:
        accepted = True
    assert has_errors(check_source(read_bytes(data))) == (not accepted)
