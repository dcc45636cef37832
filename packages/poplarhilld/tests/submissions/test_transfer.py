"""Jobs that a leader gives back untouched are offered to one with capacity."""

from collections import Counter

import pytest

from poplarhill import ErrorKind
from poplarhill.types import Resources
from poplarhill_dev.leased import SimulatedWorker, World, simulated_job, worker_entry
from poplarhilld.catalogue import Route
from poplarhilld.locality import RackLoad
from poplarhilld.peers import JobEnded, Load, StepSpec
from poplarhilld.submissions import (
    AnswerCaller,
    LeaderView,
    OfferToLeader,
    Submission,
    Submissions,
    WithdrawFromLeader,
    choose_leader,
)
from poplarhilld.submissions.succession import SUCCESSOR_WAIT_S

ROUTE = Route("r", "one.example", "/r/", "booking", 1.5, 0.06, 1.6, 0, 2)
FULL = LeaderView(7, True, Load(100.0, 0.0, 200.0))
FREE = LeaderView(7, False, Load(100.0, 80.0, 0.0))
GIVEN_BACK = JobEnded(
    *("a", ErrorKind.OVERLOADED.value, "expected to wait", 2.0, True, True),
    wait_s=2.0,
    run_s=0.2,
    number=1,
)


def of_type(actions: list, kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


def submitted(leaders: dict[str, LeaderView], job_id: str = "a") -> Submissions:
    """Return submissions with a job that was offered to `h1`."""
    submissions = Submissions()
    submissions.update_leaders(0.0, {"h1": FULL})
    steps = (StepSpec(4, Resources(6.8, 64, 0), 0.2),)
    submissions.submit(0.0, 1, Submission(job_id, ROUTE, "{}", steps, 1.5))
    submissions.update_leaders(0.0, {"h1": FULL, **leaders})
    return submissions


def test_a_job_given_back_is_withdrawn_and_offered_to_a_leader_with_capacity() -> None:
    submissions = submitted({"h2": FREE, "h3": FULL})
    actions = submissions.apply_report(0.1, "h1", GIVEN_BACK)
    [offer] = of_type(actions, OfferToLeader)
    assert (offer.host, offer.offered.offer.handovers) == ("h2", 0)
    assert offer.offered.offer.left_s == pytest.approx(1.37)
    assert [one.host for one in of_type(actions, WithdrawFromLeader)] == ["h1"]
    # The report again, late: it is not about the new leader.
    assert not submissions.apply_report(0.2, "h1", GIVEN_BACK)
    answers = submissions.apply_report(0.5, "h2", JobEnded("a"))
    assert of_type(answers, AnswerCaller) == [AnswerCaller(1, None)]
    assert submissions.transfers == {"offered": 1, "stands": 0, "completed": 1}


# A refusal that stands must be answered at once, with its own Retry-After.
@pytest.mark.parametrize(
    ("now", "other"),
    [
        (0.1, FULL),  # no capacity and no shorter wait
        (1.3, FREE),  # less time left than the job runs
        (0.1, FREE._replace(load=Load())),  # no workers
        (0.1, FREE._replace(load=FREE.load._replace(late=True))),
        (0.1, FREE._replace(evacuated=True)),
    ],
)
def test_the_refusal_stands_if_no_leader_has_capacity_in_time(now, other) -> None:
    submissions = submitted({"h2": other})
    actions = submissions.apply_report(now, "h1", GIVEN_BACK)
    [answer] = of_type(actions, AnswerCaller)
    assert answer.failure.kind is ErrorKind.OVERLOADED
    assert answer.failure.retry_after_s == 2.0
    assert not of_type(actions, OfferToLeader)


def test_a_job_is_offered_to_three_leaders_at_most() -> None:
    submissions = submitted({f"h{n}": FREE for n in range(2, 6)})
    had, leader = ["h1"], "h1"
    for _ in range(2):
        actions = submissions.apply_report(0.1, leader, GIVEN_BACK)
        [offer] = of_type(actions, OfferToLeader)
        leader = offer.host
        had.append(leader)
    actions = submissions.apply_report(0.1, leader, GIVEN_BACK)
    [answer] = of_type(actions, AnswerCaller)
    assert answer.failure.kind is ErrorKind.OVERLOADED
    assert len(set(had)) == 3


# The other submission may have been accepted, and run.
def test_a_job_that_two_callers_wait_for_is_not_transferred() -> None:
    submissions = submitted({})
    steps = (StepSpec(4, Resources(6.8, 64, 0), 0.2),)
    submissions.submit(0.0, 2, Submission("a", ROUTE, "{}", steps, 1.5))
    submissions.update_leaders(0.0, {"h1": FULL, "h2": FREE})
    actions = submissions.apply_report(0.1, "h1", GIVEN_BACK)
    assert not of_type(actions, OfferToLeader)
    [answer] = of_type(actions, AnswerCaller)
    assert answer.number == 1


# A refusal was repeated, and its second copy came after the caller had submitted the
# job again: it must not move the new submission, which its leader may run by then.
def test_a_late_report_on_an_earlier_submission_is_ignored() -> None:
    submissions = submitted({})
    submissions.apply_report(0.1, "h1", GIVEN_BACK)
    steps = (StepSpec(4, Resources(6.8, 64, 0), 0.2),)
    submissions.submit(0.2, 2, Submission("a", ROUTE, "{}", steps, 1.5))
    submissions.update_leaders(0.2, {"h1": FULL, "h2": FREE})
    assert not submissions.apply_report(0.3, "h1", GIVEN_BACK)
    actions = submissions.apply_report(0.4, "h1", GIVEN_BACK._replace(number=2))
    assert of_type(actions, OfferToLeader)[0].host == "h2"


# A job that was handed over may run at its first leader.
def test_a_job_that_was_handed_over_is_not_transferred() -> None:
    submissions = submitted({"h2": FREE, "h3": FREE})
    submissions.update_leaders(0.1, {"h2": FREE, "h3": FREE})
    now = 0.1 + SUCCESSOR_WAIT_S
    actions = submissions.update_leaders(now, {"h2": FREE, "h3": FREE})
    [offer] = of_type(actions, OfferToLeader)
    actions = submissions.apply_report(now + 0.1, offer.host, GIVEN_BACK)
    [answer] = of_type(actions, AnswerCaller)
    assert answer.failure.kind is ErrorKind.WORKER_LOST


# All hosts see the same loads, which are a heartbeat old. If the jobs that a full
# leader gives back in that time went to the best one, they would queue there.
def test_jobs_given_back_are_spread_over_the_leaders_with_capacity() -> None:
    leaders = {
        f"h{n}": FREE._replace(load=Load(800.0, 400.0 - 40 * n, 0.0))
        for n in range(2, 6)
    }
    offers: Counter[str] = Counter()
    for host in range(40):
        for number in range(10):
            job_id = f"j{host}-{number}"
            submissions = submitted(leaders, job_id)
            report = GIVEN_BACK._replace(job_id=job_id)
            actions = submissions.apply_report(0.1, "h1", report)
            offers[of_type(actions, OfferToLeader)[0].host] += 1
    fair_share = 400 / len(leaders)
    assert set(offers) == set(leaders)
    assert all(0.7 * fair_share <= n <= 1.3 * fair_share for n in offers.values())


# Leaders that looked alike were chosen by name, so that all hosts chose the same one.
def test_new_jobs_are_spread_over_leaders_that_look_alike() -> None:
    idle = Load(800.0, 400.0, 0.0)
    for same_data_centre in (True, False):
        leaders = {f"h{n}": LeaderView(1, same_data_centre, idle) for n in range(4)}
        chosen = Counter(
            choose_leader(leaders, 30.0, f"j{n}").leader for n in range(400)
        )
        assert all(70 <= chosen[name] <= 130 for name in leaders)


def test_a_leader_gives_back_what_it_can_not_start_in_time(world: World) -> None:
    for n in range(20):
        world.submit("h1", simulated_job(f"j{n}", tasks=4, run_s=0.4, left_s=1.5))
    refused = [r for _, _, r in world.reports if isinstance(r, JobEnded) and r.error]
    assert refused
    for report in refused:
        assert report.elsewhere and report.not_run
        assert report.wait_s > 0
        assert report.run_s == pytest.approx(0.4)
    world.run(3.0)
    given_back = [
        r for _, _, r in world.reports if isinstance(r, JobEnded) and r.elsewhere
    ]
    for report in given_back:
        assert not any(
            task.startswith(f"{report.job_id}.") for task in world.starts_by_task
        )


# Two entry hosts could offer the job to two leaders.
def test_a_leader_keeps_a_refusal_for_two_entry_hosts(world: World) -> None:
    for n in range(6):
        world.submit("h1", simulated_job(f"j{n}", tasks=4, run_s=0.4, left_s=3.0))
    waiting = [job for job in world.leaders["h1"].jobs.values() if not job.run_count]
    for job in waiting:
        for host in ("e1", "e2"):
            world.submit("h1", world.jobs[job.job_id], host=host)
    assert waiting
    for n in range(60):
        world.submit("h1", simulated_job(f"k{n}", tasks=4, run_s=0.1, left_s=3.0))
        world.run(0.05)
    ended = [r for _, _, r in world.reports if isinstance(r, JobEnded)]
    refused = [r for r in ended if r.error and r.job_id.startswith("j")]
    assert refused
    assert not any(report.elsewhere for report in refused)


@pytest.fixture
def world() -> World:
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(4))
    world.add_leader("h1", 1)
    world.run(0.2)
    return world


# The job needs 0.2 s near its data and 0.6 s elsewhere; 0.5 s are left. Guards against
# a transfer to a leader where it would run remote for longer than its caller waits.
@pytest.mark.parametrize(
    ("racks", "waits", "host"),
    [
        ({}, (), None),
        ({"r2": 64.0}, (), None),
        ({"r1": 64.0}, (), "h2"),
        ({"r1": 64.0}, (RackLoad("r1", 0.35),), None),
    ],
)
def test_a_transfer_counts_the_run_time_by_where_the_data_are(
    racks, waits, host
) -> None:
    submissions = Submissions()
    submissions.remote_slowdown = 3.0
    submissions.update_leaders(0.0, {"h1": FULL})
    steps = (StepSpec(4, Resources(6.8, 64, 0), 0.2, data_rack="r1"),)
    submissions.submit(0.0, 1, Submission("a", ROUTE, "{}", steps, 0.6))
    other = FREE._replace(racks=racks, load=FREE.load._replace(racks=waits))
    submissions.update_leaders(0.0, {"h1": FULL, "h2": other})
    actions = submissions.apply_report(0.1, "h1", GIVEN_BACK)
    offers = of_type(actions, OfferToLeader)
    assert [offer.host for offer in offers] == ([host] if host else [])
