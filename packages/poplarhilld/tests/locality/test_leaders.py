"""Choice of the leader for jobs that name racks; remote runs take twice as long."""

import pytest

from poplarhill.types import Address, Resources
from poplarhilld.catalogue import Route
from poplarhilld.entry import EntrySettings
from poplarhilld.entry.state import HostState
from poplarhilld.locality import RackLoad
from poplarhilld.peers import Beat, Claim, Load, StepSpec
from poplarhilld.peers.messages import LeaderDigest
from poplarhilld.shards import partition
from poplarhilld.submissions import (
    LeaderView,
    OfferToLeader,
    Submission,
    Submissions,
    choose_leader,
)

STEP = StepSpec(2, Resources(6.0, 64, 0), 0.2, data_rack="r1")
FREE = Load(100.0, 80.0, 0.0)
NEAR = LeaderView(7, False, FREE, racks={"r1": 48.0})
LOCAL = LeaderView(7, True, FREE, racks={"r2": 48.0})
ROUTE = Route("r", "one.example", "/r/", "booking", 1.5, 0.06, 1.6, 0, 2)


def chosen(
    near: LeaderView = NEAR, step: StepSpec = STEP, slowdown: float = 2.0
) -> str:
    leaders = {"local": LOCAL, "near": near}
    return choose_leader(leaders, 12.0, "a", (step,), slowdown).leader


def test_the_leader_of_the_rack_is_chosen_across_data_centres() -> None:
    assert chosen() == "near"


@pytest.mark.parametrize(
    ("step", "slowdown"),
    [
        (STEP, 1.0),
        (STEP._replace(data_rack=""), 2.0),
        (STEP._replace(data_rack="unknown"), 2.0),
    ],
)
def test_the_usual_choice_holds_without_data_or_slowdown(
    step: StepSpec, slowdown: float
) -> None:
    assert chosen(step=step, slowdown=slowdown) == "local"


# A remote run of 0.2 s costs 0.2 s more, one of 0.9 s costs 0.9 s more. Guards against
# a burst on one rack that all hosts send to its leader, whatever the wait there.
def test_short_jobs_go_elsewhere_first_when_the_rack_has_a_wait() -> None:
    busy = Load(100.0, 0.0, 40.0, racks=(RackLoad("r1", 0.3),))
    near = NEAR._replace(load=busy)
    assert chosen(near) == "local"
    assert chosen(near, STEP._replace(run_time_s=0.9)) == "near"


# Guards against a leader that lost all its workers and still leads the rack.
def test_a_leader_without_usable_workers_is_not_chosen_for_its_rack() -> None:
    assert chosen(NEAR._replace(load=Load())) == "local"


# Guards against the choice of the same one of two leaders of a rack by all hosts.
def test_two_leaders_of_a_rack_share_its_jobs() -> None:
    leaders = {"one": NEAR, "two": NEAR, "local": LOCAL}
    names = [
        choose_leader(leaders, 12.0, f"j{n}", (STEP,), 2.0).leader for n in range(100)
    ]
    assert 25 <= names.count("one") <= 75
    assert names.count("local") == 0


# Guards against jobs that stay with a lost or cut-off leader because of their data.
def test_a_job_goes_elsewhere_when_the_leader_of_its_rack_is_lost() -> None:
    submissions = Submissions()
    submissions.remote_slowdown = 2.0
    submissions.update_leaders(0.0, {"local": LOCAL, "near": NEAR})
    first = submissions.submit(0.0, 1, Submission("a", ROUTE, "{}", (STEP,), 1.5))
    again = submissions.update_leaders(0.6, {"local": LOCAL})
    offers = [a.host for a in (*first, *again) if isinstance(a, OfferToLeader)]
    assert offers == ["near", "local"]


@pytest.fixture
def state() -> HostState:
    address = Address("10.0.0.1", 80)
    settings = EntrySettings("h1", "dc1", *[address] * 5, remote_slowdown=2.0)
    return HostState(settings, 0.0)


# Guards against a reload that reaches only one of the two places of the decision.
def test_a_changed_slowdown_is_in_force_at_once(state: HostState) -> None:
    assert state.submissions.remote_slowdown == state.leader.locality.slowdown == 2.0
    state.settings = state.settings._replace(remote_slowdown=1.0)
    state.apply_remote_slowdown()
    assert state.submissions.remote_slowdown == 1.0
    assert not state.leader.locality.on


def test_racks_of_leaders_follow_the_registry(state: HostState, entries: list) -> None:
    state.shards = partition(entries)
    assert state._racks_of(state.shards) == {"r1": 32.0, "r2": 32.0}
    # A worker that returns in another rack, and one that drains.
    entries[0] = entries[0]._replace(rack="r2")
    entries[1] = entries[1]._replace(draining=True)
    state.shards = partition(entries)
    assert state._racks_of(state.shards) == {"r2": 48.0}


# Guards against racks of other data centres that only the local leader knows of: hosts
# of a large fleet get no heartbeats from the leaders there.
@pytest.mark.parametrize("led_shards", [("dc1/0",), ()])
def test_racks_of_a_reported_leader_are_known(
    state: HostState, entries: list, led_shards: tuple
) -> None:
    state.shards = partition(entries)
    near = Beat("10.0.0.2", 80, "dc2", 1, 1.0, True, heard=("h1",), tenure=1)
    digest = LeaderDigest(
        "far", "10.0.0.3", 80, "dc1", ("dc1",), 1, FREE, led_shards=led_shards
    )
    beat = near._replace(claims=(Claim("dc2/0", 1, 4),), leaders=(digest,))
    state.hosts.heartbeat_received(0.1, "near", beat)
    state.hosts.tick(0.1, 0.0, {}, True, Load(), 0, {})
    assert state.known_leaders(0.1)["far"].racks == {"r1": 32.0, "r2": 32.0}
