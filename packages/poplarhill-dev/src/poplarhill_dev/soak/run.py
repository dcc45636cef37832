"""Runs soaks and checks the traces of their callers and workers."""

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
from poplarhill_dev.soak.callers import (
    ANSWER_TIMEOUT_S,
    Caller,
    HostClient,
    recovery_time_s,
)
from poplarhill_dev.soak.checker import check_soak
from poplarhill_dev.soak.fleet import SoakFleet
from poplarhill_dev.soak.injector import Injector, version_prefix
from poplarhill_dev.soak.schedule import Schedule, draw_schedule
from poplarhill_dev.trace import Violation

_PROBE_INTERVAL_S = 0.15
_CHECK_INTERVAL_S = 5.0
_RECOVERY_TIMEOUT_S = 25.0  # twice the time in which a host must recover
_CALLERS_PER_WORKER = 0.7
_CALLER_COUNTS = (2, 48)  # more callers would delay this process's event loop


class Soak(NamedTuple):
    """Parameters of a soak.

    Attributes:
        seed: Seed of the faults and callers.
        hosts: Number of entry hosts.
        workers: Number of workers.
        seconds: Duration of fault injection, s.
        evacuations: Whether data centres are evacuated beside the other faults.
    """

    seed: int
    hosts: int = 4
    workers: int = 6
    seconds: float = 20.0
    evacuations: bool = False


class Verdict(NamedTuple):
    """Outcome of a soak.

    Attributes:
        soak: Parameters of the soak.
        violations: Violated guarantees.
        summary: One line of figures.
        artifacts: Directory with the logs and trace of a failed soak.
    """

    soak: Soak
    violations: list[Violation]
    summary: str
    artifacts: Path | None


def run_soak(soak: Soak, results: Path) -> Verdict:
    """Run a soak; keep its logs and trace in `results` if a guarantee is violated."""
    hosts = [f"h{number + 1}" for number in range(soak.hosts)]
    workers = [f"w{number + 1}" for number in range(soak.workers)]
    schedule = draw_schedule(soak.seed, hosts, workers, soak.seconds, soak.evacuations)
    results.mkdir(parents=True, exist_ok=True)
    # Concurrent soaks of one seed must not share files.
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{soak.seed}-", dir=results))
    fleet = SoakFleet(directory, schedule, hosts, workers)
    try:
        fleet.start_all()
        trace = curio.run(_SoakRun(fleet, schedule, soak).run)
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
    # On SIGTERM, exit through `finally` so that the soak's processes are stopped.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    failed = 0
    for soak in soaks:
        verdict = run_soak(soak, results)
        failed += bool(verdict.violations)
        state = "BROKEN" if verdict.violations else "kept"
        click.echo(f"seed {soak.seed}: {state}; {verdict.summary}")
        for violation in verdict.violations:
            click.echo(f"  {violation.outcome}: {violation.detail}")
        if verdict.artifacts:
            click.echo(f"  logs and trace: {verdict.artifacts}")
    click.echo(f"{failed} of {len(soaks)} seeds broke a promise")
    return failed


class _SoakRun:
    """One soak on one event loop."""

    def __init__(self, fleet: SoakFleet, schedule: Schedule, soak: Soak) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._soak = soak
        self._trace: dict[str, list[dict]] = defaultdict(list)
        self._injector = Injector(fleet, self._note)
        self._stopping = False
        self._violated = False

    async def run(self) -> dict[str, list[dict]]:
        """Run the soak and return its trace without the workers' `runs`."""
        await self._injector.publish()
        await self._injector.register_workers()
        for host in self._fleet.hosts:
            self._injector.start_host(host)
        await curio.run_in_thread(self._fleet.wait_hosts_ready)
        supervisor = await curio.spawn(self._injector.supervise, daemon=True)
        try:
            await self._run_callers()
        finally:
            # It must not start tasks while curio cancels those that are left.
            await supervisor.cancel()
        return self._trace

    async def _run_callers(self) -> None:
        """Run callers and probes while faults are injected, then stop the hosts."""
        fewest, most = _CALLER_COUNTS
        count = round(self._soak.workers * _CALLERS_PER_WORKER)
        count = min(most, max(fewest, count))
        callers = [
            Caller(self._fleet, number, self._soak.seed, self._note)
            for number in range(count)
        ]
        tasks = [await curio.spawn(caller.run) for caller in callers]
        tasks += [await curio.spawn(self._probe, h) for h in self._fleet.hosts]
        tasks.append(await curio.spawn(self._check_while_running))
        await self._inject()
        await self._recover()
        self._stopping = True
        for caller in callers:
            caller.stopping = True
        for task in tasks:
            await task.join()
        await self._injector.stop_hosts()

    def _note(self, name: str, line: dict) -> None:
        self._trace[name].append(line)

    async def _inject(self) -> None:
        begin = time.monotonic()
        tasks = []
        for at, fault in self._schedule.faults:
            await curio.sleep(max(0.0, begin + at - time.monotonic()))
            if self._violated:
                break
            line = {"at": time.monotonic(), "kind": type(fault).__name__}
            self._note("faults", {**line, "fault": repr(fault)})
            tasks.append(await curio.spawn(self._injector.inject, fault))
        for task in tasks:
            await task.join()
        await self._injector.clear_link_faults()

    async def _check_while_running(self) -> None:
        """Check the trace periodically; a violation stops further faults."""
        next_check = 0.0
        while not self._violated and not self._stopping:
            await curio.sleep(_PROBE_INTERVAL_S)
            if time.monotonic() < next_check:
                continue
            next_check = time.monotonic() + _CHECK_INTERVAL_S
            snapshot = {name: list(lines) for name, lines in self._trace.items()}
            runs = {"runs": _read_lines(self._fleet.trace_file)}
            trace = defaultdict(list, {**snapshot, **runs})
            self._violated = bool(await curio.run_in_thread(check_soak, trace))

    async def _recover(self) -> None:
        """Wait until every host is up, and record when each completes a job."""
        while not all(map(self._injector.is_up, self._fleet.hosts)):
            await curio.sleep(_PROBE_INTERVAL_S)
        tasks = {
            host: await curio.spawn(
                recovery_time_s, self._fleet, host, _RECOVERY_TIMEOUT_S, self._note
            )
            for host in self._fleet.hosts
        }
        for host, task in tasks.items():
            self._note("recovered", {"host": host, "after_s": await task.join()})

    async def _probe(self, host: str) -> None:
        """Request the routes of the two newest versions from a host."""
        client = HostClient(self._fleet, host)
        while not self._stopping:
            await curio.sleep(_PROBE_INTERVAL_S * max(1.0, len(self._fleet.hosts) / 6))
            for version in self._injector.versions[-2:]:
                request = Request("GET", version_prefix(version))
                outcome = await client.send(request, ANSWER_TIMEOUT_S)
                if outcome is not None:
                    self._note("probes", {"version": version, **outcome})
        await client.close()


def _read_lines(path: Path) -> list[dict]:
    """Return the lines of the workers' trace.

    A killed worker may leave a truncated line, which is skipped.
    """
    lines = path.read_text().splitlines() if path.exists() else []
    return [json.loads(line) for line in lines if line.endswith("}")]


def _summary(schedule: Schedule, trace: dict[str, list[dict]]) -> str:
    jobs = len(trace["jobs"])
    completed = {r["job"] for r in trace["requests"] if r["state"] == "completed"}
    recovered = [
        entry["after_s"] or _RECOVERY_TIMEOUT_S for entry in trace["recovered"]
    ]
    relayed = f" ({', '.join(schedule.relayed)} relayed)" if schedule.relayed else ""
    return (
        f"{'+'.join(schedule.families)}{relayed}, {len(schedule.faults)} faults, "
        f"{len(completed)} of {jobs} jobs completed, {len(trace['runs'])} lines of "
        f"workers, back after {max(recovered):.2f} s"
    )
