"""Expiry of the lease on a worker that does not reply."""

from poplarhill_dev.leased import LEASE_S, worker_entry
from poplarhilld.leading.runs import ORPHAN_TIMEOUT_S
from poplarhilld.leases import LeasedWorker, LeaseReply


def worker_after_one_reply() -> LeasedWorker:
    worker = LeasedWorker(worker_entry("w1"), 7, LEASE_S, 0.0)
    worker.apply_renewal_reply(
        0.0, worker.next_renewal(0.0), LeaseReply(50.0, 1, (), ())
    )
    worker.next_renewal(0.0)
    return worker


def test_a_lease_does_not_expire_before_the_first_reply() -> None:
    worker = LeasedWorker(worker_entry("w1"), 7, LEASE_S, 0.0)
    assert not worker.lease_has_expired(100.0)


def test_expiry_allows_for_a_slow_worker_clock() -> None:
    assert not worker_after_one_reply().lease_has_expired(LEASE_S * 1.02)


def test_expiry_allows_for_a_late_renewal_by_another_leader() -> None:
    # Guards against a past fault: leases were taken to have expired although a host in
    # a partitioned data centre had taken over the workers there.
    assert not worker_after_one_reply().lease_has_expired(
        LEASE_S + ORPHAN_TIMEOUT_S + 0.1
    )


def test_the_lease_of_an_unresponsive_worker_expires() -> None:
    assert worker_after_one_reply().lease_has_expired(2.0 * LEASE_S)


def test_unanswered_renewals_do_not_extend_the_lease() -> None:
    worker = worker_after_one_reply()
    for step in range(1, 40):
        worker.next_renewal(step * 0.05)
    assert worker.lease_has_expired(2.5 * LEASE_S)
