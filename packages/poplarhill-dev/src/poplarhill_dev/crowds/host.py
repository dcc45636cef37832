"""One entry host as a process, with stand-ins for the store and three workers."""

import http.client
import os
import re
import sys
import tempfile
from itertools import count
from pathlib import Path
from typing import Any

import msgspec

from poplarhill.types import Address, Resources
from poplarhill_dev.fleet import Fleet, wait_until
from poplarhill_dev.leased import worker_entry
from poplarhill_dev.loopback import free_port, get_status, put_json
from poplarhill_platform_dev.processes import RECORDS_PATH, WrittenRecord
from poplarhill_platform_dev.words import (
    TaskSpec,
    configuration,
    job_body,
    worker_record,
)

PREFIX = "/crowd/"
_LOOPBACK = "127.0.0.1"
_WORKERS = 3
_ROUTE_TIMEOUT_S = 60.0
_ANSWER_TIMEOUT_S = 60.0
_TASK_RUN_S = 0.01
_NEEDS = Resources(6.8, 64, 0)
_KIB = 1024


class CrowdHost(Fleet):
    """An entry host for a crowd of clients.

    Args:
        limits: Limits of the configuration, as the platform writes them.
        descriptors: Largest number of file descriptors of the entry host; that of
            this process if not given.
    """

    def __init__(
        self, limits: dict[str, Any] | None = None, descriptors: int | None = None
    ) -> None:
        super().__init__(Path(tempfile.mkdtemp(prefix="poplarhill-crowd-")))
        self._limits = limits
        self._descriptors = descriptors
        self._job_numbers = count(1)
        self._version = count(1)
        self._store = Address(_LOOPBACK, free_port())
        self.callers = Address(_LOOPBACK, free_port())
        self.readiness = Address(_LOOPBACK, free_port())
        self.peers = Address(_LOOPBACK, free_port())
        self.metrics = Address(_LOOPBACK, free_port())

    @classmethod
    def start_ready(
        cls, limits: dict[str, Any] | None = None, descriptors: int | None = None
    ) -> "CrowdHost":
        """Start all processes and wait until the entry host accepts jobs."""
        host = cls(limits, descriptors)
        try:
            host._start_all()
        except BaseException:
            host.stop()
            raise
        return host

    @property
    def pid(self) -> int:
        """Process id of the entry host."""
        return self.process("h1").handle.pid

    @property
    def alive(self) -> bool:
        """Whether the entry host is running."""
        return self.process("h1").handle.poll() is None

    def configure(self, limits: dict[str, Any] | None) -> int:
        """Publish a configuration with these limits and return its version."""
        document = configuration(next(self._version), [PREFIX], _ROUTE_TIMEOUT_S)
        if limits is not None:
            document["limits"] = limits
        self._write("keyed.op", "config", document)
        return document["version"]

    def post(self, body: bytes, **headers: str) -> int:
        """Submit a body as a job and return the status of the response.

        Raises:
            OSError: There is no response.
        """
        path = f"{PREFIX}{next(self._job_numbers):016x}"
        connection = http.client.HTTPConnection(
            *self.callers, timeout=_ANSWER_TIMEOUT_S
        )
        try:
            connection.request("POST", path, body, {"Host": "poplarhill", **headers})
            response = connection.getresponse()
            response.read()
            return response.status
        finally:
            connection.close()

    def run_job(self) -> int:
        """Run an ordinary job of one task and return the status of the response.

        Raises:
            OSError: There is no response.
        """
        return self.post(job_body(1, _NEEDS, TaskSpec(_TASK_RUN_S)))

    def _start_all(self) -> None:
        stand_in = [sys.executable, "-m", "poplarhill_platform_dev"]
        store = f"{_LOOPBACK}:{self._store.port}"
        self._start("store", self._store.port, [*stand_in, "store", "--listen", store])
        records = []
        for number in range(_WORKERS):
            port = free_port()
            name = f"w{number}"
            options = ["--name", name, "--listen", f"{_LOOPBACK}:{port}"]
            options += ["--trace", str(self.directory / "runs.jsonl")]
            self._start(name, port, [*stand_in, "worker", *options])
            address = Address(_LOOPBACK, port)
            records.append(worker_entry(name)._replace(name=name, address=address))
        self.wait_listening()
        self.configure(self._limits)
        for entry in records:
            self._write("keyed.servers", entry.name, worker_record(entry))
        self._start("h1", self.callers.port, self._host_command())
        wait_until(lambda: get_status(self.readiness.port, "/") == 200, "h1 ready")

    def _host_command(self) -> list[str]:
        addresses = ("callers", "readiness", "peers", "metrics")
        settings = {
            "name": "h1",
            "data_centre": "dc1",
            "store": f"{_LOOPBACK}:{self._store.port}",
            **{name: f"{_LOOPBACK}:{getattr(self, name).port}" for name in addresses},
        }
        path = self.directory / "h1.json"
        path.write_bytes(msgspec.json.encode(settings))
        command = [sys.executable, "-m", "poplarhill_platform", "--settings", str(path)]
        return with_descriptors(command, self._descriptors)

    def _write(self, topic: str, key: str, value: dict[str, Any]) -> None:
        record = WrittenRecord(topic, key, value)
        put_json(self._store.port, RECORDS_PATH, msgspec.to_builtins(record))


def with_descriptors(command: list[str], descriptors: int | None) -> list[str]:
    """Return a command that runs with at most so many file descriptors."""
    if descriptors is None:
        return command
    return ["sh", "-c", f'ulimit -n {descriptors}; exec "$@"', "sh", *command]


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident size that a process has had.

    Raises:
        OSError: There is no such process.
    """
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) * _KIB


def open_descriptors(pid: int) -> int:
    """Return the number of file descriptors that a process has open.

    Raises:
        OSError: There is no such process.
    """
    return len(os.listdir(f"/proc/{pid}/fd"))
