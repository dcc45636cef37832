"""Expiry of the lease on a worker that does not reply."""

from poplarhill.types import Resources
from poplarhill_dev.leased import LEASE_S, worker_entry
from poplarhilld.leading.runs import ORPHAN_TIMEOUT_S
from poplarhilld.leases import Lapsing, LeasedWorker, LeaseReply, Run


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


# Guards against runs that outlast their offer by the lease on their worker.
def test_no_renewal_and_no_order_extends_the_lease_past_an_offer() -> None:
    worker = LeasedWorker(worker_entry("w1"), 7, LEASE_S, 0.0, stops_s=0.2)
    reply = LeaseReply(50.0, 1, (Run("a.0.0.0", 1),), ())
    worker.apply_renewal_reply(0.0, worker.next_renewal(0.0), reply)
    worker.set_job(Run("a.0.0.0", 1), Lapsing(0.1))
    renewal = worker.next_renewal(0.0)
    assert abs(renewal.deadline_s - 50.3) < 1e-6
    assert renewal.wait_s < 0.2  # the next one may extend it
    order_deadline_s = worker.reserve(0.0, Run("b.0.0.0", 1), Resources(1.0, 64, 0))
    assert abs(order_deadline_s - 50.3) < 1e-6


# Guards against a run that starts under a lease of unknown length: another leader may
# have extended it before the worker was claimed again.
def test_the_lease_of_a_worker_that_was_claimed_again_may_be_the_longest() -> None:
    worker = worker_after_one_reply()
    worker.reclaim(0.9, 9)
    renewal = worker.next_renewal(0.9)._replace(deadline_s=None)
    worker.apply_renewal_reply(0.9, renewal, LeaseReply(50.9, 1, (), ()))
    assert worker.expires_at >= 0.9 + LEASE_S


# Guards against renewals that are sent more often than before while offers arrive.
def test_an_offer_that_is_repeated_in_time_takes_no_more_renewals() -> None:
    worker = worker_after_one_reply()
    plain = worker.next_renewal(0.0)
    worker.reserve(0.0, Run("a.0.0.0", 1), Resources(1.0, 64, 0), Lapsing(0.65))
    renewal = worker.next_renewal(0.0)
    assert renewal.wait_s == plain.wait_s
    assert renewal.deadline_s > 50.0 + 2 * renewal.wait_s


# Once, an order to a worker with a run of which no offer is known had an infinite
# deadline, which no request can hold.
def test_an_order_beside_a_run_without_an_offer_expires_at_once() -> None:
    worker = worker_after_one_reply()
    found = Run("a.0.0.0", 1)
    renewal = worker.next_renewal(0.1)
    worker.apply_renewal_reply(0.1, renewal, LeaseReply(0.1, 1, (found,), ()))
    worker.set_needs(found, Resources(1.0))
    deadline_s = worker.reserve(0.2, Run("b.0.0.0", 1), Resources(1.0))
    assert deadline_s == worker.clock_s(0.2)
