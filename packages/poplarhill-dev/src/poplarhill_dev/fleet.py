"""A small fleet of real processes on loopback: platform, workers, daemons.

The development tool starts these processes; the daemons themselves start none.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any, NamedTuple

_HOST = "127.0.0.1"
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 30.0
_POLL_S = 0.05
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


class FleetError(Exception):
    """The fleet did not come to the state waited for."""


class Fleet:
    """Processes of one demo, test or experiment.

    Args:
        directory: Where settings and logs are written.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes: dict[str, Process] = {}

    @classmethod
    def start(cls, hosts: int, workers: int) -> "Fleet":
        """Start a fleet and publish its configuration."""
        fleet = cls(Path(tempfile.mkdtemp(prefix="poplarhill-")))
        try:
            fleet.start_platform()
            for number in range(1, workers + 1):
                fleet.start_worker(f"w{number}")
            peer_ports = {f"h{n}": free_port() for n in range(1, hosts + 1)}
            for number, name in enumerate(peer_ports):
                fleet.start_daemon(name, DATA_CENTRES[number % 3], peer_ports)
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

    def process(self, name: str) -> Process:
        """Return a process by name."""
        return self._processes[name]

    def daemons(self) -> list[Process]:
        """Return the daemons."""
        return [p for name, p in self._processes.items() if name.startswith("h")]

    def workers(self) -> list[Process]:
        """Return the workers."""
        return [p for name, p in self._processes.items() if name.startswith("w")]

    def start_platform(self) -> None:
        """Start the stand-in of the platform."""
        port = free_port()
        self._start_module("platform", port, ["platform", "--port", str(port)])

    def start_worker(self, name: str) -> None:
        """Start the stand-in of a worker."""
        port = free_port()
        self._start_module(name, port, ["worker", "--port", str(port), "--name", name])

    def start_daemon(
        self,
        name: str,
        data_centre: str,
        peer_ports: dict[str, int],
        platform_port: int | None = None,
        **overrides: Any,
    ) -> None:
        """Start a daemon with settings of its own.

        Args:
            name: Its name.
            data_centre: Its data centre.
            peer_ports: Ports for peers of every daemon, by name.
            platform_port: Where it finds the platform, if not at its own port.
            overrides: Further settings.
        """
        port = free_port()
        settings = {
            "name": name,
            "data_centre": data_centre,
            "listen": _address(port),
            "peer_listen": _address(peer_ports[name]),
            "platform": _address(platform_port or self.process("platform").port),
            "peers": {
                peer: _address(peer_port)
                for peer, peer_port in peer_ports.items()
                if peer != name
            },
            **overrides,
        }
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        command = [str(_BIN / "poplarhilld"), "--settings", str(path)]
        self._start(name, port, command)

    def document(self) -> dict[str, Any]:
        """Return a configuration document for the fleet's workers."""
        workers = {
            process.name: {
                **_address(process.port),
                "data_centre": DATA_CENTRES[number % 3],
                "rack": f"r{number % 3 + 1}",
            }
            for number, process in enumerate(self.workers())
        }
        return {"services": {"booking": {"workers": workers}}}

    def publish(self, document: dict[str, Any], note: str) -> None:
        """Publish a configuration by the operators' command."""
        path = self._directory / "configuration.json"
        path.write_text(json.dumps(document, indent=2))
        shown = self.operate("config", "show").stderr.split()[-1]
        self.operate("config", "publish", str(path), "--note", note, "--base", shown)

    def operate(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command against the fleet's platform."""
        platform = f"{_HOST}:{self._processes['platform'].port}"
        return subprocess.run(
            [str(_BIN / "poplarhill"), *arguments],
            check=True,
            capture_output=True,
            text=True,
            timeout=60,
            env={**os.environ, "POPLARHILL_PLATFORM": platform},
        )

    def wait_ready(self) -> None:
        """Wait until every daemon takes jobs."""
        for process in self.daemons():
            wait_until(
                lambda port=process.port: get_status(port, "/readyz") == 200,
                f"{process.name} ready",
            )

    def stop(self) -> dict[str, int]:
        """Stop every process, daemons first; return their exit codes."""
        ordered = sorted(self._processes.values(), key=lambda p: p.name[0] != "h")
        for process in ordered:
            process.handle.terminate()
            try:
                process.handle.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.handle.kill()
                process.handle.wait()
        return {process.name: process.handle.returncode for process in ordered}

    def _start_module(self, name: str, port: int, arguments: list[str]) -> None:
        command = [sys.executable, "-m", "poplarhill_dev", *arguments]
        self._start(name, port, command)
        wait_until(lambda: _listens(port), f"{name} listening")

    def _start(self, name: str, port: int, command: list[str]) -> None:
        with (self._directory / f"{name}.log").open("ab") as log:
            handle = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)
        self._processes[name] = Process(name, port, handle)


def free_port() -> int:
    """Return a TCP port that is free now."""
    with socket.socket() as sock:
        sock.bind((_HOST, 0))
        return sock.getsockname()[1]


def wait_until(condition: Any, what: str, timeout_s: float = _START_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    Raises:
        FleetError: It does not hold in time.
    """
    give_up = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up:
            raise FleetError(f"not within {timeout_s:g} s: {what}")
        time.sleep(_POLL_S)


def get_status(port: int, path: str) -> int | None:
    """Return the status of a GET, or None without an answer."""
    try:
        with urllib.request.urlopen(f"http://{_HOST}:{port}{path}", timeout=5) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return None


def _address(port: int) -> dict[str, Any]:
    return {"host": _HOST, "port": port}


def _listens(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex((_HOST, port)) == 0
