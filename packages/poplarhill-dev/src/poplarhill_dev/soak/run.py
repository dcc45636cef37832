"""Runs a soak of one seed and judges what callers and workers saw."""

import json
import shutil
import signal
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

import click
import curio

from poplarhill.http import Request
from poplarhill_dev.soak.callers import PATIENCE_S, Caller, HostLink, first_served_s
from poplarhill_dev.soak.checker import check_soak
from poplarhill_dev.soak.fleet import SoakFleet
from poplarhill_dev.soak.injector import Injector, version_prefix
from poplarhill_dev.soak.schedule import Schedule, draw
from poplarhill_dev.trace import Violation

_PROBE_S = 0.15
_JUDGE_S = 5.0
_GIVE_UP_S = 25.0  # twice the time in which service must be back
_CALLERS_A_WORKER = 0.7
_CALLERS = (2, 48)  # more would make this loop late


class Soak(NamedTuple):
    """What is run.

    Attributes:
        seed: Seed of faults and callers.
        hosts: Count of entry hosts.
        workers: Count of workers.
        seconds: How long faults come, s.
    """

    seed: int
    hosts: int = 4
    workers: int = 6
    seconds: float = 20.0


class Verdict(NamedTuple):
    """What came of a soak.

    Attributes:
        soak: What was run.
        violations: Broken promises.
        summary: What was seen, in a line.
        kept: Where logs and trace of a failed soak are kept.
    """

    soak: Soak
    violations: list[Violation]
    summary: str
    kept: Path | None


def run_soak(soak: Soak, results: Path) -> Verdict:
    """Run a soak; keep its logs and trace in `results` if a promise broke."""
    hosts = [f"h{number + 1}" for number in range(soak.hosts)]
    workers = [f"w{number + 1}" for number in range(soak.workers)]
    schedule = draw(soak.seed, hosts, workers, soak.seconds)
    results.mkdir(parents=True, exist_ok=True)
    # Two soaks of one seed at a time must not share their files.
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{soak.seed}-", dir=results))
    fleet = SoakFleet(directory, schedule, hosts, workers)
    try:
        fleet.start_all()
        trace = curio.run(_Play(fleet, schedule, soak).run)
    finally:
        fleet.stop()
    trace["runs"] = _read_lines(fleet.trace_file)
    violations = check_soak(trace)
    (directory / "trace.json").write_text(json.dumps(trace))
    summary = _summary(schedule, trace)
    if violations:
        return Verdict(soak, violations, summary, directory)
    shutil.rmtree(directory)
    return Verdict(soak, violations, summary, None)


def run_soaks(soaks: list[Soak], results: Path) -> int:
    """Run soaks in turn, print each verdict, and return how many failed."""
    # Whoever ends this command ends its processes too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    broken = 0
    for soak in soaks:
        verdict = run_soak(soak, results)
        broken += bool(verdict.violations)
        state = "BROKEN" if verdict.violations else "kept"
        click.echo(f"seed {soak.seed}: {state}; {verdict.summary}")
        for violation in verdict.violations:
            click.echo(f"  {violation.outcome}: {violation.detail}")
        if verdict.kept:
            click.echo(f"  logs and trace: {verdict.kept}")
    click.echo(f"{broken} of {len(soaks)} seeds broke a promise")
    return broken


class _Play:
    """One soak on its one loop."""

    def __init__(self, fleet: SoakFleet, schedule: Schedule, soak: Soak) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._soak = soak
        self._trace: dict[str, list[dict]] = defaultdict(list)
        self._injector = Injector(fleet, self._note)
        self._stopping = False
        self._broken = False

    async def run(self) -> dict[str, list[dict]]:
        """Run everything and return the trace without the workers' part."""
        await self._injector.publish()
        await self._injector.register_workers()
        for host in self._fleet.hosts:
            self._injector.start_host(host)
        await curio.run_in_thread(self._fleet.wait_hosts_ready)
        await curio.spawn(self._injector.keep, daemon=True)
        fewest, most = _CALLERS
        count = round(self._soak.workers * _CALLERS_A_WORKER)
        count = min(most, max(fewest, count))
        callers = [
            Caller(self._fleet, number, self._soak.seed, self._note)
            for number in range(count)
        ]
        tasks = [await curio.spawn(caller.run) for caller in callers]
        tasks += [await curio.spawn(self._probe, h) for h in self._fleet.hosts]
        tasks.append(await curio.spawn(self._judge))
        await self._inject()
        await self._recover()
        self._stopping = True
        for caller in callers:
            caller.stopping = True
        for task in tasks:
            await task.join()
        await self._injector.end_hosts()
        return self._trace

    def _note(self, part: str, line: dict) -> None:
        self._trace[part].append(line)

    async def _inject(self) -> None:
        begin = time.monotonic()
        tasks = []
        for at, fault in self._schedule.faults:
            await curio.sleep(max(0.0, begin + at - time.monotonic()))
            if self._broken:
                break
            line = {"at": time.monotonic(), "kind": type(fault).__name__}
            self._note("faults", {**line, "fault": repr(fault)})
            tasks.append(await curio.spawn(self._injector.inject, fault))
        for task in tasks:
            await task.join()
        await self._injector.heal()

    async def _judge(self) -> None:
        """Judge what was seen so far; a broken promise ends the faults."""
        next_look = 0.0
        while not self._broken and not self._stopping:
            await curio.sleep(_PROBE_S)
            if time.monotonic() < next_look:
                continue
            next_look = time.monotonic() + _JUDGE_S
            seen = {part: list(lines) for part, lines in self._trace.items()}
            runs = {"runs": _read_lines(self._fleet.trace_file)}
            trace = defaultdict(list, {**seen, **runs})
            self._broken = bool(await curio.run_in_thread(check_soak, trace))

    async def _recover(self) -> None:
        """Wait until every host is started again and serves a job."""
        while not all(map(self._injector.is_up, self._fleet.hosts)):
            await curio.sleep(_PROBE_S)
        tasks = {
            host: await curio.spawn(
                first_served_s, self._fleet, host, _GIVE_UP_S, self._note
            )
            for host in self._fleet.hosts
        }
        for host, task in tasks.items():
            self._note("recovered", {"host": host, "after_s": await task.join()})

    async def _probe(self, host: str) -> None:
        """Ask a host for the routes of the newest version and the one before."""
        link = HostLink(self._fleet, host)
        while not self._stopping:
            await curio.sleep(_PROBE_S * max(1.0, len(self._fleet.hosts) / 6))
            for version in self._injector.versions[-2:]:
                request = Request("GET", version_prefix(version))
                seen = await link.ask(request, PATIENCE_S)
                if seen is not None:
                    self._note("probes", {"version": version, **seen})
        await link.close()


def _read_lines(path: Path) -> list[dict]:
    """Return the lines of the workers' trace; a killed one may leave half a line."""
    lines = path.read_text().splitlines() if path.exists() else []
    return [json.loads(line) for line in lines if line.endswith("}")]


def _summary(schedule: Schedule, trace: dict[str, list[dict]]) -> str:
    jobs = len(trace["jobs"])
    completed = {r["job"] for r in trace["requests"] if r["state"] == "completed"}
    recovered = [entry["after_s"] or _GIVE_UP_S for entry in trace["recovered"]]
    relayed = f" ({', '.join(schedule.relayed)} relayed)" if schedule.relayed else ""
    return (
        f"{'+'.join(schedule.families)}{relayed}, {len(schedule.faults)} faults, "
        f"{len(completed)} of {jobs} jobs completed, {len(trace['runs'])} lines of "
        f"workers, back after {max(recovered):.2f} s"
    )
