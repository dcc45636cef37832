"""Carries the faults of a schedule out on a soak's processes."""

import time
from typing import Any

import curio
import msgspec

from poplarhill.http import ConnectionLostError, Request, fetch
from poplarhill_dev.relay_plan import Break, LinkFault
from poplarhill_dev.soak.callers import JOBS_PREFIX, ROUTE_S, Note
from poplarhill_dev.soak.faults import (
    EndHost,
    EndWorker,
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
_TELL_S = 10.0  # longer than any pause
_RETRY_S = 0.1
_POLL_S = 0.02
_DRAIN_S = 4.0
_FIRST_BACK_S = 0.5
_TOPICS = ("keyed.op", "keyed.servers", "keyed.hosts")
_EVERYWHERE = "*"
_MOMENTS = ("term", "killed", "ended", "code")


class Injector:
    """Injects faults, restarts what ended, and notes both.

    Args:
        fleet: The processes.
        note: Takes a line of the trace: the list's name and the line.
    """

    def __init__(self, fleet: SoakFleet, note: Note) -> None:
        self._fleet = fleet
        self._note = note
        self._links: list[LinkFault] = []
        self._lives: dict[str, dict] = {}
        self._back_s: dict[str, float] = {}
        self._renamed: set[str] = set()
        self._paused: dict[str, float] = {}
        self._publishing = curio.Lock()
        self._ending = False
        self.versions: list[int] = []

    def start_host(self, host: str) -> None:
        """Start the next life of a host."""
        self._fleet.start_host(host)
        self._disturb(host, "start", 0.0)
        life = {"host": host, "life": self._fleet.lives[host], "forced": False}
        self._lives[host] = {**life, **dict.fromkeys(_MOMENTS)}
        self._note("lives", self._lives[host])

    async def keep(self) -> None:
        """Start again whatever has ended, and end what outlives its grace."""
        restarting: set[str] = set()
        while True:
            await curio.sleep(_POLL_S)
            for name in (*self._fleet.hosts, *self._fleet.ids):
                if name in restarting:
                    continue
                if self._fleet.process(name).handle.poll() is not None:
                    restarting.add(name)
                    await curio.spawn(self._again, name, restarting, daemon=True)
                elif name in self._lives:
                    self._enforce_grace(self._lives[name])

    async def inject(self, fault: Fault) -> None:
        """Carry one fault out and return when it is over."""
        match fault:
            case EndHost(host, kill, back_s):
                self._end_host(host, kill, back_s)
            case ReloadHost(host, change):
                while not self._fleet.may_reload(host, change):
                    await curio.sleep(_POLL_S)
                self._fleet.write_settings(host, change)
                self._disturb(host, "reload", 0.0)
                self._fleet.reload(host)
            case Pause(name, for_s):
                await self._pause(name, for_s)
            case HarmLink(harm, for_s):
                await self._harm_link(harm, for_s)
            case Break():
                for disturbance in self._disturb_link(fault.place):
                    disturbance["end"] = disturbance["begin"]
                await self._tell_relays("/breaks", [fault])
            case HarmStore(faults, for_s):
                disturbance = self._disturb(_EVERYWHERE, "store")
                port = self._fleet.store.port
                await self._harm(port, faults, StoreFaults(), for_s)
                disturbance["end"] = time.monotonic()
            case ForgetHistory():
                for topic in _TOPICS:
                    await self._tell(self._fleet.store.port, COMPACT_PATH, None, topic)
            case EndWorker():
                await self._end_worker(fault)
            case HarmWorker(worker, faults, for_s):
                port = self._fleet.worker_ports[worker]
                await self._harm(port, faults, WorkerFaults(), for_s)
            case Publish():
                await self.publish()

    async def publish(self) -> None:
        """Publish a version whose own route replaces that of the one before."""
        async with self._publishing:
            version = (self.versions or [0])[-1] + 1
            prefixes = [JOBS_PREFIX, version_prefix(version)]
            value = configuration(version, prefixes, ROUTE_S)
            entry = {"version": version, "sent": time.monotonic(), "acked": None}
            self._note("versions", entry)
            await self._put(WrittenRecord("keyed.op", "config", value))
            entry["acked"] = time.monotonic()
            self.versions.append(version)

    async def register_workers(self) -> None:
        """Write every worker's entry to the store."""
        for worker in self._fleet.ids:
            await self._put(self._fleet.record(worker))

    async def heal(self) -> None:
        """End the faults that may still be in force."""
        self._links.clear()
        await self._tell_relays("/faults", self._links)

    def is_up(self, host: str) -> bool:
        """Return whether a host runs and was not told to end."""
        life = self._lives[host]
        return life["ended"] is None and life["term"] is None

    async def end_hosts(self) -> None:
        """Send every host SIGTERM, and return when all have ended."""
        self._ending = True
        for host in self._fleet.hosts:
            self._end_host(host, False, 0.0)
        while any(life["ended"] is None for life in self._lives.values()):
            await curio.sleep(_POLL_S)

    def _end_host(self, host: str, kill: bool, back_s: float) -> None:
        if self._fleet.process(host).handle.poll() is not None:
            return
        life = self._lives[host]
        self._back_s[host] = back_s
        now = time.monotonic()
        if kill:
            life["killed"] = life["killed"] or now
            self._disturb(host, "kill", 0.0)
            self._fleet.process(host).handle.kill()
        else:
            life["term"] = life["term"] or now
            self._disturb(host, "term", GRACE_S)
            self._fleet.terminate(host)

    def _enforce_grace(self, life: dict) -> None:
        if life["term"] is None or life["forced"]:
            return
        if time.monotonic() > life["term"] + GRACE_S:
            life["forced"] = True
            self._disturb(life["host"], "kill", 0.0)
            self._fleet.process(life["host"]).handle.kill()

    async def _again(self, name: str, restarting: set[str]) -> None:
        """Note how a process ended and start its next life."""
        ended = time.monotonic()
        if name in self._lives:
            self._lives[name]["ended"] = ended
            self._lives[name]["code"] = self._fleet.process(name).handle.returncode
        await curio.sleep(self._back_s.pop(name, _FIRST_BACK_S))
        if name not in self._lives:
            await self._next_worker(name)
        elif not self._ending:
            self.start_host(name)
        restarting.discard(name)

    async def _next_worker(self, name: str) -> None:
        if name in self._renamed:
            self._renamed.discard(name)
            await self._put(self._fleet.forgotten(name))
            self._fleet.ids[name] = f"{name}-{self._fleet.lives[name]}"
        self._fleet.start_worker(name)
        await self._put(self._fleet.record(name))

    async def _end_worker(self, fault: EndWorker) -> None:
        worker = fault.worker
        life = self._fleet.lives[worker]
        if fault.drained:
            await self._put(self._fleet.record(worker, draining=True))
            await curio.sleep(_DRAIN_S)
        process = self._fleet.process(worker).handle
        if life != self._fleet.lives[worker] or process.poll() is not None:
            return
        self._back_s[worker] = fault.back_s
        if fault.renamed:
            self._renamed.add(worker)
        # Nothing is sure after a pause began, or the last look at its runs.
        ended = (
            min(time.monotonic(), self._paused.get(worker, float("inf")))
            - ADVANCE_INTERVAL_S
        )
        line = {"worker": self._fleet.ids[worker], "life": life, "ended": ended}
        self._note("worker_lives", line)
        process.kill()

    async def _pause(self, name: str, for_s: float) -> None:
        target = _EVERYWHERE if name == STORE else name
        disturbance = self._disturb(target, "store" if name == STORE else "pause")
        self._paused.setdefault(name, disturbance["begin"])
        self._fleet.freeze(name)
        await curio.sleep(for_s)
        self._fleet.resume(name)
        self._paused.pop(name, None)
        disturbance["end"] = time.monotonic()

    async def _harm(self, port: int, harm: Any, none: Any, for_s: float) -> None:
        await self._tell(port, FAULTS_PATH, harm)
        await curio.sleep(for_s)
        await self._tell(port, FAULTS_PATH, none)

    async def _harm_link(self, fault: LinkFault, for_s: float) -> None:
        disturbances = self._disturb_link(fault.source, fault.target)
        self._links.append(fault)
        await self._tell_relays("/faults", self._links)
        await curio.sleep(for_s)
        if fault in self._links:
            self._links.remove(fault)
            await self._tell_relays("/faults", self._links)
        for disturbance in disturbances:
            disturbance["end"] = time.monotonic()

    def _disturb_link(self, *places: str) -> list[dict]:
        """Note a fault on links at the hosts that it may touch."""
        targets = [place for place in places if place in self._fleet.hosts]
        return [self._disturb(target, "link") for target in targets or [_EVERYWHERE]]

    def _disturb(self, target: str, kind: str, for_s: float | None = None) -> dict:
        """Note a fault that ends after a while, or whose end is noted later."""
        begin = time.monotonic()
        end = None if for_s is None else begin + for_s
        line = {"target": target, "kind": kind, "begin": begin, "end": end}
        self._note("disturbed", line)
        return line

    async def _put(self, record: WrittenRecord) -> None:
        await self._tell(self._fleet.store.port, RECORDS_PATH, record)

    async def _tell_relays(self, path: str, value: Any) -> None:
        for port in self._fleet.relay_ports:
            await self._tell(port, path, value)

    async def _tell(self, port: int, path: str, value: Any, query: str = "") -> None:
        """Tell a stand-in something; one that is paused or away hears it later."""
        request = Request("PUT", path, query, body=msgspec.json.encode(value))
        while True:
            try:
                await fetch(_LOOPBACK, port, request, _TELL_S)
                return
            except ConnectionLostError:
                await curio.sleep(_RETRY_S)


def version_prefix(version: int) -> str:
    """Return the path prefix of the route that only one version has."""
    return f"/v{version}/"
