"""A simulated fleet: hosts, the links between them, workers and callers."""

import math
from collections.abc import Iterable, Mapping, Sequence
from functools import partial
from types import MappingProxyType

from poplarhill.exceptions import Failure
from poplarhill.types import Address
from poplarhill_dev.leased import LINK_DELAY_S, TICK_S, SimulatedJob, worker_entry
from poplarhill_dev.simulation.callers import Caller, Callers
from poplarhill_dev.simulation.host import SimulatedHost
from poplarhill_dev.simulation.network import Link, PortState
from poplarhill_dev.simulation.store import SimulatedStore
from poplarhill_dev.simulation.workers import FleetWorker, WorkerWorld
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.entry.store import LEADER_REGISTRY_REFRESH_S
from poplarhilld.shards import HostLost
from poplarhilld.shards.messages import LeadershipTaken, LeadershipYielded

CENTRES = MappingProxyType({"dc1": 13, "dc2": 13, "dc3": 11})
# As small as a fleet with rare heartbeats may be, and faster to simulate.
SMALL_FLEET = MappingProxyType({"dc1": 7, "dc2": 7, "dc3": 6})
WORKERS = 100
_REGISTRY_REFRESH_S = 2.0  # of a host that leads nothing
_STORE_RETRY_S = 0.3
_REACHABILITY_INTERVAL_S = 0.5
_BALANCER_NOTICE_S = 2.5  # from SIGTERM until no more requests arrive
_EXIT_BEFORE_KILL_S = 0.3
_IDLE_TICK_S = 0.075  # of a host without jobs and workers
_ELECTION_S = 3.0  # until each data centre has a leader whose workers have replied
_FLEET_WORDS = (
    "store",
    "leaves",
    "process ends",
    "frozen",
    "resumed",
    "reset",
    "cut",
    "late",
    "SIGTERM",
)


class FleetWorld(WorkerWorld):
    """Hosts in several data centres, their workers and their callers.

    Args:
        seed: Seed of every random choice.
        centres: Count of the hosts of each data centre.
        workers: Count of workers, spread over the data centres.

    Attributes:
        hosts: The present process of each host, by name.
        ports: State of the port of each host that does not listen, by name.
        callers: The callers.
        store: The store that lists the workers.
    """

    def __init__(
        self,
        seed: int = 1,
        centres: Mapping[str, int] = CENTRES,
        workers: int = WORKERS,
    ) -> None:
        super().__init__(_workers(workers, tuple(centres)), seed)
        self.hosts: dict[str, SimulatedHost] = {}
        self.ports: dict[str, PortState] = {}
        self.callers = Callers(self)
        self._links: dict[tuple[str, Address], Link] = {}
        self.store = SimulatedStore(self, self.entries)
        self._names: dict[Address, str] = {
            Address(f"10.{centre[2:]}.0.{number}", 1): f"{centre}-{number:02}"
            for centre, count in centres.items()
            for number in range(count)
        }
        self._addresses = {name: address for address, name in self._names.items()}
        for name in self._addresses:
            self.schedule(0.0, self._start_process, name)
        self.run(_ELECTION_S)

    def submit_job(self, job: SimulatedJob, data_centre: str, host: str = "") -> None:
        """Let a caller submit a job to a host of its data centre.

        Args:
            job: The job.
            data_centre: Data centre of the caller.
            host: Host that it is sent to first; any if not given.
        """
        self.submit(Caller(job, data_centre), host)

    def submit(self, caller: Caller, host: str = "") -> None:
        """Let a caller submit its job to a host, any of its data centre if none."""
        self.jobs[caller.job_id] = caller.job
        self.callers.submit(caller, host)

    def answer(self, process: str, number: int, failure: Failure | None) -> None:
        """Answer the caller of a submission."""
        self.callers.answer(process, number, failure)

    def undisturbed_since(self, name: str) -> float:
        """Return since when a host runs and can read all new entries, s."""
        return max(self.hosts[name].runs_since, self.store.served_since(name))

    def leader_of(self, centre: str) -> str:
        """Return a host that leads workers of a data centre; empty if there is none."""
        leading = (
            name
            for name, host in self.hosts.items()
            if host.running
            and any(shard.startswith(f"{centre}/") for shard in host.state.hosts.claims)
        )
        return min(leading, default="")

    def kill(self, name: str, down_s: float) -> None:
        """End the process of a host; its port refuses connections until it is back."""
        if self.hosts[name].running:
            self._end_process(name, PortState.REFUSED, down_s)
            self._reset_links(name)
            self.callers.connections_broken(self.hosts[name])

    def shut_down(self, name: str, down_s: float) -> None:
        """Send SIGTERM to a host; it ends once it is idle or its time is up."""
        host = self.hosts[name]
        if host.running and not host.state.shutting_down:
            self.note(name, "SIGTERM, process ends later")
            self.schedule(0.0, host.handle, host.begin_shutdown)
            ends_at = self.now + host.state.settings.grace_s - _EXIT_BEFORE_KILL_S
            self.schedule(
                _BALANCER_NOTICE_S, self._end_when_idle, host, ends_at, down_s
            )

    def _end_when_idle(
        self, host: SimulatedHost, ends_at: float, down_s: float
    ) -> None:
        idle = not len(host.state.submissions) and not host.state.hosts.claims
        if not host.running:
            return
        if host.frozen or (not idle and self.now < ends_at):
            self.schedule(TICK_S, self._end_when_idle, host, ends_at, down_s)
            return
        host.end_shutdown()
        # What was sent arrives before the connections are closed.
        self.schedule(2 * LINK_DELAY_S, self._kill_process, host, down_s)

    def _kill_process(self, host: SimulatedHost, down_s: float) -> None:
        if host.running:
            self.kill(host.name, down_s)

    def drain_workers(self, names: Iterable[str]) -> None:
        """Let workers report that they drain; hosts read it within their intervals."""
        for name in names:
            worker = self.workers[name]
            worker.entry = worker.entry._replace(draining=True)
            self.store.put(worker.entry)

    def add_workers(self, count: int) -> None:
        """Let new workers register; hosts read it within their intervals."""
        centres = sorted({name[:3] for name in self._addresses})
        for number in range(len(self.workers), len(self.workers) + count):
            worker = _worker(number, centres)
            self.workers[worker.entry.name] = worker
            self.prepare_worker(worker)
            self.store.put(worker.entry)

    def leave_workers(
        self, names: Iterable[str], drain_s: float, stop_after_s: float
    ) -> None:
        """Let workers drain, remove their entries and stop.

        Args:
            names: Names of the workers.
            drain_s: How long they serve after they have reported that they drain, s.
            stop_after_s: How long they still run after that without an entry, s.
        """
        names = list(names)
        self.drain_workers(names)
        for name in names:
            self.note(name, f"leaves in {drain_s + stop_after_s:.2f} s")
            self.schedule(drain_s, self.store.remove, name)
            self.schedule(drain_s + stop_after_s, self._stop_worker, name)

    def _stop_worker(self, name: str) -> None:
        self.note(name, "leaves now")
        self.crash(name, down_s=math.inf)
        self.workers[name].unreachable = True  # though it was to restart

    def power_off(self, name: str, down_s: float) -> None:
        """Take the power from a machine, which falls silent; it starts again later."""
        if self.hosts[name].running:
            self._end_process(name, PortState.SILENT, down_s)

    def freeze(self, name: str, seconds: float, tick_first: bool | None = None) -> None:
        """Stop the process of a host for a time.

        Args:
            name: Name of the host.
            seconds: Until it is resumed, s.
            tick_first: Whether it then ticks before it reads what has arrived; at
                random if not given.
        """
        host = self.hosts[name]
        if host.running and not host.frozen:
            self.note(name, f"frozen for {seconds:.2f} s")
            host.frozen = True
            self.schedule(seconds, self._resume, host, tick_first)

    def reset_connections(self, name: str) -> None:
        """Break all connections of a host to other hosts and to callers."""
        host = self.hosts[name]
        if host.running:
            self.note(name, "connections reset")
            self.schedule(self.random.uniform(0.0, 0.005), self._reset_links, name)
            self.callers.connections_reset(host)

    def cut_paths(self, pairs: Iterable[tuple[str, str]], seconds: float) -> None:
        """Cut paths between machines, each in one direction, for a time."""
        cut = set(pairs) - self.network.cuts
        self.network.cuts |= cut
        self.schedule(seconds, self.network.cuts.difference_update, cut)

    def log(self, host: str, decision: tuple) -> None:
        """Record a log line of a host."""
        self.note(host, decision)

    def send(self, host: SimulatedHost, address: Address, messages: list) -> None:
        """Send messages to the host at an address."""
        self._link(host, address).send(messages)

    def reconnect(self, host: SimulatedHost, address: Address) -> None:
        """Give up a connection to an address that is still being opened."""
        self._link(host, address).reconnect()

    def _link(self, host: SimulatedHost, address: Address) -> Link:
        link = self._links.get((host.process, address))
        if link is None:
            link = self._links[host.process, address] = Link(
                self,
                self.network,
                host.name,
                address,
                self._names[address],
                self.port,
                self._deliver,
                lambda refused: host.handle(partial(host.connection_refused, refused)),
            )
        return link

    def port(self, name: str) -> PortState:
        """Return the state of the port of a host."""
        return self.ports.get(name, PortState.OPEN)

    def _deliver(self, sender: str, receiver: str, messages: tuple) -> None:
        host = self.hosts[receiver]
        host.handle(partial(host.receive, sender, messages))

    def _start_process(self, name: str) -> None:
        self.ports.pop(name, None)
        self._reset_links(name)
        address = self._addresses[name]
        seeds = tuple(self._names)
        host = SimulatedHost(name, address, name[:3], seeds, self)
        self.hosts[name] = host
        self._read_workers(host)
        self.schedule(self.random.uniform(0.0, TICK_S), self._tick_host, host)
        delay_s = self.random.uniform(0.0, _REACHABILITY_INTERVAL_S)
        self.schedule(delay_s, self._check_reachability, host)

    def _tick_host(self, host: SimulatedHost) -> None:
        if host.running:
            if not host.frozen:
                host.tick()
            interval_s = _IDLE_TICK_S if host.idle else TICK_S
            self.schedule(interval_s, self._tick_host, host)

    def _read_workers(self, host: SimulatedHost) -> None:
        """Let a host read the list of workers from the store."""
        if not host.running:
            return
        entries = self.store.read(host.name)
        if entries is None:
            retry = partial(self.schedule, _STORE_RETRY_S, self._read_workers, host)
            host.handle(retry)
            return
        answered = partial(self._workers_answered, host, entries)
        self.schedule(LINK_DELAY_S, host.handle, answered)

    def _workers_answered(
        self, host: SimulatedHost, entries: Mapping[str, WorkerEntry]
    ) -> None:
        host.set_workers(entries)
        leads = host.state.leader.workers
        interval_s = LEADER_REGISTRY_REFRESH_S if leads else _REGISTRY_REFRESH_S
        self.schedule(interval_s, host.handle, partial(self._read_workers, host))

    def _check_reachability(self, host: SimulatedHost) -> None:
        """Note which leaderless shards have a worker that responds to a host."""
        if not host.running:
            return
        if not host.frozen:
            shards = host.state.shards
            watched = host.state.hosts.shards_to_watch(shards)
            host.note_reachable(
                shard
                for shard in watched
                if self._responds(host.name, min(shards[shard]))
            )
        self.schedule(_REACHABILITY_INTERVAL_S, self._check_reachability, host)

    def _responds(self, host: str, name: str) -> bool:
        paths = (host, name), (name, host)
        worker = self.workers[name]
        cut = any(self.network.is_cut(*path) for path in paths)
        return not (cut or worker.unreachable or worker.refusing)

    def _resume(self, host: SimulatedHost, tick_first: bool | None) -> None:
        if host.running:
            self.note(host.name, "resumed")
            if tick_first is None:
                tick_first = self.random.random() < 0.5
            host.resume(tick_first)

    def _end_process(self, name: str, port: PortState, down_s: float) -> None:
        self.note(name, f"process ends, port {port.name}")
        self.hosts[name].running = False
        self.ports[name] = port
        self.schedule(down_s, self._start_process, name)

    def _reset_links(self, name: str) -> None:
        for (process, address), link in list(self._links.items()):
            sender = process.partition("@")[0]
            if name in (sender, self._names[address]):
                link.reset()
            if name == sender and not self.hosts[name].running:
                del self._links[process, address]

    def trace(self, job_id: str) -> list[str]:
        """Return the lines that concern a job, and those on hosts and shards."""
        return [
            f"{at:9.4f} {who:8} {what}"
            for at, who, what in sorted(self.lines, key=lambda line: line[0])
            if job_id in str(what) or _concerns_the_fleet(what)
        ]


def _concerns_the_fleet(what: object) -> bool:
    if isinstance(what, str):
        return any(word in what for word in _FLEET_WORDS) and "." not in what
    return isinstance(what, LeadershipTaken | LeadershipYielded | HostLost)


def _workers(count: int, centres: tuple[str, ...]) -> list[FleetWorker]:
    return [_worker(number, centres) for number in range(count)]


def _worker(number: int, centres: Sequence[str]) -> FleetWorker:
    entry = worker_entry(f"w{number}", rack=f"r{number % 8}")
    return FleetWorker(entry._replace(data_centre=centres[number % len(centres)]))
