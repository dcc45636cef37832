"""The processes of a soak: store, relay, workers and entry hosts."""

import json
import os
import signal
import sys
from pathlib import Path
from typing import NamedTuple

import msgspec

from poplarhill.types import Address
from poplarhill_dev.fleet import Fleet, data_centre, free_port, wait_until
from poplarhill_dev.leased import worker_entry
from poplarhill_dev.loopback import get_status
from poplarhill_dev.relay_plan import RelayPlan, Route
from poplarhill_dev.soak.faults import Reload
from poplarhill_dev.soak.schedule import STORE, Schedule, clock_offset_s
from poplarhill_platform_dev import worker_record
from poplarhill_platform_dev.processes import WrittenRecord

GRACE_S = 6.0
_RELOADED_GRACE_S = 5.0
_LOOPBACK = "127.0.0.1"
_NETWORKS = 250
_LINK_DELAY_S = 0.0005
_MAX_PLACES_PER_RELAY = 16  # a relay of 200 places falls behind by seconds
_WORKERS_TOPIC = "keyed.servers"


class HostAddresses(NamedTuple):
    """Addresses of a host's listeners, all on the host's own IP address."""

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address


class SoakFleet(Fleet):
    """Processes on loopback addresses, behind relays where the schedule says so.

    Attributes:
        lives: Number of starts of each host and worker.
        ids: Current worker name on each worker's machine.
        hosts: Addresses of each host's listeners.
        store: Address of the store.

    Args:
        directory: Directory for settings, logs and the workers' trace.
        schedule: The faults drawn from the seed.
        hosts: Names of the entry hosts.
        workers: Names of the workers' machines.
    """

    def __init__(
        self, directory: Path, schedule: Schedule, hosts: list[str], workers: list[str]
    ) -> None:
        super().__init__(directory)
        self._seed = schedule.seed
        self.lives: dict[str, int] = dict.fromkeys((*hosts, *workers), 0)
        self.ids = {worker: worker for worker in workers}
        self.hosts = {host: _addresses(number) for number, host in enumerate(hosts)}
        self.store = Address(_LOOPBACK, free_port())
        self._worker_ports = {worker: free_port() for worker in workers}
        places = {addresses.peers.host: host for host, addresses in self.hosts.items()}
        count = 1 + (len(hosts) + len(workers)) // _MAX_PLACES_PER_RELAY
        self._relays = [
            RelayPlan(free_port(), _LINK_DELAY_S, [], places) for _ in range(count)
        ]
        self._reachable_at: dict[str, str] = {}
        for host, addresses in self.hosts.items():
            self._add_place(host, addresses.peers, "hosts" in schedule.relayed)
        self._add_place(STORE, self.store, "store" in schedule.relayed)
        for worker, port in self._worker_ports.items():
            address = Address(_LOOPBACK, port)
            self._add_place(worker, address, "workers" in schedule.relayed)

    @property
    def relay_ports(self) -> list[int]:
        """Control ports of the relays."""
        return [relay.control for relay in self._relays]

    @property
    def trace_file(self) -> Path:
        """File to which workers append the tasks that they run."""
        return self.directory / "runs.jsonl"

    def start_all(self) -> None:
        """Start all processes except the hosts, which need a configuration first."""
        self._start_stand_in(STORE, self.store.port, STORE)
        for worker in self.ids:
            self.start_worker(worker)
        for number, relay in enumerate(self._relays):
            path = self.directory / f"relay{number}.json"
            path.write_bytes(msgspec.json.encode(relay))
            self._start_module(path.stem, relay.control, ["relay", str(path)])
        self.wait_listening()

    def start_worker(self, name: str) -> None:
        """Start the next life of a worker."""
        self.lives[name] += 1
        options = ["--name", self.ids[name], "--life", str(self.lives[name])]
        options += ["--trace", str(self.trace_file)]
        self._start_stand_in(name, self._worker_ports[name], "worker", *options)

    def start_host(self, name: str) -> None:
        """Start the next life of a host, with an offset of its wall clock."""
        self.lives[name] += 1
        self.write_settings(name)
        offset_s = clock_offset_s(self._seed, name, self.lives[name])
        command = [
            sys.executable,
            "-m",
            "poplarhill_dev.soak.skewed",
            f"{offset_s:.3f}",
        ]
        command += ["--settings", str(self.directory / f"{name}.json")]
        self._start(name, self.hosts[name].callers.port, command)

    def can_reload(self, host: str, change: Reload) -> bool:
        """Return whether a host can be sent SIGHUP after a change of its settings.

        Before its interpreter runs, SIGHUP ends the process, whatever the program
        does. A host must also have read valid settings before they become unreadable;
        it installs its SIGHUP handler after that.
        """
        pid = self.process(host).handle.pid
        try:
            status = Path(f"/proc/{pid}/status").read_text()
        except FileNotFoundError:
            return False
        masks = dict(line.split(":\t") for line in status.splitlines() if "Sig" in line)
        handled = int(masks["SigCgt"], 16)
        if change is not Reload.UNREADABLE:
            handled |= int(masks["SigIgn"], 16)
        return bool(handled & 1 << (signal.SIGHUP - 1))

    def wait_hosts_ready(self) -> None:
        """Wait until every host is ready to accept jobs."""
        for name, addresses in self.hosts.items():
            ip, port = addresses.readiness
            wait_until(
                lambda ip=ip, port=port: get_status(port, "/", ip) == 200,
                f"{name} ready",
            )

    def write_settings(self, name: str, change: Reload | None = None) -> None:
        """Write the settings of a host, with a change if one is given."""
        seeds = [self._reachable_at[host] for host in self.hosts]
        addresses = self.hosts[name]._asdict()
        settings = {
            "name": name,
            "data_centre": data_centre(int(name[1:]) - 1),
            **{key: _host_and_port(address) for key, address in addresses.items()},
            "store": self._reachable_at[STORE],
            "advertise": self._reachable_at[name],
            "seeds": ",".join(seeds[-2:] if change is Reload.SEEDS else seeds[:3]),
            "grace_s": _RELOADED_GRACE_S if change is Reload.GRACE else GRACE_S,
        }
        text = json.dumps(settings, indent=2)
        if change is Reload.UNREADABLE:
            text = text[: len(text) // 2]
        (self.directory / f"{name}.json").write_text(text)

    def entry_record(self, worker: str, draining: bool = False) -> WrittenRecord:
        """Return the store record of a worker's entry."""
        ip, _, port = self._reachable_at[worker].partition(":")
        entry = worker_entry("w0")._replace(
            name=self.ids[worker],
            address=Address(ip, int(port)),
            data_centre=data_centre(int(worker[1:]) - 1),
            draining=draining,
        )
        return WrittenRecord(_WORKERS_TOPIC, entry.name, worker_record(entry))

    def deletion_record(self, worker: str) -> WrittenRecord:
        """Return the record that deletes a worker's entry from the store."""
        return WrittenRecord(_WORKERS_TOPIC, self.ids[worker], None)

    def _add_place(self, place: str, address: Address, relayed: bool) -> None:
        """Set the address at which hosts reach a process: its own or a relay's."""
        if relayed:
            route = Route(free_port(), *address, place)
            relay = min(self._relays, key=lambda relay: len(relay.routes))
            relay.routes.append(route)
            address = Address(_LOOPBACK, route.port)
        self._reachable_at[place] = _host_and_port(address)

    def _start_stand_in(self, name: str, port: int, verb: str, *options: str) -> None:
        command = [sys.executable, "-m", "poplarhill_platform_dev", verb]
        command += ["--listen", f"{_LOOPBACK}:{port}", *options]
        self._start(name, port, command)


def _addresses(number: int) -> HostAddresses:
    """Return addresses on an IP address derived from the process id.

    Soaks that run at the same time share a network only if their process ids differ
    by a multiple of `_NETWORKS`.
    """
    network = os.getpid() % _NETWORKS + 1
    ip = f"127.{network}.{number // 250 + 1}.{number % 250 + 1}"
    return HostAddresses(*(Address(ip, free_port()) for _ in HostAddresses._fields))


def _host_and_port(address: Address) -> str:
    return f"{address.host}:{address.port}"
