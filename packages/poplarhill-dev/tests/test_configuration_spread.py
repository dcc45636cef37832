"""The configuration reaches every daemon while the log fails or is truncated."""

import json
import subprocess
from collections.abc import Callable, Iterator

import pytest

from poplarhill_dev.fleet import Fleet, get_status, put_json, wait_until
from poplarhill_dev.spread import (
    get_version,
    publish_weight,
    start_daemons,
    wait_in_force,
)

_RETENTION_S = 6.0

Start = Callable[..., Fleet]


@pytest.fixture
def start() -> Iterator[Start]:
    fleets: list[Fleet] = []

    def start_fleet(hosts: int, cut: int = 0, **settings: object) -> Fleet:
        fleets.append(start_daemons(hosts, cut, **settings))
        return fleets[-1]

    yield start_fleet
    for fleet in fleets:
        codes = fleet.stop()
        fleet.remove_files()
        assert {codes[process.name] for process in fleet.daemons()} == {0}


def set_faults(fleet: Fleet, **faults: object) -> None:
    put_json(fleet.platform_port, "/faults", faults)


def replace_host(fleet: Fleet, name: str) -> None:
    """Kill a host and start another in its place, without any state."""
    fleet.kill(name)
    fleet.restart(name)


def wait_ready(fleet: Fleet, name: str) -> None:
    port = fleet.process(name).port
    wait_until(lambda: get_status(port, "/readyz") == 200, f"{name} ready")


def expire_all_but_snapshots(fleet: Fleet) -> bool:
    """Expire old records once; return whether only snapshots are left in the log."""
    set_faults(fleet, retention_s=_RETENTION_S)
    get_status(fleet.platform_port, "/streams/configuration/records?from=0&limit=1")
    set_faults(fleet)
    try:
        return not fleet.run_cli("config", "history").stdout
    except subprocess.CalledProcessError:
        return False


def versions_in_force(fleet: Fleet, name: str) -> list[int]:
    lines = (fleet.directory / f"{name}.log").read_text().splitlines()
    entries = [json.loads(line) for line in lines]
    return [e["version"] for e in entries if e["event"] == "ConfigurationInForce"]


def test_hosts_cut_off_from_the_log_get_a_change_from_the_one_that_reads_it(
    start: Start,
) -> None:
    fleet = start(4, cut=3)
    wait_in_force(fleet, publish_weight(fleet).version)


def test_all_hosts_are_replaced_one_by_one_while_the_log_is_down(start: Start) -> None:
    fleet = start(3)
    version = publish_weight(fleet).version
    wait_in_force(fleet, version)
    set_faults(fleet, down=True)
    for process in fleet.daemons():
        replace_host(fleet, process.name)
        wait_ready(fleet, process.name)
        assert get_version(process.port) == version
    set_faults(fleet)
    wait_in_force(fleet, publish_weight(fleet).version)


def test_a_host_that_reaches_neither_log_nor_peer_is_not_ready(start: Start) -> None:
    fleet = start(1)
    set_faults(fleet, down=True)
    replace_host(fleet, "h1")
    port = fleet.process("h1").port
    wait_until(lambda: get_status(port, "/healthz") == 200, "h1 alive")
    assert get_status(port, "/readyz") == 503
    set_faults(fleet)
    wait_ready(fleet, "h1")


def test_a_new_host_gets_the_version_from_a_snapshot_in_a_truncated_log(
    start: Start,
) -> None:
    fleet = start(1, log_retention_s=_RETENTION_S)
    version = publish_weight(fleet).version
    wait_until(lambda: expire_all_but_snapshots(fleet), "only snapshots kept")
    replace_host(fleet, "h1")
    wait_ready(fleet, "h1")
    assert get_version(fleet.process("h1").port) == version
    wait_in_force(fleet, publish_weight(fleet).version)


def test_status_shows_the_age_of_the_version(start: Start) -> None:
    fleet = start(1)
    host = f"127.0.0.1:{fleet.process('h1').port}"
    shown = fleet.run_cli("status", "--host", host).stdout
    assert "ready          yes" in shown
    assert "configuration  version 1, confirmed" in shown


def test_a_host_that_was_paused_during_a_truncation_gets_the_newest_version(
    start: Start,
) -> None:
    fleet = start(2, log_retention_s=_RETENTION_S)
    fleet.freeze("h2")
    version = publish_weight(fleet).version
    wait_until(lambda: expire_all_but_snapshots(fleet), "only snapshots kept")
    fleet.resume("h2")
    wait_in_force(fleet, version)
    for process in fleet.daemons():
        versions = versions_in_force(fleet, process.name)
        assert versions == sorted(set(versions))
