"""When a silent worker is known to run nothing any more."""

from poplarhill_dev.leased import LEASE_S, worker_entry
from poplarhilld.leading.runs import ORPHAN_TIMEOUT_S
from poplarhilld.leases import LeasedWorker, LeaseReply


def heard_once() -> LeasedWorker:
    worker = LeasedWorker(worker_entry("w1"), 7, LEASE_S, 0.0)
    worker.apply_renewal_reply(
        0.0, worker.next_renewal(0.0), LeaseReply(50.0, 1, (), ())
    )
    worker.next_renewal(0.0)
    return worker


def test_a_worker_that_was_never_heard_has_not_lapsed() -> None:
    worker = LeasedWorker(worker_entry("w1"), 7, LEASE_S, 0.0)
    assert not worker.lease_has_expired(100.0)


def test_a_slow_clock_is_allowed_for() -> None:
    assert not heard_once().lease_has_expired(LEASE_S * 1.02)


def test_a_leader_may_have_renewed_at_the_last_moment() -> None:
    # Seen on scale-1 of a site: a cut data centre's own host had taken over.
    assert not heard_once().lease_has_expired(LEASE_S + ORPHAN_TIMEOUT_S + 0.1)


def test_a_silent_worker_has_lapsed_in_the_end() -> None:
    assert heard_once().lease_has_expired(2.0 * LEASE_S)


def test_renewals_that_are_not_answered_extend_nothing() -> None:
    worker = heard_once()
    for step in range(1, 40):
        worker.next_renewal(step * 0.05)
    assert worker.lease_has_expired(2.5 * LEASE_S)
