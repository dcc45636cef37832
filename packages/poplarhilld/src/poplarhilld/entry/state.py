"""What the loops of an entry host share."""

import time

import curio

from poplarhilld.catalogue import Catalogue, Registry, WorkerEntry
from poplarhilld.entry.pause import Pause
from poplarhilld.entry.settings import EntrySettings
from poplarhilld.entry.usage import BusyMeter, UsageMeter
from poplarhilld.evacuation import EvacuationCopy
from poplarhilld.leading import Leader
from poplarhilld.leases import TokenSource
from poplarhilld.lookahead import LookaheadOptions
from poplarhilld.overload import OverloadControl
from poplarhilld.peers.messages import Load
from poplarhilld.shards import Hosts, LocalHost, data_centre
from poplarhilld.submissions import LeaderView, Submissions


class HostState:
    """The settings, the decision objects and what was read from the store.

    Args:
        settings: Settings of the process.
        now: The clock of the process, s.

    Attributes:
        settings: Settings in force; SIGHUP replaces some of them.
        advertised: Address that peers are told to connect to.
        hosts: Decides which hosts are live and which shards this host leads.
        leader: Decides what runs on the led workers.
        submissions: Jobs taken here, until each is answered.
        outcomes: Where the caller of each submission waits for its outcome.
        catalogue: Catalogue of routes in force; its version is 0 until one is read.
        registry: Workers as read from the store.
        evacuations: Evacuated data centres, as this host knows.
        shards: Workers of each shard, by name.
        registry_read: Whether the list of workers was ever read.
        registry_read_at: When the list was read last, s; the start before that.
        reachable_since: Since when each leaderless shard has been reachable, s.
        usage: Counts what the processor time is spent on.
        busy: Measures the share of the processor in use.
        overload: Refuses new jobs while the event loop is late.
        pause: Pause until the next decisions that depend on time.
        shutting_down: Whether this host has begun to stop.
    """

    def __init__(self, settings: EntrySettings, now: float) -> None:
        self.settings = settings
        self.advertised = settings.advertise or settings.peers
        tokens = TokenSource(settings.peers)
        own_host = LocalHost(
            settings.name,
            self.advertised,
            settings.data_centre,
            round(time.time() * 1000),
            settings.cores,
        )
        self.hosts = Hosts(own_host, settings.seeds, tokens, now)
        self.overload = OverloadControl(now, settings.cores)
        self.leader = Leader(
            tokens,
            settings.lease_s,
            LookaheadOptions(settings.lookahead),
            self.overload,
            settings.name,
        )
        self.submissions = Submissions()
        self.outcomes: dict[int, curio.Queue] = {}
        self.catalogue = Catalogue()
        self.registry = Registry()
        self.evacuations = EvacuationCopy()
        self.shards: dict[str, dict[str, WorkerEntry]] = {}
        self.registry_read = False
        self.registry_read_at = now
        self.reachable_since: dict[str, float] = {}
        self.usage = UsageMeter(now)
        self.busy = BusyMeter(now, settings.cores)
        self.pause = Pause()
        self.shutting_down = False

    def load(self, now: float) -> Load:
        """Return the load of this host."""
        busy = round(self.busy.share, 1)  # a heartbeat that changes is decoded anew
        late = self.overload.late
        return self.leader.load(now)._replace(busy=busy, late=late)

    def known_leaders(self, now: float) -> dict[str, LeaderView]:
        """Return the leaders that this host knows, by name; it may be one of them."""
        own_data_centre = self.settings.data_centre
        view: dict[str, LeaderView] = {}
        claims = self.hosts.claims
        if claims:
            near = any(data_centre(shard) == own_data_centre for shard in claims)
            load = self.load(now)
            view[self.settings.name] = LeaderView(
                self.hosts.leading_since_epoch,
                near,
                load,
                self.evacuations.leaves_nothing(load.cores, map(data_centre, claims)),
            )
        for name, beat in self.hosts.leaders.items():
            near = any(data_centre(c.shard) == own_data_centre for c in beat.claims)
            led = (data_centre(claim.shard) for claim in beat.claims)
            evacuated = self.evacuations.leaves_nothing(beat.load.cores, led)
            view[name] = LeaderView(beat.tenure, near, beat.load, evacuated)
        return view

    def last_reply_of_led_shards(self, now: float) -> dict[str, float]:
        """Return when a worker of each led shard last responded, s.

        Shards of which no worker responds are left out.
        """
        last_reply_at: dict[str, float] = {}
        for shard in self.hosts.claims:
            for name in self.shards.get(shard, ()):
                worker = self.leader.workers.get(name)
                if worker is not None and worker.is_responsive(now):
                    last_reply_at[shard] = worker.last_reply_at
                    break
        return last_reply_at
