"""Replies of workers with runs that cannot be decoded."""

import pytest

from poplarhill.types import Resources
from poplarhill_dev.leased import LEASE_S, worker_entry
from poplarhilld.leases import (
    LeasedWorker,
    LeaseReply,
    OrderOutcome,
    OrderReply,
    Run,
    RunClosed,
    RunEnd,
    RunEndKind,
    RunOutcome,
)

RUN = Run("j.0.0.0", 1)
NEEDS = Resources(1.0, 64, 0)
NOTHING = LeaseReply(50.0, 1, (), ())


def renew(worker: LeasedWorker, now: float, reply: LeaseReply) -> list:
    """Renew the lease and apply the reply."""
    renewal = worker.next_renewal(now)
    return worker.apply_renewal_reply(now, renewal, reply)


@pytest.fixture(params=[OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN])
def worker(request) -> LeasedWorker:
    """Return a worker with one ordered run, whose order was accepted or is unknown."""
    worker = LeasedWorker(worker_entry("w1"), 7, LEASE_S, 0.0)
    renew(worker, 0.0, NOTHING)
    worker.reserve(0.0, RUN, NEEDS)
    worker.apply_order_reply(0.0, RUN, OrderReply(request.param))
    return worker


# Guards against a second run of the task and against more work than the worker's
# capacity: a row that cannot be decoded may be the run that is not listed.
def test_an_unreadable_run_frees_no_capacity_and_starts_none(worker) -> None:
    unreadable = NOTHING._replace(clock_s=60.0, unreadable_runs=1)
    assert renew(worker, 10.0, unreadable) == []
    assert worker.find(RUN) is not None
    assert worker.free_capacity() == Resources()
    closed = renew(worker, 11.0, NOTHING._replace(clock_s=61.0))
    assert [change.run for change in closed] == [RUN]
    assert worker.free_capacity() == worker.entry.room


# Guards against jobs that never complete: the rows that can be decoded count.
def test_ends_beside_an_unreadable_run_are_applied(worker) -> None:
    end = RunEnd(1, RUN, RunEndKind.DONE)
    reply = NOTHING._replace(clock_s=60.0, ends=(end,), unreadable_runs=1)
    assert renew(worker, 10.0, reply) == [RunClosed(RUN, RunOutcome.DONE)]
