"""A small platform on loopback: a store, two workers, and an entry host."""

import os
import signal
from collections.abc import Awaitable, Callable

import curio
import pytest

from poplarhill.types import Address, Resources
from poplarhill_dev.leased import worker_entry
from poplarhill_dev.loopback import free_port
from poplarhill_platform import CallersInterface, StoreDirectory, WorkerOrders
from poplarhill_platform_dev import StandInStore, StandInWorker
from poplarhilld.entry import EntryHost, EntrySettings
from poplarhilld.entry.logs import LogBuffer
from poplarhilld.entry.metrics import EntryMetrics

TIMEOUT_S = 30.0
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
NEEDS = Resources(6.8, 64, 0)


def configuration(version: int = 3, routes: int = 1) -> dict:
    """Return a configuration in the platform's format."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "host": "poplarhill",
                "path_prefix": f"/r{number}/",
                "type": "non_idempotent",
                "timeout_ms": 1500,
                "slo_ms": 60,
                "priority": 0,
                "service": "booking",
                "max_attempts": 2,
                "stretch": 1.6,
            }
            for number in range(routes)
        ],
        "services": [{"name": "booking", "enforces_capacity": False}],
        "limits": {"max_body_bytes": 262144},
    }


class Platform:
    """The stand-ins and one entry host, all in one event loop.

    Args:
        settings: Settings of the entry host that differ from the defaults.
    """

    def __init__(self, **settings: object) -> None:
        self.store = StandInStore()
        self.store_address = Address("127.0.0.1", free_port())
        self.workers = []
        for number in range(2):
            entry = worker_entry(f"w{number}")._replace(
                address=Address("127.0.0.1", free_port())
            )
            self.workers.append(StandInWorker(entry, NEEDS))
        self.settings = EntrySettings(
            name="h1",
            data_centre="dc1",
            callers=Address("127.0.0.1", free_port()),
            readiness=Address("127.0.0.1", free_port()),
            peers=Address("127.0.0.1", free_port()),
            metrics=Address("127.0.0.1", free_port()),
            store=self.store_address,
            **settings,
        )
        read_end, self.log = os.pipe()
        os.set_blocking(read_end, False)
        self._read_end = read_end
        self.exit_code: int | None = None
        self.host = EntryHost(
            self.settings,
            WorkerOrders(None),
            StoreDirectory(self.store_address, None),
            LogBuffer(self.log),
            EntryMetrics(),
            lambda: self.settings,
        )

    configuration = staticmethod(configuration)

    def run_scenario(self, scenario: Callable[["Platform"], Awaitable[None]]) -> None:
        """Run a scenario against the running platform, then stop the entry host."""

        async def main() -> None:
            self.store.put("keyed.op", "config", configuration())
            for worker in self.workers:
                name = worker.simulated.entry.name
                self.store.put("keyed.servers", name, worker.record())
            servers = [self.store.server(*self.store_address)]
            servers += [worker.server() for worker in self.workers]
            for server in servers:
                await curio.spawn(server.run, daemon=True)
            handler = CallersInterface(self.host).handle
            running = await curio.spawn(self.host.run, handler, daemon=True)
            try:
                await curio.timeout_after(TIMEOUT_S, scenario, self)
            finally:
                if not running.terminated:
                    os.kill(os.getpid(), signal.SIGTERM)
                self.exit_code = await curio.timeout_after(TIMEOUT_S, running.join)

        handlers = {number: signal.getsignal(number) for number in _SIGNALS}
        try:
            curio.run(main)
        finally:
            # The host replaced the signal handlers of this process, which runs other
            # tests as well.
            signal.set_wakeup_fd(-1)
            for number, handler in handlers.items():
                signal.signal(number, handler)
            os.close(self._read_end)


@pytest.fixture
def platform() -> Platform:
    return Platform()


@pytest.fixture
def short_grace_platform() -> Platform:
    """Return a platform whose entry host has a short grace period to stop."""
    return Platform(grace_s=4.0)
