"""Hosts that beat to each other through a mailbox with cuts."""

from collections.abc import Callable

import pytest

from poplarhill.types import Address
from poplarhilld.leases import TokenSource
from poplarhilld.peers import decode, encode
from poplarhilld.peers.codec import Envelope
from poplarhilld.shards import Hosts, Self, SendBeat

SHARDS = ("dc1/0", "dc2/0")
STEP_S = 0.05


class Fleet:
    """Two data centres of two hosts each."""

    def __init__(self) -> None:
        self.now = 50.0
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.paused: set[str] = set()
        self.reachable: dict[str, dict[str, float]] = {}
        self.hosts: dict[str, Hosts] = {}
        self.names = {Address(f"10.{n // 2}.0.{n}", 1): f"h{n}" for n in range(4)}
        self.mail: list[tuple[str, str, bytes]] = []
        for address, name in self.names.items():
            self.start(name, address)

    def start(self, name: str, address: Address, incarnation: int = 1) -> None:
        """Start a host, or replace it."""
        me = Self(name, address, f"dc{int(name[1]) // 2 + 1}", incarnation, 0.537)
        seeds = [Address("10.0.0.0", 1), Address("10.1.0.2", 1)]
        self.hosts[name] = Hosts(me, seeds, TokenSource(address), self.now)

    def run(self, seconds: float) -> None:
        """Let time pass; frames pass through the codec."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            mail, self.mail = self.mail, []
            for sender, receiver, frame in mail:
                if receiver in self.paused:
                    self.mail.append((sender, receiver, frame))
                elif not self.cut(sender, receiver):
                    beat = decode(frame).message
                    self.hosts[receiver].heard(self.now, sender, beat)
            for name, hosts in self.hosts.items():
                if name in self.paused:
                    continue
                actions = hosts.tick(
                    self.now,
                    self.now,
                    SHARDS,
                    True,
                    {},
                    1,
                    self.reachable.get(name, {}),
                )
                for action in actions:
                    if isinstance(action, SendBeat):
                        frame = encode(Envelope(name, action.beat))
                        self.mail.append((name, self.names[action.address], frame))

    def leaders(self, shard: str) -> list[str]:
        """Return who claims a shard."""
        return [name for name, hosts in self.hosts.items() if shard in hosts.claims]


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet()
    fleet.run(2.0)
    return fleet


def test_each_shard_has_one_leader_in_its_data_centre(fleet: Fleet) -> None:
    # Weights must be equal at both ends of a frame, or nobody leads.
    assert fleet.leaders("dc1/0") == ["h0"]
    assert fleet.leaders("dc2/0") == ["h2"]
    for hosts in fleet.hosts.values():
        assert hosts.leader("dc1/0")[0] == "h0"


def test_life_is_steady(fleet: Fleet) -> None:
    # Hosts that took each other for lost beat too rarely to be found again.
    for _ in range(100):
        fleet.run(0.1)
        assert all(len(hosts.live) == 3 for hosts in fleet.hosts.values())


def test_the_other_host_follows_a_lost_leader(fleet: Fleet) -> None:
    fleet.paused.add("h0")
    fleet.run(1.0)
    assert fleet.hosts["h1"].leader("dc1/0")[0] == "h1"


def test_the_woken_leader_yields(fleet: Fleet) -> None:
    fleet.paused.add("h0")
    fleet.run(2.0)
    fleet.paused.clear()
    fleet.run(0.5)
    assert fleet.leaders("dc1/0") == ["h1"]


def test_a_leaving_leader_is_followed_at_once(fleet: Fleet) -> None:
    fleet.hosts["h0"].leave()
    fleet.run(0.3)
    assert fleet.leaders("dc1/0") == ["h1"]


def test_a_cut_data_centre_keeps_its_leader(fleet: Fleet) -> None:
    near = {"h0", "h1"}
    fleet.cut = lambda sender, receiver: (sender in near) != (receiver in near)
    fleet.run(10.0)
    assert fleet.leaders("dc1/0") == ["h0"]
    assert fleet.leaders("dc2/0") == ["h2"]


def test_workers_that_answer_right_after_a_cut_are_left_to_their_leader(
    fleet: Fleet,
) -> None:
    near = {"h0", "h1"}
    fleet.cut = lambda sender, receiver: (sender in near) != (receiver in near)
    fleet.run(5.0)
    fleet.cut = lambda sender, receiver: False
    fleet.reachable = {
        name: {"dc1/0": fleet.now, "dc2/0": fleet.now} for name in fleet.hosts
    }
    for _ in range(40):
        fleet.run(0.1)
        assert fleet.leaders("dc1/0") == ["h0"]


def test_a_data_centre_without_hosts_is_led_from_another(fleet: Fleet) -> None:
    fleet.paused.update(("h0", "h1"))
    fleet.reachable = {name: {"dc1/0": fleet.now} for name in fleet.hosts}
    fleet.run(4.0)
    assert fleet.hosts["h2"].leader("dc1/0")[0] in ("h2", "h3")
    fleet.paused.clear()
    fleet.run(3.0)
    assert fleet.leaders("dc1/0")[0] in ("h0", "h1")
    assert len(fleet.leaders("dc1/0")) == 1


def test_a_host_that_hears_but_is_not_heard_is_not_live(fleet: Fleet) -> None:
    fleet.cut = lambda sender, receiver: sender == "h0"
    fleet.run(2.0)
    assert not fleet.hosts["h0"].live
    assert fleet.hosts["h1"].leader("dc1/0")[0] == "h1"


def test_a_restarted_host_is_found_anew(fleet: Fleet) -> None:
    fleet.start("h1", Address("10.0.0.1", 1), incarnation=2)
    fleet.run(1.0)
    assert fleet.hosts["h0"].live["h1"].incarnation == 2
    assert fleet.leaders("dc1/0") == ["h0"]
