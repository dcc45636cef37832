"""The loops that read the platform's store."""

from collections.abc import Awaitable, Callable

import curio
import structlog

from poplarhill.http import Limits
from poplarhilld.entry.clock import uptime
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.performer import Performer
from poplarhilld.entry.ports import Directory, UnavailableError
from poplarhilld.entry.state import HostState
from poplarhilld.peers.messages import WorkersReport
from poplarhilld.shards import partition

# With this interval, a leader notices well within 2 s that a worker is draining.
LEADER_REGISTRY_REFRESH_S = 0.7
# A host that leads no shard needs the list of workers only for a takeover.
_REGISTRY_REFRESH_S = 2.0
# Heartbeats carry addresses; the store is needed only to find unknown peers.
_HOSTS_REFRESH_S = 5.0
# The retries of eight hosts stay far below the request rates of the store.
_STORE_RETRY_S = 0.3
_log = structlog.get_logger()


class StoreReader:
    """Reads the catalogue, the workers and the hosts from the platform's store.

    Args:
        state: State of this host.
        directory: Reads the platform's store.
        performer: Sends what was read to leaders that can't read it.
        metrics: Metrics of this process.
        tick: Makes the decisions that depend on time.

    Attributes:
        on_limits: Called with the limits on requests of each newer catalogue.
    """

    def __init__(
        self,
        state: HostState,
        directory: Directory,
        performer: Performer,
        metrics: EntryMetrics,
        tick: Callable[[], Awaitable[None]],
    ) -> None:
        self._state = state
        self._directory = directory
        self._performer = performer
        self._metrics = metrics
        self._tick = tick
        self._errors: dict[str, str] = {}
        self.on_limits: Callable[[Limits], None] = lambda limits: None

    async def read_catalogues(self) -> None:
        """Put each newer catalogue from the store in force."""
        state = self._state
        while True:
            catalogue, problem = None, ""
            try:
                catalogue = await self._directory.next_catalogue()
            except UnavailableError as error:
                problem = str(error)
            self._record_call("catalogue", problem)
            await self._performer.update_evacuations(self._directory.evacuations)
            if problem:
                await curio.sleep(_STORE_RETRY_S)
                continue
            if catalogue is not None and catalogue.version > state.catalogue.version:
                _log.info(
                    "CatalogueTaken",
                    version=catalogue.version,
                    before=state.catalogue.version,
                    routes=len(catalogue.routes),
                )
                state.catalogue = catalogue
                self.on_limits(catalogue.limits)

    async def read_workers(self) -> None:
        """Read the registered workers from the store and divide them into shards."""
        state = self._state
        while True:
            try:
                workers = await self._directory.workers()
            except UnavailableError as error:
                self._record_call("workers", str(error))
                await curio.sleep(_STORE_RETRY_S)
                continue
            self._record_call("workers")
            state.registry_read_at = uptime()
            state.hosts.set_outdated(False)
            if state.registry.update(uptime(), workers) or not state.registry_read:
                state.registry_read = True
                state.shards = partition(state.registry.workers.values())
                _log.info("WorkersRead", workers=len(workers), shards=len(state.shards))
                # Claims the shards that were split off led ones before their workers
                # are taken for workers of another leader.
                await self._tick()
            await self._report_workers()
            await curio.sleep(
                LEADER_REGISTRY_REFRESH_S
                if state.leader.workers
                else _REGISTRY_REFRESH_S
            )

    async def read_hosts(self) -> None:
        """Register this host in the store and read the addresses of its peers."""
        state = self._state
        registered = False
        while True:
            try:
                if not registered:
                    await self._directory.register(
                        state.settings.name, state.advertised
                    )
                    registered = True
                addresses = await self._directory.hosts()
                state.hosts.set_registered_addresses(uptime(), addresses)
                await state.pause.end()  # sends new hosts their first heartbeat
            except UnavailableError as error:
                self._record_call("hosts", str(error))
                await curio.sleep(_STORE_RETRY_S)
                continue
            self._record_call("hosts")
            await curio.sleep(_HOSTS_REFRESH_S)

    async def _report_workers(self) -> None:
        """Tell leaders that can't read the list of workers which take fewer tasks."""
        report = WorkersReport(self._state.registry.reduced)
        if not report.reduced:
            return
        for name, beat in self._state.hosts.leaders.items():
            if beat.outdated:
                await self._performer.send(name, report)

    def _record_call(self, call: str, problem: str = "") -> None:
        """Count a call to the store; log when it starts to fail and when it recovers.

        Args:
            call: Kind of the call.
            problem: Why the call failed; empty if it succeeded.
        """
        self._metrics.store_calls.labels(call, "failed" if problem else "ok").inc()
        before = self._errors.get(call, "")
        if problem and not before:
            _log.warning("StoreLost", call=call, reason=problem)
        elif before and not problem:
            _log.info("StoreBack", call=call, reason=before)
        self._errors[call] = problem
