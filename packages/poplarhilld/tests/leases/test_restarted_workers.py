"""Workers whose process restarts under the name that it had."""

from poplarhill.types import Resources
from poplarhill_dev.leased import worker_entry
from poplarhilld.leases import (
    LeasedWorker,
    LeaseReply,
    OrderOutcome,
    OrderReply,
    Run,
    RunClosed,
    RunOutcome,
)

RUN = Run("a.0.0.0", 1)
NEEDS = Resources(1.0, 64, 0)
OLD = LeaseReply(480.0, 1, (), ())


# Guards against a second run beside one that the new process has accepted: a list of
# its runs from just before was read after that, and the run was taken for lost.
def test_a_run_that_the_new_process_accepted_is_not_taken_for_lost() -> None:
    worker = LeasedWorker(worker_entry("w1"), 7, 1.0, 0.0)
    worker.apply_renewal_reply(0.0, worker.next_renewal(0.0), OLD)
    renewal = worker.next_renewal(0.1)
    worker.reserve(0.2, RUN, NEEDS)
    worker.apply_order_reply(0.202, RUN, OrderReply(OrderOutcome.ACCEPTED, 0.15))
    assert not worker.apply_renewal_reply(0.203, renewal, LeaseReply(0.14, 2, (), ()))


def test_a_run_of_the_process_before_is_lost() -> None:
    worker = LeasedWorker(worker_entry("w1"), 7, 1.0, 0.0)
    worker.apply_renewal_reply(0.0, worker.next_renewal(0.0), OLD)
    worker.reserve(0.2, RUN, NEEDS)
    worker.apply_order_reply(0.202, RUN, OrderReply(OrderOutcome.ACCEPTED, 480.2))
    renewal = worker.next_renewal(0.3)
    changes = worker.apply_renewal_reply(0.6, renewal, LeaseReply(0.14, 2, (), ()))
    assert changes == [RunClosed(RUN, RunOutcome.LOST)]


# Guards against a second start of a task that is done: the new process of its worker
# took a renewal that was sent to the former one for an acknowledgement of the end.
def test_the_end_of_a_run_that_the_new_process_lost_is_unknown() -> None:
    worker = LeasedWorker(worker_entry("w1"), 7, 1.0, 0.0)
    worker.apply_renewal_reply(0.0, worker.next_renewal(0.0), OLD)
    worker.reserve(0.2, RUN, NEEDS)
    worker.apply_order_reply(0.202, RUN, OrderReply(OrderOutcome.ACCEPTED, 0.05))
    renewal = worker.next_renewal(0.3)
    changes = worker.apply_renewal_reply(0.302, renewal, LeaseReply(0.15, 2, (), ()))
    assert changes == [RunClosed(RUN, RunOutcome.UNKNOWN)]
