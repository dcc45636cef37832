"""The dealing of slots among hosts."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill.types import WorkerSpec
from poplarhilld.placement.shares import deal, share_of


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
def test_every_slot_has_one_host_evenly_and_for_all_alike(hosts, slots, random) -> None:
    names = [f"h{n:02}" for n in range(hosts)]
    specs = workers(slots)
    totals: Counter[str] = Counter()
    shuffled_hosts, shuffled_workers = names[:], specs[:]
    random.shuffle(shuffled_hosts)
    random.shuffle(shuffled_workers)
    for name, counts in deal(names, specs).items():
        assert sum(counts) == next(s.slots for s in specs if s.name == name)
        assert max(counts) - min(counts) <= 1
        totals.update(dict(zip(names, counts, strict=True)))
    assert max(totals.values()) - min(totals.values()) <= 1
    for host in names:
        share = share_of(host, shuffled_hosts, shuffled_workers)
        assert sum(share.values()) == totals[host]


def test_todays_size_gives_each_host_one_slot_of_each_worker() -> None:
    hosts = [f"h{n}" for n in range(8)]
    share = share_of("h3", hosts, workers([8] * 24))
    assert set(share.values()) == {1}
