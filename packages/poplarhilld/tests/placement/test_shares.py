"""The division of slots among hosts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill.types import WorkerSpec
from poplarhilld.placement.shares import slot_shares


def workers(slots: list[int]) -> list[WorkerSpec]:
    return [
        WorkerSpec(f"w{n:03}", "booking", "127.0.0.1", 1000 + n, slots=count)
        for n, count in enumerate(slots)
    ]


@settings(derandomize=True)
@given(
    hosts=st.integers(1, 40),
    slots=st.lists(st.integers(1, 64), min_size=1, max_size=60),
    random=st.randoms(use_true_random=False),
)
def test_every_slot_has_one_host_and_all_hosts_agree(hosts, slots, random) -> None:
    names = [f"h{n:02}" for n in range(hosts)]
    specs = workers(slots)
    shares = {}
    for host in names:
        others, shuffled_workers = names[:], specs[:]
        random.shuffle(others)
        random.shuffle(shuffled_workers)
        shares[host] = slot_shares(host, others, shuffled_workers)
    for spec in specs:
        counts = [share[spec.name] for share in shares.values()]
        assert sum(counts) == spec.slots
        assert max(counts) - min(counts) <= 1
    totals = [sum(share.values()) for share in shares.values()]
    assert max(totals) - min(totals) <= 1


def test_the_current_fleet_gives_each_host_one_slot_of_each_worker() -> None:
    hosts = [f"h{n}" for n in range(8)]
    share = slot_shares("h3", hosts, workers([8] * 24))
    assert set(share.values()) == {1}


@pytest.mark.parametrize(
    ("hosts", "slots", "most"), [(8, 8, 9), (4, 8, 10), (8, 3, 6), (3, 64, 86)]
)
def test_a_lost_host_overloads_no_worker_beyond_its_old_and_new_shares(
    hosts, slots, most
) -> None:
    names = [f"h{n}" for n in range(hosts)]
    specs = workers([slots] * 24)
    for lost in names:
        rest = [name for name in names if name != lost]
        for spec in specs:
            outstanding = slot_shares(lost, names, specs)[spec.name]
            for host in rest:
                before = slot_shares(host, names, specs)[spec.name]
                after = slot_shares(host, rest, specs)[spec.name]
                outstanding += max(before, after)
            assert outstanding <= most <= 2 * slots
