"""Routes by host and prefix, and workers that the platform stops listing."""

from poplarhill.types import Resources
from poplarhill_dev.leased import worker_entry
from poplarhilld.catalogue import Catalogue, Registry, Route
from poplarhilld.catalogue.registry import REJOIN_GRACE_S
from poplarhilld.peers import ReducedWorker


def test_the_route_with_the_longest_prefix_is_chosen() -> None:
    short = Route("short", "one.example", "/a/", "s", 1.0)
    long = Route("long", "one.example", "/a/b/", "s", 1.0)
    other = Route("other", "two.example", "/a/", "s", 1.0)
    catalogue = Catalogue(1, (short, long, other))
    assert catalogue.route("one.example", "/a/b/x") == long
    assert catalogue.route("ONE.example:80", "/a/x") == short
    assert catalogue.route("two.example", "/a/b/x") == other
    assert catalogue.route("three.example", "/a/x") is None
    assert catalogue.route("one.example", "/b") is None


# Registrations expire in an outage of the platform, and the workers register again
# after it.
def test_a_worker_missing_from_the_list_is_kept_for_a_while() -> None:
    registry = Registry()
    entry = worker_entry("w1")
    registry.update(0.0, {"w1": entry})
    registry.update(1.0, {})
    assert "w1" in registry.workers
    assert not registry.is_listed("w1")
    registry.update(2.0, {"w1": entry})
    assert registry.is_listed("w1")


def test_a_worker_missing_for_the_grace_time_is_removed() -> None:
    registry = Registry()
    registry.update(0.0, {"w1": worker_entry("w1")})
    now = 0.0
    while "w1" in registry.workers:
        now += 0.5
        assert now <= 2 * REJOIN_GRACE_S
        registry.update(now, {})


def test_an_outage_of_the_platform_does_not_use_up_the_grace_time() -> None:
    registry = Registry()
    registry.update(0.0, {"w1": worker_entry("w1")})
    registry.update(60.0, {})
    assert "w1" in registry.workers


SMALL = Resources(4.0, 32768, 0)


def test_workers_that_drain_or_have_shrunk_are_reduced() -> None:
    registry = Registry()
    registry.update(0.0, {name: worker_entry(name) for name in ("w1", "w2", "w3")})
    assert not registry.reduced
    shrunk = worker_entry("w1")._replace(room=SMALL)
    draining = worker_entry("w2")._replace(draining=True)
    registry.update(1.0, {"w1": shrunk, "w2": draining, "w3": worker_entry("w3")})
    assert registry.reduced == (
        ReducedWorker("w1", False, SMALL),
        ReducedWorker("w2", True, draining.room),
    )


# A report may be older than the last list, so that it must not give capacity back.
def test_a_report_of_another_host_only_reduces_workers() -> None:
    registry = Registry()
    shrunk = worker_entry("w1")._replace(room=SMALL)
    registry.update(0.0, {"w1": shrunk, "w2": worker_entry("w2")})
    report = (
        ReducedWorker("w1", False, Resources(8.0, 32768, 0)),
        ReducedWorker("w2", True, SMALL),
        ReducedWorker("unknown", True, SMALL),
    )
    assert registry.reduce(report)
    assert registry.workers["w1"].room == SMALL
    assert (registry.workers["w2"].room, registry.workers["w2"].draining) == (
        SMALL,
        True,
    )
    assert not registry.reduce(report)
    registry.update(1.0, {"w1": worker_entry("w1"), "w2": worker_entry("w2")})
    assert not registry.reduced
