"""A fleet of processes on loopback: platform, workers and daemons.

The development tool starts these processes; the daemons themselves start none.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from poplarhill_dev.loopback import FleetError as FleetError
from poplarhill_dev.loopback import free_port as free_port
from poplarhill_dev.loopback import get_page as get_page
from poplarhill_dev.loopback import get_status as get_status
from poplarhill_dev.loopback import get_version as get_version
from poplarhill_dev.loopback import put_json as put_json
from poplarhill_dev.loopback import wait_until as wait_until
from poplarhill_dev.relay_plan import Cut, RelayPlan, Route

_HOST = "127.0.0.1"
_STOP_TIMEOUT_S = 60.0
_BIN = Path(sys.executable).parent
DATA_CENTRES = ("dc1", "dc2", "dc3")


class Process(NamedTuple):
    """A process that the fleet started.

    Attributes:
        name: Its name in the fleet.
        port: Port of its HTTP interface.
        handle: The process.
    """

    name: str
    port: int
    handle: subprocess.Popen


class Fleet:
    """Processes of one demo, test or experiment.

    Args:
        directory: Where settings and logs are written.
        defaults: Fleet defaults of the configuration.
        delay_s: One-way delay that a relay adds between data centres, s; no relay if
            not given.
    """

    def __init__(
        self,
        directory: Path,
        defaults: dict[str, Any] | None = None,
        delay_s: float | None = None,
    ) -> None:
        self._directory = directory
        self._relay = (
            RelayPlan(free_port(), delay_s, []) if delay_s is not None else None
        )
        self._defaults = defaults or {}
        self._processes: dict[str, Process] = {}
        self._worker_ports: dict[str, int] = {}
        self._commands: dict[str, list[str]] = {}
        self._exit_codes: list[tuple[str, int]] = []
        self._leaving: dict[str, float] = {}

    @classmethod
    def start(
        cls,
        hosts: int,
        workers: int,
        defaults: dict[str, Any] | None = None,
        worker_processes: int | None = None,
        delay_s: float | None = None,
    ) -> "Fleet":
        """Start a fleet and publish its configuration.

        Args:
            hosts: Count of entry hosts.
            workers: Count of workers.
            defaults: Fleet defaults of the configuration.
            worker_processes: Count of processes that the workers share; one per
                worker if not given.
            delay_s: One-way delay that a relay adds between data centres, s; no
                relay if not given.
        """
        fleet = cls(Path(tempfile.mkdtemp(prefix="poplarhill-")), defaults, delay_s)
        try:
            fleet.start_platform()
            fleet.start_workers(workers, worker_processes or workers)
            peer_ports = {f"h{n}": free_port() for n in range(1, hosts + 1)}
            for number, name in enumerate(peer_ports):
                fleet.start_daemon(name, data_centre(number), peer_ports)
            fleet.start_relay()
            fleet.wait_listening()
            fleet.publish(fleet.document(), "first configuration")
            fleet.wait_ready()
        except BaseException:
            fleet.stop()
            raise
        return fleet

    @property
    def directory(self) -> Path:
        """Where settings and logs are written."""
        return self._directory

    @property
    def exit_codes(self) -> list[tuple[str, int]]:
        """Name and exit code of each process that was restarted, in order."""
        return list(self._exit_codes)

    @property
    def leaving(self) -> dict[str, float]:
        """When the drain of each draining worker was accepted, monotonic time, s."""
        return dict(self._leaving)

    @property
    def platform_port(self) -> int:
        """Port of the platform stand-in."""
        return self._processes["platform"].port

    @property
    def worker_ports(self) -> dict[str, int]:
        """Port of each worker, by its name."""
        return dict(self._worker_ports)

    def process(self, name: str) -> Process:
        """Return a process by name."""
        return self._processes[name]

    def daemons(self) -> list[Process]:
        """Return the daemons."""
        return [p for name, p in self._processes.items() if name.startswith("h")]

    def workers(self) -> list[Process]:
        """Return the processes of the workers."""
        return [p for name, p in self._processes.items() if name.startswith("w")]

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        port = free_port()
        self._start_module("platform", port, ["platform", "--port", str(port)])

    def start_worker(self, name: str) -> None:
        """Start a worker stand-in."""
        port = self._worker_ports.setdefault(name, free_port())
        self._start_module(name, port, ["worker", "--port", str(port), "--name", name])

    def start_workers(self, count: int, processes: int) -> None:
        """Start workers `w1`, `w2` and so on, spread evenly over processes."""
        names = [f"w{number}" for number in range(1, count + 1)]
        if processes == count:
            for name in names:
                self.start_worker(name)
            return
        for number in range(processes):
            self._start_group(f"wg{number + 1}", names[number::processes])

    def start_daemon(
        self,
        name: str,
        data_centre: str,
        peer_ports: dict[str, int],
        platform_port: int | None = None,
        **overrides: Any,
    ) -> None:
        """Start a daemon and write its settings file.

        Args:
            name: Its name.
            data_centre: Its data centre.
            peer_ports: Port for peers of every daemon, by name.
            platform_port: Port at which it calls the platform; the platform's own
                port or its relay if not given.
            overrides: Further settings, which override the others.
        """
        port = free_port()
        settings = {
            "name": name,
            "data_centre": data_centre,
            "listen": _address(port),
            "peer_listen": _address(peer_ports[name]),
            "platform": _address(
                platform_port or self._relayed_port(self.platform_port, "")
            ),
            "peers": {
                peer: _address(self._relayed_port(peer_port, host_data_centre(peer)))
                for peer, peer_port in peer_ports.items()
                if peer != name
            },
            **self._relay_settings(name, peer_ports[name]),
            **overrides,
        }
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        command = [str(_BIN / "poplarhilld"), "--settings", str(path)]
        self._start(name, port, command)

    def start_relay(self) -> None:
        """Start the relay, if there is one, with the routes of all processes."""
        if self._relay is None:
            return
        self.document()
        path = self._directory / "relay.json"
        path.write_bytes(msgspec.json.encode(self._relay))
        self._start_module("relay", self._relay.control, ["relay", str(path)])

    def cut(self, cuts: list[Cut]) -> None:
        """Replace the cuts in force at the relay; an empty list ends all cuts.

        Raises:
            FleetError: The fleet has no relay.
        """
        if self._relay is None:
            raise FleetError("the fleet has no relay")
        put_json(self._relay.control, "/cuts", msgspec.to_builtins(cuts))

    def kill(self, name: str) -> None:
        """Kill a process, like the loss of its host."""
        handle = self._processes[name].handle
        handle.kill()
        handle.wait()

    def terminate(self, name: str) -> None:
        """Ask a process to stop gracefully."""
        self._processes[name].handle.terminate()

    def reload(self, name: str) -> None:
        """Send a process SIGHUP so that it reloads its settings."""
        self._processes[name].handle.send_signal(signal.SIGHUP)

    def freeze(self, name: str) -> None:
        """Pause a process by SIGSTOP."""
        self._processes[name].handle.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a frozen process."""
        self._processes[name].handle.send_signal(signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Wait until a process has ended, then start it again with the same command."""
        process = self._processes[name]
        code = process.handle.wait(_STOP_TIMEOUT_S)
        self._exit_codes.append((name, code))
        self._start(name, process.port, self._commands[name])

    def document(self) -> dict[str, Any]:
        """Return a configuration document for the fleet's workers."""
        workers = {
            name: {
                **_address(self._relayed_port(port, data_centre(number))),
                "data_centre": data_centre(number),
                "rack": f"r{number % 3 + 1}",
            }
            for number, (name, port) in enumerate(self._worker_ports.items())
        }
        document: dict[str, Any] = {"services": {"booking": {"workers": workers}}}
        if self._defaults:
            document["defaults"] = self._defaults
        return document

    def publish(self, document: dict[str, Any], note: str) -> None:
        """Publish a configuration through the operators' command."""
        path = self._directory / "configuration.json"
        path.write_text(json.dumps(document, indent=2))
        shown = self.run_cli("config", "show").stderr.split()[-1]
        # Some fleets have no workers, and some experiments set limits below a job's
        # size. Both are warnings, which `publish` refuses without --force.
        options = ("--note", note, "--base", shown, "--force")
        self.run_cli("config", "publish", str(path), *options)

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command against the fleet's platform."""
        platform = f"{_HOST}:{self.platform_port}"
        return subprocess.run(
            [str(_BIN / "poplarhill"), *arguments],
            check=True,
            capture_output=True,
            text=True,
            timeout=60,
            env={**os.environ, "POPLARHILL_PLATFORM": platform},
        )

    def drain(self, worker: str) -> None:
        """Drain a worker through the operators' command."""
        self.run_cli("worker", "drain", worker, "--reason", "its rack is replaced")
        self._leaving[worker] = time.monotonic()

    def wait_informed(self, host: str) -> None:
        """Wait until the newest configuration in the log is in force on a daemon."""
        newest = int(self.run_cli("config", "show").stderr.split()[-1])
        port = self.process(host).port
        wait_until(
            lambda: get_version(port) >= newest, f"{host} has the newest configuration"
        )

    def wait_listening(self, *names: str) -> None:
        """Wait until the named processes, or all, accept connections."""
        for name in names or self._processes:
            port = self.process(name).port
            wait_until(lambda port=port: _listens(port), f"{name} listening")

    def wait_ready(self) -> None:
        """Wait until every daemon is ready to accept jobs."""
        for process in self.daemons():
            wait_until(
                lambda port=process.port: get_status(port, "/readyz") == 200,
                f"{process.name} ready",
            )

    def stop(self) -> dict[str, int]:
        """Stop every process, daemons first, and return exit codes by name."""
        daemons = self.daemons()
        others = [p for p in self._processes.values() if p not in daemons]
        for group in (daemons, others):
            for process in group:
                process.handle.send_signal(signal.SIGCONT)
                process.handle.terminate()
            for process in group:
                _wait_or_kill(process.handle)
        return {name: p.handle.returncode for name, p in self._processes.items()}

    def remove_files(self) -> None:
        """Remove the settings and logs."""
        shutil.rmtree(self._directory)

    def _relayed_port(self, port: int, data_centre: str) -> int:
        """Return the port at which daemons connect to a process in a data centre."""
        if self._relay is None:
            return port
        for route in self._relay.routes:
            if route.target == port:
                return route.port
        where = data_centre or "platform"
        route = Route(free_port(), _HOST, port, where)
        self._relay.routes.append(route)
        return route.port

    def _relay_settings(self, name: str, peer_port: int) -> dict[str, Any]:
        """Return settings by which the relay identifies a daemon's data centre."""
        if self._relay is None:
            return {}
        where = host_data_centre(name)
        number = DATA_CENTRES.index(where) + 1
        return {
            "source": f"127.0.{number}.{name.removeprefix('h')}",
            "advertise": _address(self._relayed_port(peer_port, where)),
        }

    def _start_group(self, name: str, workers: list[str]) -> None:
        ports = [self._worker_ports.setdefault(w, free_port()) for w in workers]
        arguments = ["workers"]
        for worker, port in zip(workers, ports, strict=True):
            arguments += ["--worker", worker, str(port)]
        self._start_module(name, ports[0], arguments)

    def _start_module(self, name: str, port: int, arguments: list[str]) -> None:
        self._start(name, port, [sys.executable, "-m", "poplarhill_dev", *arguments])

    def _start(self, name: str, port: int, command: list[str]) -> None:
        self._commands[name] = command
        with (self._directory / f"{name}.log").open("ab") as log:
            handle = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)
        self._processes[name] = Process(name, port, handle)


def host_data_centre(name: str) -> str:
    """Return the data centre of the entry host `hN`."""
    return data_centre(int(name.removeprefix("h")) - 1)


def data_centre(number: int) -> str:
    """Return the data centre of the host or worker with an index, from 0."""
    return DATA_CENTRES[number % len(DATA_CENTRES)]


def _wait_or_kill(handle: subprocess.Popen) -> None:
    try:
        handle.wait(_STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        handle.kill()
        handle.wait()


def _address(port: int) -> dict[str, Any]:
    return {"host": _HOST, "port": port}


def _listens(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex((_HOST, port)) == 0
