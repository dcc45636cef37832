"""Measures how long an accepted change takes to be in force on every daemon.

The time is from the log's timestamp of the record to the daemon's log line, both
by the clock of this machine.
"""

import json
import re
import tempfile
import time
from datetime import datetime
from pathlib import Path
from random import Random
from typing import NamedTuple

import click
import curio

from poplarhill.configuration import Accepted, Change, Publisher
from poplarhill.platform import HttpPlatform
from poplarhill_dev.fleet import (
    Fleet,
    FleetError,
    data_centre,
    free_port,
    get_page,
    get_version,
    wait_until,
)

_TIMEOUT_S = 30.0
_MAX_PAUSE_S = 1.0
_SECONDS_PER_MINUTE = 60.0
_MESSAGE_KINDS = (
    "ReadLog",
    "AppendRecord",
    "ConfigurationNews",
    "ConfigurationRequest",
    "ConfigurationOffer",
)


class SpreadResult(NamedTuple):
    """Result of a measurement.

    Attributes:
        delays_s: Time until each change was in force on the last daemon, s.
        per_change: Messages of all daemons per change, by kind.
        per_minute: Messages of all daemons per minute without changes, by kind.
    """

    delays_s: list[float]
    per_change: dict[str, float]
    per_minute: dict[str, float]


def run_spread(hosts: int, cut: int, changes: int, calm_s: float) -> None:
    """Run the measurement and print its result."""
    fleet = start_daemons(hosts, cut)
    try:
        result = _measure(fleet, changes, calm_s)
    finally:
        fleet.stop()
    delays = sorted(result.delays_s)
    click.echo(f"{hosts} hosts, {cut} of them cut off from the log, {changes} changes")
    click.echo(
        f"in force on every host: median {delays[len(delays) // 2]:.3f} s, "
        f"longest {delays[-1]:.3f} s"
    )
    for kind in _MESSAGE_KINDS:
        click.echo(
            f"{kind}: {result.per_change[kind]:.1f} per change, "
            f"{result.per_minute[kind]:.1f} per minute without changes"
        )


def start_daemons(hosts: int, cut: int, **settings: object) -> Fleet:
    """Start a platform and daemons, the last `cut` of which cannot reach it."""
    fleet = Fleet(Path(tempfile.mkdtemp(prefix="poplarhill-")))
    try:
        fleet.start_platform()
        peer_ports = {f"h{n}": free_port() for n in range(1, hosts + 1)}
        closed_port = free_port()
        for number, name in enumerate(peer_ports):
            port = closed_port if number >= hosts - cut else None
            centre = data_centre(number)
            fleet.start_daemon(name, centre, peer_ports, port, **settings)
        fleet.wait_listening()
        fleet.publish(fleet.document(), "first configuration")
        fleet.wait_ready()
    except BaseException:
        fleet.stop()
        raise
    return fleet


def publish_weight(fleet: Fleet) -> Accepted:
    """Publish a small change and return the version that it was accepted as."""
    return curio.run(_publish_weight, fleet.process("platform").port)


async def _publish_weight(port: int) -> Accepted:
    publisher = Publisher(HttpPlatform("127.0.0.1", port, _TIMEOUT_S))
    fold = await publisher.read()
    version = fold.configuration.version
    patch = {"customers": {"kelani": {"weight": version + 1}}}
    change = Change(f"c{version}", version, "dev", "measured", patch)
    outcome = await publisher.publish(change, _TIMEOUT_S)
    if not isinstance(outcome, Accepted):
        raise FleetError(f"the change was not accepted: {outcome}")
    return outcome


def wait_in_force(fleet: Fleet, version: int) -> None:
    """Wait until every daemon reports that a version is in force."""
    for process in fleet.daemons():
        wait_until(
            lambda port=process.port: get_version(port) >= version,
            f"version {version} on {process.name}",
        )


def _measure(fleet: Fleet, changes: int, calm_s: float) -> SpreadResult:
    random = Random(1)
    begin = _messages(fleet)
    versions = []
    for _ in range(changes):
        time.sleep(random.uniform(0.0, _MAX_PAUSE_S))
        versions.append(publish_weight(fleet).version)
        wait_in_force(fleet, versions[-1])
    middle = _messages(fleet)
    time.sleep(calm_s)
    end = _messages(fleet)
    minutes = calm_s / _SECONDS_PER_MINUTE
    return SpreadResult(
        delays_s=_delays(fleet, versions),
        per_change={
            kind: (middle[kind] - begin[kind]) / changes for kind in _MESSAGE_KINDS
        },
        per_minute={
            kind: (end[kind] - middle[kind]) / minutes for kind in _MESSAGE_KINDS
        },
    )


def _messages(fleet: Fleet) -> dict[str, float]:
    totals = dict.fromkeys(_MESSAGE_KINDS, 0.0)
    for process in fleet.daemons():
        text = get_page(process.port, "/metrics").decode()
        for kind, value in re.findall(r'messages_total\{kind="(\w+)"\} (\S+)', text):
            if kind in totals:
                totals[kind] += float(value)
    return totals


def _delays(fleet: Fleet, versions: list[int]) -> list[float]:
    """Return the time from each record to the last daemon's log line, s."""
    accepted = curio.run(_record_times, fleet.process("platform").port)
    in_force = [_in_force_times(fleet, process.name) for process in fleet.daemons()]
    return [
        max(times[version] for times in in_force) - accepted[version]
        for version in versions
    ]


async def _record_times(port: int) -> dict[int, float]:
    publisher = Publisher(HttpPlatform("127.0.0.1", port, _TIMEOUT_S))
    await publisher.read()
    return {
        decided.outcome.version: decided.record.time
        for decided in publisher.history
        if isinstance(decided.outcome, Accepted)
    }


def _in_force_times(fleet: Fleet, name: str) -> dict[int, float]:
    times: dict[int, float] = {}
    for line in (fleet.directory / f"{name}.log").read_text().splitlines():
        entry = json.loads(line)
        if entry["event"] == "ConfigurationInForce":
            in_force_at = datetime.fromisoformat(entry["timestamp"]).timestamp()
            for version in range(entry["previous"] + 1, entry["version"] + 1):
                times.setdefault(version, in_force_at)
    return times
