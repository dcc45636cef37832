"""Tests of hosts that exchange heartbeats over a simulated network with partitions."""

import math
from collections.abc import Callable

import pytest

from poplarhill.types import Address
from poplarhilld.leases import TokenSource
from poplarhilld.peers import Beat, Claim, Load, decode, encode
from poplarhilld.peers.codec import Envelope
from poplarhilld.shards import HostLost, Hosts, LocalHost, SendHeartbeat
from poplarhilld.shards.intervals import HEARTBEAT_INTERVAL_S
from poplarhilld.shards.messages import HeartbeatIgnored
from poplarhilld.shards.peer import Peer

SHARDS = {"dc1/0": 8, "dc2/0": 8}
STEP_S = 0.05


class Fleet:
    """A fleet of two data centres with two hosts each, and simulated time."""

    ticks_when_due = False

    def __init__(self) -> None:
        self.now = 50.0
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.paused: set[str] = set()
        self.down: set[str] = set()
        self.cannot_lead: set[str] = set()
        self.healed_at = 0.0
        self.given_up: list[tuple[str, str]] = []
        self.hosts: dict[str, Hosts] = {}
        self.names = {Address(f"10.{n // 2}.0.{n}", 1): f"h{n}" for n in range(4)}
        self.frames: list[tuple[str, str, bytes]] = []
        for address, name in self.names.items():
            self.start(name, address)

    def start(self, name: str, address: Address, incarnation: int = 1) -> None:
        """Start a host or replace it."""
        me = LocalHost(name, address, f"dc{int(name[1]) // 2 + 1}", incarnation, 0.537)
        seeds = [Address("10.0.0.0", 1), Address("10.1.0.2", 1)]
        self.hosts[name] = Hosts(me, seeds, TokenSource(address), self.now)

    def run(self, seconds: float) -> None:
        """Advance the time; frames are encoded and decoded as between real hosts."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            frames, self.frames = self.frames, []
            for sender, receiver, frame in frames:
                if receiver in self.down:
                    if sender not in self.down:
                        self.hosts[sender].connection_refused(
                            self.now, self.address(receiver)
                        )
                elif receiver in self.paused:
                    self.frames.append((sender, receiver, frame))
                elif not self.cut(sender, receiver):
                    heartbeat = decode(frame).message
                    received = self.hosts[receiver].heartbeat_received(
                        self.now, sender, heartbeat
                    )
                    self.given_up += [
                        (receiver, action.host)
                        for action in received
                        if isinstance(action, HostLost)
                    ]
            for name, hosts in self.hosts.items():
                if name in self.paused or name in self.down:
                    continue
                if self.ticks_when_due and hosts.next_tick_at(self.now) > self.now:
                    continue
                actions = hosts.tick(
                    self.now,
                    self.now,
                    SHARDS,
                    name not in self.cannot_lead,
                    Load(),
                    1,
                    self.reachable_since(name),
                )
                for action in actions:
                    if isinstance(action, HostLost):
                        self.given_up.append((name, action.host))
                    if isinstance(action, SendHeartbeat):
                        frame = encode(Envelope(name, action.heartbeat))
                        self.frames.append((name, self.names[action.address], frame))

    def address(self, name: str) -> Address:
        """Return the address of a host."""
        return next(one for one, host in self.names.items() if host == name)

    def reachable_since(self, name: str) -> dict[str, float]:
        """Return since when the workers of each shard have responded to a host."""
        found = {}
        for shard in SHARDS:
            local = [n for n in self.hosts if f"dc{int(n[1]) // 2 + 1}/0" == shard]
            if not any(self.cut(name, other) for other in local):
                found[shard] = max(self.healed_at, 0.0)
        return found

    def leaders(self, shard: str) -> list[str]:
        """Return the hosts that claim a shard."""
        return [name for name, hosts in self.hosts.items() if shard in hosts.claims]


# Guards against a host that sleeps through what it has to do.
@pytest.fixture(autouse=True, params=[False, True], ids=["each step", "when due"])
def ticks_when_due(request, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Fleet, "ticks_when_due", request.param)


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet()
    fleet.run(2.0)
    return fleet


@pytest.fixture
def partitioned(fleet: Fleet) -> Fleet:
    """The fleet after four seconds of a partition between its data centres."""
    dc1 = {"h0", "h1"}
    fleet.cut = lambda sender, receiver: (sender in dc1) != (receiver in dc1)
    fleet.run(4.0)
    return fleet


@pytest.fixture
def restarted() -> Fleet:
    """Power returns to all hosts; the last one starts 0.3 s after the others."""
    fleet = Fleet()
    fleet.down = {"h3"}
    fleet.run(0.3)
    fleet.down = set()
    fleet.start("h3", fleet.address("h3"), 301)
    return fleet


# After a power loss the shards of a data centre had no leader for 0.4 s longer than the
# others, as one of its hosts was not yet found by the host that was to lead it.
def test_a_host_that_starts_late_is_found_within_two_heartbeats(
    restarted: Fleet,
) -> None:
    restarted.run(2 * HEARTBEAT_INTERVAL_S)
    for name in ("h0", "h1", "h2"):
        assert "h3" in restarted.hosts[name].live
        assert name in restarted.hosts["h3"].live


# A restarted fleet left its workers without a leader for 0.3 s, although all addresses
# were known and there was no leader that hosts could still have to find.
def test_hosts_that_know_all_addresses_soon_have_a_leader() -> None:
    fleet = Fleet()
    for hosts in fleet.hosts.values():
        hosts.set_registered_addresses(fleet.now, fleet.names)
    fleet.run(0.25)
    assert fleet.leaders("dc1/0") == ["h0"]
    assert fleet.leaders("dc2/0") == ["h0"]


def test_a_host_that_knows_no_addresses_waits_longer() -> None:
    fleet = Fleet()
    fleet.run(0.25)
    assert not fleet.leaders("dc1/0")


# Otherwise a restarted host takes the shards of a leader that is slow to answer it.
def test_a_restarted_host_claims_nothing_before_it_has_found_the_leader(
    fleet: Fleet,
) -> None:
    fleet.cut = lambda sender, receiver: {sender, receiver} == {"h0", "h1"}
    fleet.start("h1", fleet.address("h1"), round(1000 * fleet.now))
    fleet.hosts["h1"].set_registered_addresses(fleet.now, fleet.names)
    fleet.run(1.0)
    assert not fleet.hosts["h1"].claims


def test_one_host_leads_a_small_fleet(fleet: Fleet) -> None:
    # If encoding changed the weight of a host, each host would take another one to be
    # the preferred leader and none would lead.
    assert fleet.leaders("dc1/0") == ["h0"]
    assert fleet.leaders("dc2/0") == ["h0"]
    for hosts in fleet.hosts.values():
        assert hosts.leader("dc1/0") == "h0"


def test_hosts_learn_that_a_leader_cannot_read_the_workers(fleet: Fleet) -> None:
    for outdated in (True, False):
        fleet.hosts["h0"].set_outdated(outdated)
        fleet.run(0.5)
        for name in ("h1", "h2", "h3"):
            assert fleet.hosts[name].leaders["h0"].outdated is outdated


def test_shards_too_large_for_one_leader_are_led_in_their_data_centres(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(SHARDS, "dc1/0", 45)
    monkeypatch.setitem(SHARDS, "dc2/0", 45)
    fleet = Fleet()
    fleet.run(5.0)
    assert fleet.leaders("dc1/0") == ["h0"]
    assert fleet.leaders("dc2/0") == ["h2"]


def test_one_host_leads_all_shards_of_a_data_centre_of_a_large_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Once, on simulated days of large fleets, there were eight leaders of 22 workers
    # each: jobs waited at one leader while another had capacity, and jobs of many tasks
    # were late.
    for shard in ("dc1/0", "dc1/1", "dc2/0", "dc2/1"):
        monkeypatch.setitem(SHARDS, shard, 22)
    fleet = Fleet()
    fleet.run(5.0)
    for shard in SHARDS:
        assert fleet.leaders(shard) == ["h0" if shard.startswith("dc1") else "h2"]


def test_leaders_of_a_large_fleet_stay_apart_when_each_has_lost_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against one leader of two data centres, which a partition would separate
    # from half of its workers. The third data centre is unreachable.
    fleet = Fleet()
    reachable_since = fleet.reachable_since
    fleet.reachable_since = lambda name: {
        shard: since
        for shard, since in reachable_since(name).items()
        if shard != "dc3/0"
    }
    for shard in ("dc1/0", "dc2/0", "dc3/0"):
        monkeypatch.setitem(SHARDS, shard, 35)
    fleet.run(8.0)
    assert fleet.leaders("dc1/0") == ["h0"]
    assert fleet.leaders("dc2/0") == ["h2"]
    assert fleet.leaders("dc3/0") == []


def test_the_first_host_that_knows_the_workers_does_not_lead_a_large_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Once, in a replay of 30 hosts, the first host that had read the list of workers
    # claimed all 176 of them, and no other host ever took over any of them.
    for shard in ("dc1/0", "dc2/0"):
        monkeypatch.setitem(SHARDS, shard, 60)
    fleet = Fleet()
    fleet.cannot_lead.update(("h0", "h1", "h3"))
    fleet.run(1.5)
    assert fleet.leaders("dc2/0") == ["h2"]
    assert fleet.leaders("dc1/0") == []
    fleet.cannot_lead.clear()
    fleet.run(0.5)
    assert fleet.leaders("dc2/0") == ["h2"]
    [leader] = fleet.leaders("dc1/0")
    assert leader in ("h0", "h1")


def test_a_fleet_that_outgrows_its_leader_gets_one_leader_per_data_centre(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Once, on a simulated day of a large fleet, 176 workers registered within two
    # seconds, and the host that led the first of them went on to lead all of them.
    fleet = Fleet()
    fleet.run(2.0)
    assert fleet.leaders("dc1/0") == fleet.leaders("dc2/0") == ["h0"]
    for shard in ("dc1/0", "dc1/1", "dc2/0", "dc2/1"):
        monkeypatch.setitem(SHARDS, shard, 22)
    fleet.run(4.0)
    for shard in SHARDS:
        [leader] = fleet.leaders(shard)
        assert leader in (("h0", "h1") if shard.startswith("dc1") else ("h2", "h3"))


def test_remotely_led_workers_of_a_large_fleet_return_to_local_hosts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for shard in ("dc1/0", "dc2/0"):
        monkeypatch.setitem(SHARDS, shard, 60)
    fleet = Fleet()
    fleet.cannot_lead.update(("h0", "h1"))
    fleet.run(4.0)
    [leader] = fleet.leaders("dc1/0")
    assert leader in ("h2", "h3")
    fleet.cannot_lead.clear()
    fleet.run(1.0)
    [leader] = fleet.leaders("dc1/0")
    assert leader in ("h0", "h1")


def test_a_restarted_fleet_is_led_within_half_a_second() -> None:
    # Once, in an incident, the shards of the other data centres had no leader for
    # another 0.7 s after a power loss, and all jobs had to share a third of the
    # capacity.
    fleet = Fleet()
    fleet.run(0.55)
    assert len(fleet.leaders("dc1/0")) == 1
    assert fleet.leaders("dc1/0") == fleet.leaders("dc2/0")


def test_hosts_stay_live(fleet: Fleet) -> None:
    # Once, hosts that considered each other lost sent heartbeats too rarely to become
    # live again.
    for _ in range(100):
        fleet.run(0.1)
        assert all(len(hosts.live) == 3 for hosts in fleet.hosts.values())


def test_another_host_succeeds_a_lost_leader(fleet: Fleet) -> None:
    fleet.paused.add("h0")
    fleet.run(1.0)
    for shard in SHARDS:
        assert fleet.hosts["h3"].leader(shard) == "h1"


# A successor limits the runs that it finds by what the last leader told. Each leader
# takes account of those before it.
def test_a_successor_knows_what_the_last_leader_told(fleet: Fleet) -> None:
    for name in ("h0", "h1"):
        lost_at = fleet.now
        told_at = lost_at - 0.5
        fleet.hosts[name].set_oldest_offer(told_at)
        fleet.run(2 * HEARTBEAT_INTERVAL_S)
        lost_at = fleet.now
        fleet.paused.add(name)
        fleet.run(1.0)
    fleet.run(4.0)  # before it leads the workers of another data centre, too
    successor = fleet.hosts["h2"]
    assert set(successor.claims) == set(SHARDS)
    for shard in SHARDS:
        heard_at, oldest_offer_at = successor.former_leaders[shard]
        assert lost_at - HEARTBEAT_INTERVAL_S <= heard_at <= lost_at + STEP_S
        # A frame is under way for a step, which no other one shows to be a delay.
        assert told_at <= oldest_offer_at <= told_at + STEP_S


# Guards against a new leader whose first heartbeat precedes the replies of its workers:
# it told that all runs there were new, and its own successor extended their leases.
def test_a_new_leader_passes_on_what_the_former_one_told(fleet: Fleet) -> None:
    told_at = fleet.now - 0.4
    fleet.hosts["h0"].set_oldest_offer(told_at)
    fleet.run(2 * HEARTBEAT_INTERVAL_S)
    fleet.paused.add("h0")
    fleet.hosts["h1"].set_oldest_offer(fleet.now + 1.0)
    while not fleet.hosts["h2"].live["h1"].claims:
        fleet.run(STEP_S)
    assert fleet.hosts["h2"].live["h1"].oldest_offer_at_s <= told_at + STEP_S


# Guards against a guess for leaders that do not tell, such as those of earlier builds.
def test_a_successor_of_a_leader_that_told_nothing_assumes_nothing(
    fleet: Fleet,
) -> None:
    fleet.paused.add("h0")
    fleet.run(1.0)
    for shard in SHARDS:
        former = fleet.hosts["h1"].former_leaders[shard]
        assert former.oldest_offer_at == -math.inf


# Guards against a heartbeat that arrives late and makes the runs of its sender newer.
def test_the_time_that_a_heartbeat_was_under_way_makes_no_offer_newer(
    fleet: Fleet,
) -> None:
    fleet.hosts["h0"].set_oldest_offer(fleet.now - 0.4)
    told_at = fleet.now - 0.4
    fleet.run(2 * HEARTBEAT_INTERVAL_S)
    late, sent_at = fleet.hosts["h1"].live["h0"], fleet.now
    fleet.paused.add("h0")
    age_s = fleet.now + 0.3 - late.sent_at_s
    fleet.hosts["h1"].heartbeat_received(sent_at + 0.3, "h0", late, age_s)
    fleet.run(1.5)
    for shard in SHARDS:
        former = fleet.hosts["h1"].former_leaders[shard]
        assert former.oldest_offer_at == pytest.approx(told_at)


# Once, the first heartbeat of a lost leader's next process counted as the leader's,
# so that a late successor gave its runs more time.
def test_a_lost_leader_that_has_restarted_was_not_heard_as_leader(fleet: Fleet) -> None:
    told_at = fleet.now - 0.4
    fleet.hosts["h0"].set_oldest_offer(told_at)
    fleet.run(2 * HEARTBEAT_INTERVAL_S)
    lost_at = fleet.now
    fleet.paused.add("h0")
    fleet.cannot_lead.update(fleet.hosts)
    fleet.run(1.0)
    fleet.paused.clear()
    fleet.start("h0", Address("10.0.0.0", 1), incarnation=2)
    fleet.run(0.5)
    fleet.cannot_lead -= {"h2"}
    fleet.run(4.0)
    for shard in SHARDS:
        heard_at, oldest_offer_at = fleet.hosts["h2"].former_leaders[shard]
        assert lost_at - HEARTBEAT_INTERVAL_S <= heard_at <= lost_at + STEP_S
        assert told_at <= oldest_offer_at <= told_at + STEP_S


def test_a_resumed_leader_yields(fleet: Fleet) -> None:
    fleet.paused.add("h0")
    fleet.run(2.0)
    fleet.paused.clear()
    fleet.run(0.5)
    assert fleet.leaders("dc1/0") == ["h1"]


def test_a_leaving_leader_is_succeeded_at_once(fleet: Fleet) -> None:
    fleet.hosts["h0"].leave()
    fleet.run(0.3)
    assert fleet.leaders("dc1/0") == ["h1"]
    assert fleet.leaders("dc2/0") == ["h1"]


def test_each_data_centre_has_a_leader_during_a_partition(partitioned: Fleet) -> None:
    assert partitioned.leaders("dc1/0") == ["h0"]
    assert partitioned.leaders("dc2/0") == ["h2"]


def test_workers_stay_with_their_leader_right_after_a_partition(
    partitioned: Fleet,
) -> None:
    partitioned.cut = lambda sender, receiver: False
    partitioned.healed_at = partitioned.now
    for _ in range(20):
        partitioned.run(0.1)
        assert partitioned.leaders("dc1/0") == ["h0"]
        assert partitioned.leaders("dc2/0") == ["h2"]


def test_leaders_merge_when_a_partition_has_healed(partitioned: Fleet) -> None:
    partitioned.cut = lambda sender, receiver: False
    partitioned.healed_at = partitioned.now
    partitioned.run(5.0)
    assert partitioned.leaders("dc1/0") == partitioned.leaders("dc2/0")
    assert len(partitioned.leaders("dc1/0")) == 1


def test_a_data_centre_without_hosts_is_led_from_another(fleet: Fleet) -> None:
    fleet.paused.update(("h0", "h1"))
    fleet.run(4.0)
    assert fleet.hosts["h2"].leader("dc1/0") == "h2"
    fleet.paused.clear()
    fleet.run(3.0)
    assert len(fleet.leaders("dc1/0")) == 1


def test_a_host_whose_heartbeats_are_lost_is_not_live(fleet: Fleet) -> None:
    fleet.cut = lambda sender, receiver: sender == "h0"
    fleet.run(2.0)
    assert not fleet.hosts["h0"].live
    assert fleet.hosts["h1"].leader("dc1/0") == "h1"


def test_a_restarted_host_is_found_again(fleet: Fleet) -> None:
    fleet.start("h1", Address("10.0.0.1", 1), incarnation=2)
    fleet.run(1.0)
    assert fleet.hosts["h0"].live["h1"].incarnation == 2
    assert fleet.leaders("dc1/0") == ["h0"]


def test_a_restarted_host_takes_no_shard_from_a_leader_that_it_finds_late(
    fleet: Fleet,
) -> None:
    # Once, on a simulated day of a large fleet, hosts were restarted one after the
    # other. Four of them claimed their data centre 0.3 s after their start, when they
    # received heartbeats from only 5 to 18 of 30 hosts. Each time the leases of 40
    # workers went to another leader, and 270 jobs timed out in these four seconds,
    # some of them because of a partition.
    epochs = {shard: fleet.hosts["h0"].claims[shard].epoch for shard in SHARDS}
    fleet.cut = lambda sender, receiver: (sender, receiver) == ("h0", "h1")
    fleet.start("h1", Address("10.0.0.1", 1), incarnation=60_000)
    fleet.run(0.7)
    assert not fleet.hosts["h1"].claims
    fleet.cut = lambda sender, receiver: False
    fleet.run(1.5)
    for shard, epoch in epochs.items():
        assert fleet.leaders(shard) == ["h0"]
        assert fleet.hosts["h0"].claims[shard].epoch == epoch


def test_hosts_that_start_together_do_not_wait_for_hosts_found_late() -> None:
    # Guards against a delay of 1.5 s after a power loss: each host learns of peers that
    # are not live to it yet, but none of them has led before.
    fleet = Fleet()
    fleet.cut = lambda sender, receiver: sender == "h3" and receiver in ("h0", "h1")
    fleet.run(0.55)
    assert len(fleet.leaders("dc1/0")) == 1


def test_a_cut_off_data_centre_is_led_while_all_its_hosts_leave(
    fleet: Fleet,
) -> None:
    # Once, in a replayed incident, both hosts of a data centre received SIGTERM while
    # it was cut off from the others.
    dc1 = {"h0", "h1"}
    fleet.hosts["h2"].leave()
    fleet.hosts["h3"].leave()
    fleet.cut = lambda sender, receiver: (sender in dc1) != (receiver in dc1)
    fleet.run(1.5)
    [leader] = [name for name in ("h2", "h3") if fleet.hosts[name].claims]
    for name in ("h2", "h3"):
        hosts = fleet.hosts[name]
        assert hosts.leader("dc2/0") == leader
        assert leader == name or leader in hosts.leaders


def test_a_leaving_host_yields_to_one_that_stays(fleet: Fleet) -> None:
    dc1 = {"h0", "h1"}
    fleet.hosts["h2"].leave()
    fleet.hosts["h3"].leave()
    fleet.cut = lambda sender, receiver: (sender in dc1) != (receiver in dc1)
    fleet.run(1.5)
    fleet.cut = lambda sender, receiver: False
    fleet.run(1.5)
    assert fleet.leaders("dc2/0") == ["h0"]
    assert fleet.hosts["h3"].leader("dc2/0") == "h0"


@pytest.mark.parametrize("known", ["10.0.0.9", ":1", "10.0.0.9:x", ""])
def test_a_heartbeat_with_a_bad_address_changes_nothing(
    fleet: Fleet, known: str
) -> None:
    before = fleet.hosts["h1"].live
    heartbeat = before["h0"]._replace(known=("10.0.0.8:1", known), claims=())
    [ignored] = fleet.hosts["h1"].heartbeat_received(fleet.now, "h0", heartbeat)
    assert isinstance(ignored.decision, HeartbeatIgnored)
    assert fleet.hosts["h1"].live == before


# Guards against a heartbeat that is a new object, and thus encoded anew, for each
# receiver.
def test_all_receivers_in_a_tick_get_the_same_heartbeat() -> None:
    fleet = Fleet()
    fleet.run(1.0)
    hosts = fleet.hosts["h0"]
    for _ in range(20):
        fleet.now += 1.0
        heartbeats = [
            action.heartbeat
            for action in hosts.tick(fleet.now, fleet.now, SHARDS, True, Load(), 1, {})
            if isinstance(action, SendHeartbeat)
        ]
        assert len(heartbeats) == 3
        assert len({id(heartbeat) for heartbeat in heartbeats}) <= 2


# Once, a host that restarted with its time of day set back was ignored for good. To it
# no other host was live, so it led on its own, and two leaders leased each worker in
# turn.
def test_a_host_whose_time_of_day_was_set_back_is_live_again(fleet: Fleet) -> None:
    fleet.start("h0", Address("10.0.0.0", 1), incarnation=0)
    fleet.run(4.0)
    assert all(
        "h0" in hosts.live for name, hosts in fleet.hosts.items() if name != "h0"
    )
    assert len(fleet.leaders("dc1/0")) == 1
    assert len(fleet.leaders("dc2/0")) == 1


# Heartbeats that a host sent before it restarted may arrive late.
def test_a_late_heartbeat_from_before_a_restart_is_ignored(fleet: Fleet) -> None:
    late = fleet.hosts["h1"].live["h0"]
    fleet.start("h0", Address("10.0.0.0", 1), incarnation=2)
    fleet.run(2.0)
    fleet.hosts["h1"].heartbeat_received(fleet.now, "h0", late)
    assert fleet.hosts["h1"].live["h0"].incarnation == 2


# Once, a leader stopped the running work for the callers of a host that had been silent
# for 0.6 s, although the host was only paused, and its callers still waited.
def test_the_work_for_a_host_that_is_paused_for_a_second_goes_on(fleet: Fleet) -> None:
    fleet.paused.add("h1")
    fleet.run(1.0)
    assert "h1" not in fleet.hosts["h0"].live
    fleet.paused.clear()
    fleet.run(3.0)
    assert "h1" in fleet.hosts["h0"].live
    assert ("h0", "h1") not in fleet.given_up


# Guards against work that goes on for callers that were lost with their host.
def test_the_work_for_a_host_that_has_restarted_stops(fleet: Fleet) -> None:
    fleet.paused.add("h1")
    fleet.run(1.0)
    fleet.paused.clear()
    fleet.start("h1", Address("10.0.0.1", 1), incarnation=2)
    fleet.run(0.5)
    assert fleet.given_up.count(("h0", "h1")) == 1


# Once, a leader stopped the jobs of live hosts from which it expected more frequent
# heartbeats than they sent. How long jobs of silent hosts go on is a matter of their
# offers (leading/test_lapsed_offers.py), which may arrive when heartbeats do not.
def test_the_work_for_a_silent_host_is_not_stopped_for_its_silence(
    fleet: Fleet,
) -> None:
    fleet.paused.add("h1")
    fleet.run(4.0)
    assert "h1" not in fleet.hosts["h0"].live
    assert ("h0", "h1") not in fleet.given_up
    address = Address("10.0.0.1", 1)
    refused = [fleet.hosts["h0"].connection_refused(fleet.now, address) for _ in "12"]
    lost = [any(isinstance(one, HostLost) for one in actions) for actions in refused]
    assert lost == [True, False]


def test_the_work_for_a_host_that_refuses_connections_stops_at_once(
    fleet: Fleet,
) -> None:
    actions = fleet.hosts["h0"].connection_refused(fleet.now, Address("10.0.0.1", 1))
    assert HostLost("h1") in actions
    [lost] = [action for action in actions if isinstance(action, HostLost)]
    assert (lost.reason, lost.lost_s) == ("its address refuses connections", 0.0)


def test_a_settled_host_ticks_once_an_interval_unless_something_changes(
    fleet: Fleet,
) -> None:
    fleet.run(5.0)
    (leader,) = fleet.leaders("dc1/0")
    follower = fleet.hosts["h3" if leader != "h3" else "h2"]
    assert fleet.hosts[leader].next_tick_at(fleet.now) == fleet.now
    seen = [follower.next_tick_at(fleet.now) - fleet.now]
    for _ in range(40):
        fleet.run(STEP_S)
        seen.append(follower.next_tick_at(fleet.now) - fleet.now)
    assert max(seen) <= HEARTBEAT_INTERVAL_S
    assert sum(wait_s > 0 for wait_s in seen) >= len(seen) / 2
    follower.connection_refused(fleet.now, fleet.address(leader))
    assert follower.changed
    assert follower.next_tick_at(fleet.now) == fleet.now


# Once, the first heartbeat of a leader counted as not delayed, and the leases of the
# runs that it left were extended by as much as it had waited for a paused host.
def test_a_heartbeat_of_unknown_age_does_not_date_the_offers_of_a_leader() -> None:
    claims = (Claim("dc1/0", 5, 8),)
    times = {"sent_at_s": 70.0, "oldest_offer_at_s": 69.5}
    beat = Beat("10.0.0.1", 1, "dc1", 1, 1.0, True, claims=claims, **times)
    peer = Peer("h1", beat, 100.0)
    peer.note_leading(100.0, None)
    assert peer.oldest_offer_at == -math.inf
    peer.note_leading(100.0, 0.25)
    assert peer.oldest_offer_at == pytest.approx(99.25)
