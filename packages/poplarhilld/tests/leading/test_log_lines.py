"""What a leader's log tells of runs whose start or end it has not seen itself."""

from collections.abc import Callable

import pytest

from poplarhill_dev.leased import World, simulated_job
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.messages import (
    JobClosed,
    JobTaken,
    JobWithdrawal,
    LostHostWithdrawn,
    OfferAnswered,
    RunResolved,
)
from poplarhilld.leading.run_messages import (
    RunAdopted,
    RunFound,
    RunPresumedEnded,
    StopOrdered,
    UnknownRunEnded,
)


@pytest.fixture
def lines(world: World, monkeypatch: pytest.MonkeyPatch) -> Callable[..., list]:
    logged: list[tuple[str, object]] = []
    perform = world.perform

    def record(leader: str, actions: list) -> None:
        for action in actions:
            if isinstance(action, LogDecision):
                logged.append((leader, action.decision))
        perform(leader, actions)

    def of_kind(leader: str, kind: type) -> list:
        return [one for by, one in logged if by == leader and isinstance(one, kind)]

    monkeypatch.setattr(world, "perform", record)
    return of_kind


# Guards against an adopted run whose two leaders can't be told from two runs.
def test_a_takeover_logs_which_runs_it_found_and_adopted(world, lines) -> None:
    job = simulated_job("a", tasks=1, run_s=0.5, left_s=3.0)
    world.submit("h1", job)
    world.run(0.1)
    world.paused.add("h1")
    world.add_leader("h2", 2)
    world.run(0.1)
    offer = job.offer._replace(handovers=1, elapsed_s=0.4, left_s=2.6)
    world.perform("h2", world.leaders["h2"].handle_offer(world.now, "e2", 7, offer))
    world.run(1.0)
    [found] = lines("h2", RunFound)
    [adopted] = lines("h2", RunAdopted)
    [resolved] = lines("h2", RunResolved)
    [taken] = lines("h2", JobTaken)
    assert found.action == "orphan"
    assert found[:3] == adopted[:3] == resolved[:3]
    assert 0.0 < adopted.orphan_s <= 0.1
    assert resolved.fate == "done"
    assert 0.0 < resolved.listed_s < 0.6
    submission = (taken.offered_by, taken.number, taken.age_s, taken.left_s)
    assert submission == ("e2", 7, 0.4, 2.6)


# Guards against a lease that is extended for an orphan by what no line shows.
def test_a_takeover_logs_how_old_the_offer_of_an_orphan_may_be(world, lines) -> None:
    world.submit("h1", simulated_job("a", tasks=1, run_s=5.0, left_s=9.0))
    world.silent_hosts.add("e1")
    world.run(0.4)
    world.paused.add("h1")
    world.add_leader("h2", 2, former_heard_at=(world.now,))
    world.run(0.1)
    [found] = lines("h2", RunFound)
    assert 0.4 <= found.offer_age_s <= 0.5
    world.paused.add("h2")
    world.add_leader("h3", 3)
    world.run(0.1)
    [found] = lines("h3", RunFound)
    assert found.offer_age_s is None


# Guards against jobs that end without a line on the loss of their host.
def test_the_jobs_of_a_lost_host_are_logged_with_the_reason(world, lines) -> None:
    world.submit("h1", simulated_job("a", tasks=1, run_s=0.5, left_s=3.0))
    world.run(0.1)
    leader = world.leaders["h1"]
    world.perform("h1", leader.handle_lost_host(world.now, "e1", "silent", 1.5))
    assert lines("h1", LostHostWithdrawn) == [LostHostWithdrawn("e1", "silent", 1.5, 1)]
    [withdrawal] = lines("h1", JobWithdrawal)
    assert withdrawal == JobWithdrawal("a", "e1", "its host was lost", 0, 1)
    [stop] = lines("h1", StopOrdered)
    assert (stop.reason, stop.repeated) == ("its job is closed", False)
    [closed] = lines("h1", JobClosed)
    assert closed.detail == "its host was lost"


# Guards against a run that is only presumed to have ended and looks as if it had.
def test_a_run_that_is_presumed_to_have_ended_is_logged_with_its_lease(
    world, lines
) -> None:
    world.submit("h1", simulated_job("a", tasks=1, run_s=5.0, left_s=9.0))
    world.run(0.1)
    silent = next(worker for worker in world.workers.values() if worker.running)
    silent.unreachable = True
    world.run(3.0)
    [presumed] = lines("h1", RunPresumedEnded)
    assert presumed.reason == "lease expired"
    assert presumed.lease_left_s < 0.0
    assert not lines("h1", UnknownRunEnded)
    silent.unreachable = False
    world.run(1.0)
    [ended] = lines("h1", UnknownRunEnded)
    assert ended[:3] == presumed[:3]


def test_an_offer_of_a_completed_job_is_logged(world, lines) -> None:
    job = simulated_job("a", tasks=1, run_s=0.1, left_s=3.0)
    world.submit("h1", job)
    world.run(0.5)
    world.perform("h1", world.leaders["h1"].handle_offer(world.now, "e2", 3, job.offer))
    assert lines("h1", OfferAnswered) == [OfferAnswered("a", "e2", 3, "complete")]
