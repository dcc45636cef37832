"""Heartbeats and leadership in fleets of 18 to 97 hosts, in simulated time."""

from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType

import pytest

from poplarhill.types import Address
from poplarhilld.decisions import LogDecision
from poplarhilld.evacuation import Evacuation, EvacuationCopy, Evacuations
from poplarhilld.leases import TokenSource
from poplarhilld.peers import Beat, Claim, LeaderDigest, Load, encode
from poplarhilld.peers.codec import Envelope
from poplarhilld.shards import Hosts, LocalHost, SendHeartbeat
from poplarhilld.shards.intervals import HEARTBEAT_INTERVAL_S
from poplarhilld.shards.messages import HostGone

CENTRES = {"dc1": 13, "dc2": 13, "dc3": 11}
SHARDS = {f"{centre}/{number}": 29 for centre in CENTRES for number in (0, 1)}
STEP_S = 0.05
# 3.5 % of a core for control, of which a turn of a process takes 0.67 ms.
MAX_TURNS_PER_S = 52
# An idle host also has a turn for each tick, every 0.075 s.
IDLE_TICKS_PER_S = 13.4
# What hosts send each other for control, at every size of the fleet.
MAX_HEARTBEATS_PER_S = 10
MAX_BYTES_PER_DATA_CENTRE_PER_S = 10_000
PACKET_BYTES = 56
HOST_TIMEOUT_S = 0.6
TAKEOVER_S = 0.5


class LargeFleet:
    """Hosts in several data centres; messages arrive one step later.

    Args:
        centres: Count of the hosts of each data centre.
        shards: Count of the workers of each shard.
        cores: CPU capacity of the first host; each further one has a little less.
        cores_per_worker: CPU capacity that a leader uses for each worker.
    """

    ticks_when_due = False

    def __init__(
        self,
        centres: Mapping[str, int] = MappingProxyType(CENTRES),
        shards: Mapping[str, int] = MappingProxyType(SHARDS),
        cores: float = 2.0,
        cores_per_worker: float = 0.0,
    ) -> None:
        self.cores_per_worker = cores_per_worker
        self.now = 100.0
        self._cores = cores
        self._shards = shards
        self.silent: set[str] = set()
        # The shards that a host knows of, where they differ from `SHARDS`.
        self.shards: dict[str, dict[str, int]] = {}
        self.hosts: dict[str, Hosts] = {}
        self.received: Counter[tuple[str, str]] = Counter()
        self.bytes_received: Counter[tuple[str, str]] = Counter()
        self.counts_bytes = False
        self._sizes: dict[tuple[str, int], tuple[Beat, int]] = {}
        self.lost: list[tuple[float, str, str]] = []
        self._names: dict[Address, str] = {}
        self._in_flight: list[tuple[str, str, object]] = []
        self._seeds = seeds = []
        for centre, count in centres.items():
            for number in range(count):
                address = Address(f"10.{centre[2:]}.0.{number}", 1)
                self._names[address] = f"{centre}-{number:02}"
                if not number:
                    seeds.append(address)
        for number, (address, name) in enumerate(self._names.items()):
            me = LocalHost(name, address, name[:3], 1, cores - 0.0005 * cores * number)
            self.hosts[name] = Hosts(me, seeds, TokenSource(address), self.now)

    def run(self, seconds: float) -> None:
        """Advance the time; silent hosts neither send nor receive."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            messages, self._in_flight = self._in_flight, []
            for sender, receiver, heartbeat in messages:
                if receiver not in self.silent:
                    self.received[sender, receiver] += 1
                    self.bytes_received[sender, receiver] += self._size(
                        sender, heartbeat
                    )
                    self._note(
                        receiver,
                        self.hosts[receiver].heartbeat_received(
                            self.now, sender, heartbeat
                        ),
                    )
            for name in self.hosts.keys() - self.silent:
                self._tick(name)

    def address(self, name: str) -> Address:
        """Return the address of a host."""
        return next(a for a, known in self._names.items() if known == name)

    def restart(self, name: str) -> None:
        """Replace a host by a new process that knows the seeds only."""
        me = LocalHost(name, self.address(name), name[:3], round(self.now * 1000), 1.0)
        tokens = TokenSource(me.address)
        self.hosts[name] = Hosts(me, self._seeds, tokens, self.now)

    def _size(self, sender: str, heartbeat: Beat) -> int:
        """Return the bytes of a heartbeat with the heads of its packets."""
        if not self.counts_bytes:
            return 0
        key = sender, id(heartbeat)
        if key not in self._sizes:
            frame = encode(Envelope(sender, heartbeat))
            self._sizes[key] = heartbeat, len(frame) + PACKET_BYTES
        return self._sizes[key][1]

    def leaders(self, centre: str) -> set[str]:
        """Return the hosts that are not silent and lead workers of a data centre."""
        return {
            name
            for name, hosts in self.hosts.items()
            if name not in self.silent
            and any(shard.startswith(centre) for shard in hosts.claims)
        }

    def busy(self, name: str) -> float:
        """Return the share of its processor that a host uses."""
        led = sum(claim.workers for claim in self.hosts[name].claims.values())
        return min(1.0, led * self.cores_per_worker / self._cores)

    def _tick(self, name: str) -> None:
        shards = self.shards.get(name, self._shards)
        reachable = dict.fromkeys(shards, 0.0)
        if self.ticks_when_due and self.hosts[name].next_tick_at(self.now) > self.now:
            return
        actions = self.hosts[name].tick(
            self.now,
            self.now,
            shards,
            True,
            Load(busy=round(self.busy(name), 1)),
            1,
            reachable,
        )
        for action in self._note(name, actions):
            if isinstance(action, SendHeartbeat):
                receiver = self._names[action.address]
                self._in_flight.append((name, receiver, action.heartbeat))

    def _note(self, name: str, actions: list) -> list:
        for action in actions:
            if isinstance(action, LogDecision) and isinstance(
                action.decision, HostGone
            ):
                self.lost.append((self.now, name, action.decision.host))
        return actions


# Guards against a host that sleeps through what it has to do.
@pytest.fixture(autouse=True, params=[False, True], ids=["each step", "when due"])
def ticks_when_due(request, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LargeFleet, "ticks_when_due", request.param)


@pytest.fixture
def fleet() -> LargeFleet:
    fleet = LargeFleet()
    fleet.run(12.0)
    assert all(len(fleet.leaders(centre)) == 1 for centre in CENTRES)
    return fleet


# Once, 37 hosts without a job took 5,300 turns a second, most of them for heartbeats,
# and simulated days of a large deployment were given up for their processor time.
def test_a_host_without_workers_receives_few_heartbeats(fleet: LargeFleet) -> None:
    fleet.received.clear()
    fleet.run(8.0)
    leading = {name for centre in CENTRES for name in fleet.leaders(centre)}
    for name in fleet.hosts.keys() - leading:
        received = sum(
            count for (_, receiver), count in fleet.received.items() if receiver == name
        )
        assert received / 8.0 + IDLE_TICKS_PER_S <= MAX_TURNS_PER_S


# Guards against heartbeats so rare that hosts are lost although they live.
def test_no_host_is_lost_in_a_calm_fleet(fleet: LargeFleet) -> None:
    fleet.run(20.0)
    assert fleet.lost == []
    assert all(len(hosts.live) == 36 for hosts in fleet.hosts.values())


# Guards against a new leader that takes all hosts for lost, because their last
# heartbeats are older than the timeout of the hosts that a leader knows.
def test_a_new_leader_loses_no_live_host(fleet: LargeFleet) -> None:
    [leader] = fleet.leaders("dc1")
    fleet.silent.add(leader)
    fleet.run(10.0)
    assert len(fleet.leaders("dc1")) == 1
    assert {host for _, _, host in fleet.lost} == {leader}


# Guards against workers without a leader for as long as the rare heartbeats of the
# hosts that lead nothing may take.
def test_a_leader_and_its_successor_that_fall_silent_together_are_succeeded(
    fleet: LargeFleet,
) -> None:
    [leader] = fleet.leaders("dc1")
    successor = min(n for n in fleet.hosts if n.startswith("dc1") and n != leader)
    fleet.silent.update((leader, successor))
    fleet.run(HOST_TIMEOUT_S + TAKEOVER_S)
    [new_leader] = fleet.leaders("dc1")
    assert new_leader not in (leader, successor)


# The takeover waits 2 s in case the hosts there return, as in a small fleet.
def test_a_data_centre_that_falls_silent_is_led_from_another(fleet: LargeFleet) -> None:
    fleet.silent.update(name for name in fleet.hosts if name.startswith("dc3"))
    fleet.run(HOST_TIMEOUT_S + 2.0 + TAKEOVER_S)
    assert len(fleet.leaders("dc3")) == 1


# Once, a host lost sight of the leaders of all other data centres when that of its own
# stopped: it took its jobs from them, though they went on.
def test_a_planned_stop_of_a_leader_hides_no_other_leaders() -> None:
    me = LocalHost("dc1-00", Address("10.1.0.0", 1), "dc1", 1, 2.0)
    hosts = Hosts(me, [], TokenSource(me.address), 0.0)
    other = LeaderDigest("dc2-00", "10.2.0.0", 1, "dc2", ("dc2",), 9, Load())
    claims = (Claim("dc1/0", 5, 20),)
    fields = {"heard": ("dc1-00",), "claims": claims, "tenure": 5, "leaders": (other,)}
    leading = Beat("10.1.0.1", 1, "dc1", 1, 1.0, True, **fields)
    hosts.heartbeat_received(0.1, "dc1-01", leading)
    assert hosts.leaders.keys() == {"dc1-01", "dc2-00"}
    assert not hosts.has_reported_all("dc1-01", 5)
    leaving = leading._replace(claims=(), tenure=0, leaders=(), leaving=True)
    hosts.heartbeat_received(0.2, "dc1-01", leaving)
    assert hosts.leaders.keys() == {"dc2-00"}
    assert hosts.has_reported_all("dc1-01", 5)


# Once, a heartbeat from before a distant host took the lead showed that it led nothing
# any more, and its workers proved that no run of its jobs was left.
def test_a_leader_that_others_reported_has_not_told_that_it_stopped() -> None:
    me = LocalHost("dc1-00", Address("10.1.0.0", 1), "dc1", 1, 2.0)
    hosts = Hosts(me, [], TokenSource(me.address), 0.0)
    distant = Beat("10.2.0.0", 1, "dc2", 1, 1.0, True, heard=("dc1-00",))
    hosts.heartbeat_received(0.1, "dc2-00", distant)
    other = LeaderDigest("dc2-00", "10.2.0.0", 1, "dc2", ("dc2",), 9, Load())
    claims = (Claim("dc1/0", 5, 20),)
    fields = {"heard": ("dc1-00",), "claims": claims, "tenure": 5, "leaders": (other,)}
    reporter = Beat("10.1.0.1", 1, "dc1", 1, 1.0, True, **fields)
    hosts.heartbeat_received(0.2, "dc1-01", reporter)
    assert "dc2-00" in hosts.leaders
    hosts.heartbeat_received(0.3, "dc1-01", reporter._replace(leaders=()))
    assert not hosts.has_reported_all("dc2-00", 9)
    claims = (Claim("dc2/0", 9, 20),)
    leading = distant._replace(claims=claims, tenure=9)
    hosts.heartbeat_received(0.4, "dc2-00", leading)
    hosts.heartbeat_received(0.5, "dc2-00", distant)
    assert hosts.has_reported_all("dc2-00", 9)


# Guards against a leader that learns late that a host is gone, and works on for
# callers that were lost with it.
def test_a_leader_notices_a_silent_host_within_the_timeout(fleet: LargeFleet) -> None:
    [leader] = fleet.leaders("dc1")
    leaders = fleet.leaders("dc2")
    silent = next(n for n in fleet.hosts if n.startswith("dc2") and n not in leaders)
    fleet.silent.add(silent)
    fleet.run(HOST_TIMEOUT_S + 3 * STEP_S)
    assert silent not in fleet.hosts[leader].live


# A host that restarts is found by all others, whichever of them lead.
def test_a_restarted_host_is_found_by_all(fleet: LargeFleet) -> None:
    address = Address("10.2.0.7", 1)
    me = LocalHost("dc2-07", address, "dc2", 5000, 1.0)
    seeds = [Address("10.1.0.0", 1), Address("10.2.0.0", 1), Address("10.3.0.0", 1)]
    fleet.hosts["dc2-07"] = Hosts(me, seeds, TokenSource(address), fleet.now)
    fleet.run(2.0)
    for name, hosts in fleet.hosts.items():
        if name != "dc2-07":
            assert hosts.live["dc2-07"].incarnation == 5000
    assert len(fleet.hosts["dc2-07"].live) == 36


SPLIT_SHARDS = SHARDS | {f"dc1/{number}": 17 for number in range(4)}


# Once, on a simulated day, workers were replaced and a data centre had 65 for a while.
# Its two shards became four, another host claimed one that "had no leader", and the
# tasks on a quarter of the workers were stopped: of the largest jobs of a kind 0.39
# were served, of all 0.88.
@pytest.mark.parametrize("late", ["leader", "others"])
def test_the_leader_of_a_shard_leads_on_when_it_is_split(
    fleet: LargeFleet, late: str
) -> None:
    [leader] = fleet.leaders("dc1")
    epochs = {claim.epoch for claim in fleet.hosts[leader].claims.values()}
    first = fleet.hosts.keys() - {leader} if late == "leader" else {leader}
    for name in first:
        fleet.shards[name] = SPLIT_SHARDS
    fleet.run(2.0)
    assert fleet.leaders("dc1") == {leader}
    for name in fleet.hosts:
        fleet.shards[name] = SPLIT_SHARDS
    fleet.run(STEP_S)
    assert fleet.leaders("dc1") == {leader}
    assert fleet.hosts[leader].claims.keys() == {f"dc1/{n}" for n in range(4)}
    assert {claim.epoch for claim in fleet.hosts[leader].claims.values()} == epochs
    fleet.run(2.0)
    fleet.shards.clear()
    fleet.run(2.0)
    assert fleet.leaders("dc1") == {leader}
    assert fleet.hosts[leader].claims.keys() == {"dc1/0", "dc1/1"}


# A host that takes over while the shards are split leads all of them.
def test_split_shards_whose_leader_falls_silent_are_led_again(
    fleet: LargeFleet,
) -> None:
    [leader] = fleet.leaders("dc1")
    for name in fleet.hosts:
        fleet.shards[name] = SPLIT_SHARDS
    fleet.run(1.0)
    fleet.silent.add(leader)
    fleet.run(HOST_TIMEOUT_S + TAKEOVER_S)
    assert len(fleet.leaders("dc1")) == 1


# Once, hosts that read the list of workers 2 s after the leader claimed the shards that
# it had merged again, as they seemed to have no leader.
def test_merged_shards_stay_with_their_leader_while_others_know_the_split(
    fleet: LargeFleet,
) -> None:
    [leader] = fleet.leaders("dc1")
    for name in fleet.hosts:
        fleet.shards[name] = SPLIT_SHARDS
    fleet.run(2.0)
    fleet.shards[leader] = SHARDS | {"dc1/0": 33, "dc1/1": 33}
    fleet.run(4.0)
    assert fleet.leaders("dc1") == {leader}


# Once, on a simulated day of 97 hosts, every host received 87 heartbeats a second, and
# those between data centres cost more than all else.
@pytest.mark.parametrize(
    ("hosts", "workers", "near_data"),
    [(18, 90, False), (97, 270, False), (97, 270, True)],
)
def test_heartbeats_do_not_grow_with_the_fleet(
    hosts: int, workers: int, near_data: bool
) -> None:
    centres = {f"dc{n}": hosts // 5 + (n <= hosts % 5) for n in range(1, 6)}
    shards = {f"{centre}/{n}": workers // 10 for centre in centres for n in (0, 1)}
    fleet = LargeFleet(centres, shards)
    for host in fleet.hosts.values():
        host.set_reports_shards(near_data)
    fleet.run(8.0)
    leading = set().union(*(fleet.leaders(centre) for centre in centres))
    assert len(leading) == len(centres)
    fleet.received.clear()
    fleet.counts_bytes = True
    fleet.run(4.0)
    received: Counter[str] = Counter()
    bytes_by_centre: Counter[str] = Counter()
    for (sender, receiver), count in fleet.received.items():
        received[receiver] += count
        if sender[:3] != receiver[:3]:
            size = fleet.bytes_received[sender, receiver]
            bytes_by_centre[receiver[:3]] += size
    for name in fleet.hosts.keys() - leading:
        assert received[name] / 4.0 <= MAX_HEARTBEATS_PER_S
    # A leader also receives those of the hosts that it watches.
    for name in leading:
        watched = centres[name[:3]] / HEARTBEAT_INTERVAL_S
        assert received[name] / 4.0 <= watched + 2 * MAX_HEARTBEATS_PER_S
    for centre in centres:
        assert bytes_by_centre[centre] / 4.0 <= MAX_BYTES_PER_DATA_CENTRE_PER_S


# Callers of a data centre whose leader has no room are sent to leaders that their host
# receives no heartbeats from.
def test_hosts_know_the_leaders_of_other_data_centres(fleet: LargeFleet) -> None:
    leading = set().union(*(fleet.leaders(centre) for centre in CENTRES))
    for name, hosts in fleet.hosts.items():
        assert hosts.leaders.keys() == leading - {name}
        for leader in hosts.leaders:
            assert hosts.address(leader) == fleet.address(leader)


# Jobs are sent to the leader of the rack of their data, in any data centre.
def test_hosts_know_the_shards_of_other_data_centres(fleet: LargeFleet) -> None:
    for host in fleet.hosts.values():
        host.set_reports_shards(True)
    fleet.run(4.0)
    for hosts in fleet.hosts.values():
        known = {claim.shard for b in hosts.leaders.values() for claim in b.claims}
        for digest in hosts.relayed_digests.values():
            known.update(digest.led_shards)
        assert known | hosts.claims.keys() == SHARDS.keys()


# A data centre whose hosts were all killed at once and started again has a leader soon,
# and the others still know it.
@pytest.mark.parametrize("killed", [("dc1",), ("dc1", "dc2", "dc3")])
def test_a_herd_that_is_killed_and_started_again_is_led(
    fleet: LargeFleet, killed: tuple[str, ...]
) -> None:
    for name in list(fleet.hosts):
        if name.startswith(killed):
            fleet.restart(name)
    fleet.run(2.0)
    for centre in CENTRES:
        assert len(fleet.leaders(centre)) == 1
    leading = set().union(*(fleet.leaders(centre) for centre in CENTRES))
    fleet.run(2.0)
    for name, hosts in fleet.hosts.items():
        assert hosts.leaders.keys() == leading - {name}


# Once, a host that had been paused for 0.7 s or more claimed the shards of its data
# centre 0.15 s later, since the leader had not yet become live again for it, and all
# leases went from the live leader to it.
@pytest.mark.parametrize("pause_s", [0.7, 1.5, 4.0])
def test_a_host_that_was_paused_takes_nothing_from_a_live_leader(
    fleet: LargeFleet, pause_s: float
) -> None:
    leading = set().union(*(fleet.leaders(centre) for centre in CENTRES))
    paused = next(n for n in fleet.hosts if n.startswith("dc2") and n not in leading)
    fleet.silent.add(paused)
    fleet.run(pause_s)
    fleet.silent.clear()
    for _ in range(40):
        fleet.run(STEP_S)
        assert set().union(*(fleet.leaders(centre) for centre in CENTRES)) == leading
    [leader] = fleet.leaders("dc2")
    assert paused in fleet.hosts[leader].live
    fleet.run(2.0)  # leaders of other data centres send it heartbeats once a second
    assert all(paused in fleet.hosts[name].live for name in leading)


@pytest.fixture
def small_hosts() -> LargeFleet:
    """18 hosts of an eighth of a core, and 45 workers."""
    centres = {f"dc{n}": 4 if n < 4 else 3 for n in range(1, 6)}
    shards = {f"{centre}/{n}": 4 + n for centre in centres for n in (0, 1)}
    fleet = LargeFleet(centres, shards, cores=0.12)
    fleet.run(8.0)
    return fleet


# Once, on a simulated day, one host of an eighth of a core led 45 workers of five data
# centres. The upkeep alone took its processor, and 0.99 of the jobs failed.
def test_a_small_host_leads_no_more_workers_than_its_processor_bears(
    small_hosts: LargeFleet,
) -> None:
    leading = [hosts for hosts in small_hosts.hosts.values() if hosts.claims]
    assert len(leading) == 5
    for hosts in leading:
        assert sum(claim.workers for claim in hosts.claims.values()) == 9


# A leader that has no processor time left was noticed only once it had failed.
def test_a_saturated_leader_shares_its_workers_with_a_neighbour(
    small_hosts: LargeFleet,
) -> None:
    small_hosts.cores_per_worker = 0.012
    small_hosts.run(5.0)
    leading = {name for name, hosts in small_hosts.hosts.items() if hosts.claims}
    assert len(leading) == 10
    for name in leading:
        assert small_hosts.busy(name) <= 0.6
    claims = {name: set(small_hosts.hosts[name].claims) for name in leading}
    for _ in range(20):  # neither gives anything back while the load lasts
        small_hosts.run(1.0)
        assert claims == {
            name: set(hosts.claims)
            for name, hosts in small_hosts.hosts.items()
            if hosts.claims
        }


# A shard that a saturated leader yields to nobody has no leader at all.
def test_a_saturated_leader_without_a_better_neighbour_leads_on(
    small_hosts: LargeFleet,
) -> None:
    small_hosts.cores_per_worker = 0.03
    small_hosts.run(8.0)
    for _ in range(20):
        small_hosts.run(0.5)
        led = [claim for hosts in small_hosts.hosts.values() for claim in hosts.claims]
        assert sorted(led) == sorted(f"dc{n}/{m}" for n in range(1, 6) for m in (0, 1))


# Heartbeats between distant hosts are so rare that a dead leader among them would get
# offers for minutes.
def test_no_host_knows_a_lost_leader_of_another_data_centre(fleet: LargeFleet) -> None:
    [lost] = fleet.leaders("dc2")
    fleet.silent.add(lost)
    fleet.run(HOST_TIMEOUT_S + TAKEOVER_S)
    for name in fleet.hosts.keys() - fleet.silent:
        assert lost not in fleet.hosts[name].leaders
    leading = set().union(*(fleet.leaders(centre) for centre in CENTRES))
    fleet.run(1.0)
    for name in fleet.hosts.keys() - fleet.silent:
        assert fleet.hosts[name].leaders.keys() == leading - {name}


# Once, hosts that do not know who leads the other data centres asked a worker of each
# shard there for its state, twice a second: 41,585 connections in 22 s.
def test_only_leaders_watch_the_workers_of_a_data_centre_without_a_leader(
    fleet: LargeFleet,
) -> None:
    assert not any(hosts.shards_to_watch(SHARDS) for hosts in fleet.hosts.values())
    leading = fleet.leaders("dc1") | fleet.leaders("dc2")
    fleet.silent.update(name for name in fleet.hosts if name.startswith("dc3"))
    fleet.run(HOST_TIMEOUT_S + 0.5)
    for name in fleet.hosts.keys() - fleet.silent:
        watched = {"dc3/0", "dc3/1"} if name in leading else set()
        assert fleet.hosts[name].shards_to_watch(SHARDS) == watched


def spread_s(fleet: LargeFleet, copies: dict[str, EvacuationCopy], end: int) -> float:
    """Return the time until all hosts have a copy with an end, by heartbeats alone."""
    begin = fleet.now
    while any(copy.for_peers.end < end for copy in copies.values()):
        assert fleet.now - begin < 5.0, "later than the users' bound"
        for name, copy in copies.items():
            fleet.hosts[name].set_evacuations(copy.for_peers)
        for sender, receiver, beat in fleet._in_flight:
            received = Evacuations(beat.evacuations_end, beat.evacuations)
            copies[receiver].update(sender, received)
        fleet.run(STEP_S)
    return fleet.now - begin


# Guards against hosts that the store refuses and that learn of it only by rare
# heartbeats: the far ones come every 50 s. From a host to its leader, to the other
# leaders and to their hosts it takes three, and a step for each.
def test_an_evacuation_that_one_host_has_read_reaches_all_hosts(fleet) -> None:
    copies = {name: EvacuationCopy() for name in fleet.hosts}
    reader = next(name for name in fleet.hosts if name not in fleet.leaders("dc2"))
    evacuated = Evacuations(8, (Evacuation("dc1", 7),))
    for copy in (evacuated, Evacuations(9)):
        copies[reader].update("store", copy)
        bound_s = 3 * (HEARTBEAT_INTERVAL_S + 2 * STEP_S)
        assert spread_s(fleet, copies, copy.end) <= bound_s
    assert {copy.data_centres for copy in copies.values()} == {frozenset()}
