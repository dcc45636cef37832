"""What the loops of an entry host share."""

import time
from collections.abc import Iterable, Mapping

import curio

from poplarhilld.catalogue import Catalogue, Registry, WorkerEntry
from poplarhilld.entry.pause import Pause
from poplarhilld.entry.settings import EntrySettings
from poplarhilld.entry.usage import BusyMeter, UsageMeter
from poplarhilld.evacuation import EvacuationCopy
from poplarhilld.leading import Leader
from poplarhilld.leases import TokenSource
from poplarhilld.locality import OFF, cores_by_rack
from poplarhilld.lookahead import LookaheadOptions
from poplarhilld.overload import OverloadControl
from poplarhilld.peers.ages import PeerClocks
from poplarhilld.peers.messages import LeaderDigest, Load
from poplarhilld.peers.offer_limits import OfferLimits
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
        peer_clocks: What is known of the clocks of the leaders.
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
        limits = OfferLimits.from_resend_delay(settings.resend_delay_s)
        self.leader = Leader(
            tokens,
            settings.lease_s,
            LookaheadOptions(settings.lookahead),
            self.overload,
            settings.name,
            limits,
        )
        self.submissions = Submissions(limits, self.hosts.has_reported_all)
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
        self.peer_clocks = PeerClocks()
        self.pause = Pause()
        self.shutting_down = False
        self._racks_of_shards: tuple[Mapping, dict[str, dict[str, float]]] = ({}, {})
        self.apply_remote_slowdown()

    def apply_remote_slowdown(self) -> None:
        """Put the slowdown of the settings in force."""
        self.hosts.set_reports_shards(self._places_near_data)
        self.submissions.remote_slowdown = self.settings.remote_slowdown
        self.leader.set_remote_slowdown(self.settings.remote_slowdown)

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
                self._racks_of(claims),
                self.leader.workers_digests,
                0.0,
            )
        relayed = self.hosts.relayed_digests if self._places_near_data else {}
        for name, beat in self.hosts.leaders.items():
            near = any(data_centre(c.shard) == own_data_centre for c in beat.claims)
            led = (data_centre(claim.shard) for claim in beat.claims)
            evacuated = self.evacuations.leaves_nothing(beat.load.cores, led)
            shards = [claim.shard for claim in beat.claims]
            if not shards and name in relayed:
                shards = self._shards_of(relayed[name])
            racks = self._racks_of(shards)
            view[name] = LeaderView(
                beat.tenure,
                near,
                beat.load,
                evacuated,
                racks,
                beat.workers_digests,
                self.peer_clocks.ahead_s(now, name),
            )
        return view

    @property
    def _places_near_data(self) -> bool:
        return self.settings.remote_slowdown > OFF

    def _shards_of(self, digest: LeaderDigest) -> Iterable[str]:
        """Return the shards of a leader that another one reports.

        In large fleets only its data centres are known, and other leaders there may
        lead some of these shards.
        """
        if digest.led_shards:
            return digest.led_shards
        led = digest.led_data_centres
        return [shard for shard in self.shards if data_centre(shard) in led]

    def _racks_of(self, shards: Iterable[str]) -> Mapping[str, float]:
        """Return the cores of shards by rack; none if no slowdown is in force."""
        if not self._places_near_data:
            return {}
        if self._racks_of_shards[0] is not self.shards:
            by_shard = {n: cores_by_rack(e.values()) for n, e in self.shards.items()}
            self._racks_of_shards = (self.shards, by_shard)
        cores: dict[str, float] = {}
        for shard in shards:
            if data_centre(shard) in self.evacuations.data_centres:
                continue
            for rack, count in self._racks_of_shards[1].get(shard, {}).items():
                cores[rack] = cores.get(rack, 0.0) + count
        return cores

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
