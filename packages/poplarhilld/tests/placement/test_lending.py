"""Lending of slots: guarantees to the borrower and to the lender."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhilld.peers.messages import SlotGrant, SlotReturn, WorkerSlots
from poplarhilld.placement import Placement
from poplarhilld.placement.lending import LendingTerms

TERMS = LendingTerms(lease_s=0.5, use_s=0.5, min_waiting=1, reserve=0)
HOSTS = ("h1", "h2", "h3", "h4")
WORKERS = [f"b{n}" for n in range(4)]


@pytest.fixture
def pair(make_placement, make_job, view):
    """A host with many tasks, an idle host, and the first host's request for slots."""
    hosts = ("h1", "h2")
    borrower = make_placement("h1", hosts, lending=True)
    lender = make_placement("h2", hosts, lending=True)
    borrower.enqueue(0.0, make_job("j", 40))
    borrower.place(0.0, view)
    [(peer, request)] = borrower.take_messages()
    assert peer == "h2"
    return borrower, lender, request


def request_grant(lender: Placement, now: float, request) -> SlotGrant:
    lender.receive(now, "h1", request)
    [(peer, grant)] = lender.take_messages()
    assert peer == "h1"
    return grant


def shares(placement: Placement) -> int:
    return sum(placement.share(worker) for worker in WORKERS)


def test_a_grant_is_used_at_once_and_only_once(pair, view) -> None:
    borrower, lender, request = pair
    grant = request_grant(lender, 0.01, request)
    count = sum(item.count for item in grant.slots)
    for _ in range(2):
        borrower.receive(0.02, "h2", grant)
    assert len(borrower.place(0.02, view)) == count
    assert shares(lender) == 8 - count


def test_a_repeated_request_gets_no_second_grant(pair) -> None:
    _, lender, request = pair
    request_grant(lender, 0.01, request)
    lender.receive(0.02, "h1", request)
    assert lender.take_messages() == []


@pytest.mark.parametrize("resumed_at", [0.5, 60.0])
def test_a_borrower_that_paused_past_its_lease_sends_nothing_on_it(
    pair, view, resumed_at
) -> None:
    borrower, lender, request = pair
    grant = request_grant(lender, 0.01, request)
    borrower.receive(0.02, "h2", grant)
    assert borrower.place(resumed_at, view) == []


def test_a_grant_received_after_its_lease_ended_is_not_used(pair, view) -> None:
    borrower, lender, request = pair
    grant = request_grant(lender, 0.01, request)
    borrower.receive(0.51, "h2", grant)
    assert borrower.place(0.51, view) == []


def test_a_lender_reclaims_its_slots_when_the_lease_ends(pair, view) -> None:
    _, lender, request = pair
    request_grant(lender, 0.01, request)
    lender.place(0.5, view)
    assert shares(lender) < 8
    lender.place(0.52, view)
    assert shares(lender) == 8


def test_a_repeated_return_restores_the_lenders_slots_only_once(pair, view) -> None:
    _, lender, request = pair
    grant = request_grant(lender, 0.01, request)
    for _ in range(2):
        lender.receive(0.02, "h1", SlotReturn(grant.request_id, grant.slots))
    assert shares(lender) == 8


def test_an_unsolicited_grant_is_ignored(pair) -> None:
    borrower, _, _ = pair
    borrower.receive(0.1, "h2", SlotGrant(99, 9.0, (WorkerSlots("b0", 5),), 0))
    assert shares(borrower) == 8


class _LendingHosts:
    """Hosts whose frames are held until a step delivers, duplicates or drops them."""

    def __init__(self, make_placement, make_job, view) -> None:
        self.now = 0.0
        self.hosts = {
            name: make_placement(name, HOSTS, TERMS, lending=True) for name in HOSTS
        }
        self._make_job = make_job
        self._view = view
        self.frames: list = []
        self.running: list = []
        self.jobs = 0

    def step(self, kind: str, host: str, number: int) -> None:
        placement = self.hosts[host]
        if kind == "submit":
            self.jobs += 1
            job = self._make_job(f"j{self.jobs}", number % 30 + 1)
            placement.enqueue(self.now, job)
        elif kind == "wait":
            self.now += number / 100
        elif kind == "end" and self.running:
            name, ended = self.running.pop(number % len(self.running))
            self.hosts[name].release(ended.worker, ended.task)
        elif kind in ("deliver", "double", "drop") and self.frames:
            index = number % len(self.frames)
            sender, to, message = self.frames[index]
            if kind != "double":
                self.frames.pop(index)
            if kind != "drop":
                self.hosts[to].receive(self.now, sender, message)
        for placed in placement.place(self.now, self._view):
            self.running.append((host, placed))
        for peer, message in placement.take_messages():
            self.frames.append((host, peer, message))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["submit", "wait", "end", "deliver", "double", "drop"]),
            st.sampled_from(HOSTS),
            st.integers(0, 59),
        ),
        max_size=60,
    )
)
def test_the_shares_of_all_hosts_never_exceed_a_workers_slots(
    make_placement, make_job, healthy_view, steps
) -> None:
    lending_hosts = _LendingHosts(make_placement, make_job, healthy_view)
    for kind, host, number in steps:
        lending_hosts.step(kind, host, number)
        for placement in lending_hosts.hosts.values():
            placement.place(lending_hosts.now, healthy_view)
        for worker in WORKERS:
            held = [p.share(worker) for p in lending_hosts.hosts.values()]
            assert sum(held) <= 4
            assert min(held) >= 0


@pytest.mark.parametrize(
    ("defaults", "reported", "requests_slots"),
    [
        ({}, False, True),
        ({}, True, False),
        ({"lending": True}, True, True),
        ({"lending": False}, False, False),
    ],
)
def test_by_default_slots_are_requested_only_where_workers_report_none(
    make_placement, make_job, view, defaults, reported, requests_slots
) -> None:
    borrower = make_placement("h1", ("h1", "h2"), **defaults)
    borrower.note_free_slots(0.0, WORKERS[0], 0 if reported else None)
    borrower.enqueue(0.0, make_job("j", 160))
    borrower.place(0.0, view)
    assert bool(borrower.take_messages()) is requests_slots
