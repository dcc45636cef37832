"""Injects the faults of a schedule into the processes of a soak."""

import time
from typing import Any

import curio
import msgspec

from poplarhill.http import ConnectionLostError, Request, fetch
from poplarhill_dev.fleet import data_centre
from poplarhill_dev.relay_plan import Break, LinkFault
from poplarhill_dev.soak.callers import JOBS_PREFIX, ROUTE_TIMEOUT_S, TraceSink
from poplarhill_dev.soak.faults import (
    EndHost,
    EndWorker,
    Evacuate,
    Fault,
    ForgetHistory,
    HarmLink,
    HarmStore,
    HarmWorker,
    Pause,
    Publish,
    ReloadHost,
)
from poplarhill_dev.soak.fleet import GRACE_S, SoakFleet
from poplarhill_dev.soak.schedule import STORE
from poplarhill_platform_dev import StoreFaults, WorkerFaults, configuration
from poplarhill_platform_dev.processes import (
    COMPACT_PATH,
    FAULTS_PATH,
    RECORDS_PATH,
    WrittenRecord,
)
from poplarhill_platform_dev.workers import ADVANCE_INTERVAL_S

_LOOPBACK = "127.0.0.1"
_REQUEST_TIMEOUT_S = 10.0  # longer than any pause
_RETRY_S = 0.1
_POLL_S = 0.02
_DRAIN_WAIT_S = 4.0
_DEFAULT_RESTART_DELAY_S = 0.5
_TOPICS = ("keyed.op", "keyed.servers", "keyed.hosts")
_ALL_HOSTS = "*"
_EXIT_FIELDS = ("term", "killed", "ended", "code")


class Injector:
    """Injects faults, restarts exited processes, and records both in the trace.

    Args:
        fleet: The processes.
        note: Appends a line to one of the trace's lists, given the list's name.
    """

    def __init__(self, fleet: SoakFleet, note: TraceSink) -> None:
        self._fleet = fleet
        self._note = note
        self._links: list[LinkFault] = []
        self._lives: dict[str, dict] = {}
        self._restart_delays_s: dict[str, float] = {}
        self._to_rename: set[str] = set()
        self._paused: dict[str, float] = {}
        self._publishing = curio.Lock()
        self._shutting_down = False
        self.versions: list[int] = []

    def start_host(self, host: str) -> None:
        """Start the next life of a host."""
        self._fleet.start_host(host)
        self._note_disturbance(host, "start", 0.0)
        life = {"host": host, "life": self._fleet.lives[host], "forced": False}
        self._lives[host] = {**life, **dict.fromkeys(_EXIT_FIELDS)}
        self._note("lives", self._lives[host])

    async def supervise(self) -> None:
        """Restart exited processes; kill hosts that exceed their grace period."""
        restarting: set[str] = set()
        while True:
            await curio.sleep(_POLL_S)
            for name in (*self._fleet.hosts, *self._fleet.ids):
                if name in restarting:
                    continue
                if self._fleet.process(name).handle.poll() is not None:
                    restarting.add(name)
                    await curio.spawn(self._restart, name, restarting, daemon=True)
                elif name in self._lives:
                    self._enforce_grace(self._lives[name])

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and return when it is over."""
        match fault:
            case EndHost(host, kill, back_s):
                self._stop_host(host, kill, back_s)
            case ReloadHost(host, change):
                while not self._fleet.can_reload(host, change):
                    await curio.sleep(_POLL_S)
                self._fleet.write_settings(host, change)
                self._note_disturbance(host, "reload", 0.0)
                self._fleet.reload(host)
            case Pause(name, for_s):
                await self._pause(name, for_s)
            case HarmLink(harm, for_s):
                await self._apply_link_fault(harm, for_s)
            case Break():
                for disturbance in self._note_link_disturbance(fault.place):
                    disturbance["end"] = disturbance["begin"]
                await self._put_to_relays("/breaks", [fault])
            case HarmStore(faults, for_s):
                disturbance = self._note_disturbance(_ALL_HOSTS, "store")
                port = self._fleet.store.port
                await self._apply_faults(port, faults, StoreFaults(), for_s)
                disturbance["end"] = time.monotonic()
            case ForgetHistory():
                for topic in _TOPICS:
                    await self._send_put(
                        self._fleet.store.port, COMPACT_PATH, None, topic
                    )
            case EndWorker():
                await self._stop_worker(fault)
            case HarmWorker(worker, faults, for_s):
                port = self._fleet.worker_ports[worker]
                await self._apply_faults(port, faults, WorkerFaults(), for_s)
            case Publish():
                await self.publish()
            case Evacuate():
                await self._evacuate(fault)

    async def publish(self) -> None:
        """Publish a configuration version with a route that no other version has."""
        async with self._publishing:
            version = (self.versions or [0])[-1] + 1
            prefixes = [JOBS_PREFIX, version_prefix(version)]
            value = configuration(version, prefixes, ROUTE_TIMEOUT_S)
            entry = {"version": version, "sent": time.monotonic(), "acked": None}
            self._note("versions", entry)
            await self._put_record(WrittenRecord("keyed.op", "config", value))
            entry["acked"] = time.monotonic()
            self.versions.append(version)

    async def _evacuate(self, fault: Evacuate) -> None:
        """Evacuate a data centre, and lift it after a while."""
        name = fault.data_centre
        machines = [
            worker
            for worker in self._fleet.ids
            if data_centre(int(worker[1:]) - 1) == name
        ]
        entry = {"data_centre": name, "machines": machines, "acked": None}
        entry["lifted"] = None
        self._note("evacuations", entry)
        record = WrittenRecord("keyed.op", f"evacuate/{name}", {})
        await self._put_record(record)
        entry["acked"] = time.monotonic()
        await curio.sleep(fault.for_s)
        entry["lifted"] = time.monotonic()
        await self._put_record(WrittenRecord("keyed.op", record.key, None))

    async def register_workers(self) -> None:
        """Write the entry of every worker to the store."""
        for worker in self._fleet.ids:
            await self._put_record(self._fleet.entry_record(worker))

    async def clear_link_faults(self) -> None:
        """Clear all faults of the relays' links."""
        self._links.clear()
        await self._put_to_relays("/faults", self._links)

    def is_up(self, host: str) -> bool:
        """Return whether a host runs and was not sent SIGTERM."""
        life = self._lives[host]
        return life["ended"] is None and life["term"] is None

    async def stop_hosts(self) -> None:
        """Send SIGTERM to every host and return when all have exited."""
        self._shutting_down = True
        for host in self._fleet.hosts:
            self._stop_host(host, False, 0.0)
        while any(life["ended"] is None for life in self._lives.values()):
            await curio.sleep(_POLL_S)

    def _stop_host(self, host: str, kill: bool, back_s: float) -> None:
        if self._fleet.process(host).handle.poll() is not None:
            return
        life = self._lives[host]
        self._restart_delays_s[host] = back_s
        now = time.monotonic()
        if kill:
            life["killed"] = life["killed"] or now
            self._note_disturbance(host, "kill", 0.0)
            self._fleet.process(host).handle.kill()
        else:
            life["term"] = life["term"] or now
            self._note_disturbance(host, "term", GRACE_S)
            self._fleet.terminate(host)

    def _enforce_grace(self, life: dict) -> None:
        if life["term"] is None or life["forced"]:
            return
        if time.monotonic() > life["term"] + GRACE_S:
            life["forced"] = True
            self._note_disturbance(life["host"], "kill", 0.0)
            self._fleet.process(life["host"]).handle.kill()

    async def _restart(self, name: str, restarting: set[str]) -> None:
        """Record the exit of a process and restart the process."""
        ended = time.monotonic()
        if name in self._lives:
            self._lives[name]["ended"] = ended
            self._lives[name]["code"] = self._fleet.process(name).handle.returncode
        await curio.sleep(self._restart_delays_s.pop(name, _DEFAULT_RESTART_DELAY_S))
        if name not in self._lives:
            await self._restart_worker(name)
        elif not self._shutting_down:
            self.start_host(name)
        restarting.discard(name)

    async def _restart_worker(self, name: str) -> None:
        if name in self._to_rename:
            self._to_rename.discard(name)
            await self._put_record(self._fleet.deletion_record(name))
            self._fleet.ids[name] = f"{name}-{self._fleet.lives[name]}"
        self._fleet.start_worker(name)
        await self._put_record(self._fleet.entry_record(name))

    async def _stop_worker(self, fault: EndWorker) -> None:
        worker = fault.worker
        life = self._fleet.lives[worker]
        if fault.drained:
            await self._put_record(self._fleet.entry_record(worker, draining=True))
            await curio.sleep(_DRAIN_WAIT_S)
        process = self._fleet.process(worker).handle
        if life != self._fleet.lives[worker] or process.poll() is not None:
            return
        self._restart_delays_s[worker] = fault.back_s
        if fault.renamed:
            self._to_rename.add(worker)
        # Tasks may have ended unrecorded since the last poll or the begin of a pause.
        ended = (
            min(time.monotonic(), self._paused.get(worker, float("inf")))
            - ADVANCE_INTERVAL_S
        )
        line = {"worker": self._fleet.ids[worker], "life": life, "ended": ended}
        self._note("worker_lives", line)
        process.kill()

    async def _pause(self, name: str, for_s: float) -> None:
        target = _ALL_HOSTS if name == STORE else name
        disturbance = self._note_disturbance(
            target, "store" if name == STORE else "pause"
        )
        self._paused.setdefault(name, disturbance["begin"])
        self._fleet.freeze(name)
        await curio.sleep(for_s)
        self._fleet.resume(name)
        self._paused.pop(name, None)
        disturbance["end"] = time.monotonic()

    async def _apply_faults(
        self, port: int, harm: Any, no_faults: Any, for_s: float
    ) -> None:
        await self._send_put(port, FAULTS_PATH, harm)
        await curio.sleep(for_s)
        await self._send_put(port, FAULTS_PATH, no_faults)

    async def _apply_link_fault(self, fault: LinkFault, for_s: float) -> None:
        disturbances = self._note_link_disturbance(fault.source, fault.target)
        self._links.append(fault)
        await self._put_to_relays("/faults", self._links)
        await curio.sleep(for_s)
        if fault in self._links:
            self._links.remove(fault)
            await self._put_to_relays("/faults", self._links)
        for disturbance in disturbances:
            disturbance["end"] = time.monotonic()

    def _note_link_disturbance(self, *places: str) -> list[dict]:
        """Record a link fault for the hosts at its ends, or for all if it has none."""
        targets = [place for place in places if place in self._fleet.hosts]
        return [
            self._note_disturbance(target, "link") for target in targets or [_ALL_HOSTS]
        ]

    def _note_disturbance(
        self, target: str, kind: str, for_s: float | None = None
    ) -> dict:
        """Record a fault that lasts `for_s`, or until the caller sets its end."""
        begin = time.monotonic()
        end = None if for_s is None else begin + for_s
        line = {"target": target, "kind": kind, "begin": begin, "end": end}
        self._note("disturbed", line)
        return line

    async def _put_record(self, record: WrittenRecord) -> None:
        await self._send_put(self._fleet.store.port, RECORDS_PATH, record)

    async def _put_to_relays(self, path: str, value: Any) -> None:
        for port in self._fleet.relay_ports:
            await self._send_put(port, path, value)

    async def _send_put(
        self, port: int, path: str, value: Any, query: str = ""
    ) -> None:
        """Send a PUT to a stand-in; retry while it is paused or down."""
        request = Request("PUT", path, query, body=msgspec.json.encode(value))
        while True:
            try:
                await fetch(_LOOPBACK, port, request, _REQUEST_TIMEOUT_S)
                return
            except ConnectionLostError:
                await curio.sleep(_RETRY_S)


def version_prefix(version: int) -> str:
    """Return the path prefix of the route that only one version has."""
    return f"/v{version}/"
