"""Submitted jobs: offers, handovers to another leader, and one answer each."""

import math
from collections.abc import Callable

import pytest

from poplarhill import ErrorKind
from poplarhill.exceptions import Failure
from poplarhill.types import Resources
from poplarhilld.catalogue import Route
from poplarhilld.decisions import LogDecision
from poplarhilld.peers import JobEnded, JobProgress, Load, StepSpec
from poplarhilld.peers.messages import UNKNOWN_WORKERS
from poplarhilld.peers.offer_limits import OfferLimits
from poplarhilld.submissions import (
    AnswerCaller,
    LeaderView,
    OfferToLeader,
    Submission,
    Submissions,
    WithdrawFromLeader,
    choose_leader,
)
from poplarhilld.submissions.messages import ANSWER_MARGIN_S
from poplarhilld.submissions.state import LEADERLESS_TIMEOUT_S, REPEAT_INTERVAL_S

ROUTE = Route("r", "one.example", "/r/", "booking", 1.5, 0.06, 1.6, 0, 2)
LEADER = LeaderView(7, True, Load(100.0, 50.0, 0.0))


def of_type(actions: list, kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


@pytest.fixture
def submissions() -> Submissions:
    submissions = Submissions()
    submissions.update_leaders(0.0, {"h1": LEADER})
    return submissions


@pytest.fixture
def submit(submissions: Submissions) -> Callable[..., list]:
    def call(number: int = 1, job_id: str = "a", now: float = 0.0) -> list:
        steps = (StepSpec(4, Resources(6.8, 64, 0), 0.2),)
        submission = Submission(job_id, ROUTE, "{}", steps, 1.5)
        return submissions.submit(now, number, submission)

    return call


def limited(route_timeout_s: float, caller_timeout_s: float = math.inf) -> Submissions:
    """Return submissions with a job that the route and its caller limit."""
    submissions = Submissions()
    submissions.update_leaders(0.0, {"h1": LEADER})
    route = ROUTE._replace(timeout_s=route_timeout_s)
    steps = (StepSpec(4, Resources(6.8, 64, 0), 0.9),)
    submissions.submit(0.0, 1, Submission("a", route, "{}", steps, caller_timeout_s))
    return submissions


# A job was given up 30 ms before the timeout of its route while its caller waited on.
def test_a_job_that_ends_just_before_the_timeout_of_its_route_is_answered() -> None:
    submissions = limited(route_timeout_s=1.4)
    assert not of_type(submissions.tick(1.39), AnswerCaller)
    answers = submissions.apply_report(1.395, "h1", JobEnded("a"))
    assert of_type(answers, AnswerCaller) == [AnswerCaller(1, None)]


# A job whose caller had said that it waits for 3 s was ended after 1.5 s.
def test_a_job_is_not_ended_while_its_caller_says_that_it_waits() -> None:
    submissions = limited(route_timeout_s=1.5, caller_timeout_s=3.0)
    assert not of_type(submissions.tick(2.9), AnswerCaller)
    answers = submissions.apply_report(2.95, "h1", JobEnded("a"))
    assert of_type(answers, AnswerCaller) == [AnswerCaller(1, None)]


def test_a_job_is_given_up_at_the_timeout_of_its_route() -> None:
    submissions = limited(route_timeout_s=1.4)
    [answer] = of_type(submissions.tick(1.4), AnswerCaller)
    assert answer.failure.kind is ErrorKind.TIMEOUT


def test_the_answer_leaves_before_the_caller_gives_up() -> None:
    submissions = limited(route_timeout_s=2.0, caller_timeout_s=1.5)
    [answer] = of_type(submissions.tick(1.5 - ANSWER_MARGIN_S), AnswerCaller)
    assert answer.failure.kind is ErrorKind.TIMEOUT


# Answered at the next tick, a job was given up as much as 50 ms after its limit, when a
# caller that waits little longer had left.
def test_the_next_deadline_is_that_of_the_job_given_up_first(
    submissions, submit
) -> None:
    assert submissions.next_deadline == math.inf
    submit(1, "a", now=0.2)
    submit(2, "b", now=0.1)
    first = submissions.next_deadline
    assert first == pytest.approx(0.1 + 1.5 - ANSWER_MARGIN_S)
    [answer] = of_type(submissions.tick(first), AnswerCaller)
    assert answer.number == 2
    assert submissions.next_deadline > first


def test_the_log_says_what_limited_a_job() -> None:
    for caller_timeout_s, limit in (
        (1.5, "caller"),
        (3.0, "caller"),
        (math.inf, "route"),
    ):
        submissions = limited(2.0, caller_timeout_s)
        [line] = of_type(submissions.tick(3.0), LogDecision)
        assert line.decision.limited_by == limit


def test_a_job_is_offered_and_answered_once(submissions, submit) -> None:
    [offer] = of_type(submit(), OfferToLeader)
    assert (offer.host, offer.offered.offer.handovers) == ("h1", 0)
    answers = submissions.apply_report(0.3, "h1", JobEnded("a"))
    assert of_type(answers, AnswerCaller) == [AnswerCaller(1, None)]
    assert not submissions.apply_report(0.3, "h1", JobEnded("a"))


def test_an_offer_is_repeated_until_it_is_answered(submissions, submit) -> None:
    submit()
    assert not of_type(submissions.tick(REPEAT_INTERVAL_S / 2), OfferToLeader)
    assert of_type(submissions.tick(REPEAT_INTERVAL_S), OfferToLeader)


# Guards against a leader that takes an offer which it has lost for a new one, or a new
# one for one that it has lost.
def test_an_offer_tells_the_tenure_that_it_was_made_to(
    submissions: Submissions, submit: Callable[..., list]
) -> None:
    (first,) = of_type(submit(), OfferToLeader)
    (second,) = of_type(submissions.tick(REPEAT_INTERVAL_S), OfferToLeader)
    again = LEADER._replace(tenure=8)
    (third,) = of_type(submissions.update_leaders(0.4, {"h1": again}), OfferToLeader)
    offers = [action.offered for action in (first, second, third)]
    assert [(one.tenure, one.repeated) for one in offers] == [
        (7, False),
        (7, True),
        (8, False),
    ]
    assert third.offered.offer.handovers == 1


# Once, a leader that was cut off had acknowledged results that never arrived, and the
# next one of the same workers ran these tasks again.
def test_the_workers_of_a_silent_leader_prove_nothing() -> None:
    submissions = Submissions(has_reported_all=lambda name, _: name != "h1")
    submissions.update_leaders(0.0, {"h1": LEADER._replace(workers_digests=(5,))})
    steps = (StepSpec(4, Resources(6.8, 64, 0), 0.2),)
    submissions.submit(0.0, 1, Submission("a", ROUTE, "{}", steps, 1.5))
    h2 = LEADER._replace(tenure=9, workers_digests=(6,))
    (second,) = of_type(submissions.update_leaders(0.2, {"h2": h2}), OfferToLeader)
    assert second.offered.offer.former_workers == (UNKNOWN_WORKERS,)
    actions = submissions.update_leaders(0.3, {"h3": LEADER._replace(tenure=10)})
    (third,) = of_type(actions, OfferToLeader)
    assert third.offered.offer.former_workers == (UNKNOWN_WORKERS, 6)


# Guards against a result that a host does not pass on: a leader that has not got the
# job yet is the only one to learn of it, and may be lost.
@pytest.mark.parametrize(
    ("name", "done"), [("a.0.0.2", (2,)), ("a.0.0.4", ()), ("b.0.0.1", ()), ("a", ())]
)
def test_results_that_another_host_tells_by_name_are_passed_on(
    submissions: Submissions, submit: Callable[..., list], name: str, done: tuple
) -> None:
    submit()
    submissions.note_done([name])
    (offer,) = of_type(submissions.tick(REPEAT_INTERVAL_S), OfferToLeader)
    assert offer.offered.offer.done == done


# Once, the next leader of a job ran its tasks although the former one had told in the
# meantime that it was complete.
def test_a_completion_by_a_former_leader_withdraws_the_job_from_the_next_one(
    submissions: Submissions, submit: Callable[..., list]
) -> None:
    submit()
    submissions.update_leaders(0.2, {"h2": LEADER._replace(tenure=9)})
    actions = submissions.apply_report(0.3, "h1", JobEnded("a"))
    assert [a.host for a in of_type(actions, WithdrawFromLeader)] == ["h2"]
    assert of_type(actions, AnswerCaller) == [AnswerCaller(1, None)]


# Guards against a next leader that takes its own list for that of the former one.
def test_an_offer_names_the_workers_of_the_former_leaders(
    submissions: Submissions, submit: Callable[..., list]
) -> None:
    submissions.update_leaders(0.0, {"h1": LEADER._replace(workers_digests=(5, 6))})
    (first,) = of_type(submit(), OfferToLeader)
    assert first.offered.workers_digests == (5, 6)
    submissions.update_leaders(0.1, {"h1": LEADER._replace(workers_digests=(5, 8))})
    (repeated,) = of_type(submissions.tick(REPEAT_INTERVAL_S), OfferToLeader)
    assert repeated.offered.workers_digests == (5, 8)
    assert repeated.offered.offer.former_workers == ()
    actions = submissions.update_leaders(0.4, {"h2": LEADER._replace(tenure=9)})
    (second,) = of_type(actions, OfferToLeader)
    assert second.offered.offer.former_workers == (5, 8)
    actions = submissions.update_leaders(0.45, {"h3": LEADER._replace(tenure=10)})
    (third,) = of_type(actions, OfferToLeader)
    assert third.offered.offer.former_workers == (5, 8, UNKNOWN_WORKERS)


# Once, a host that resumed from a pause repeated the offers of callers that had closed
# their connections and had sent their jobs elsewhere, since it had not read that yet.
@pytest.mark.parametrize("leaders", [{"h1": LEADER}, {"h2": LEADER}])
def test_a_resumed_host_offers_nothing_before_it_has_read_its_connections(
    submissions: Submissions, submit: Callable[..., list], leaders: dict
) -> None:
    submit(1)
    submit(2, "b")
    submissions.tick(0.05)
    resumed = [*submissions.update_leaders(0.8, leaders), *submissions.tick(0.8)]
    assert not of_type(resumed, OfferToLeader)
    submissions.drop_caller(0.81, 1)
    after = [*submissions.update_leaders(0.85, leaders), *submissions.tick(0.85)]
    offers = of_type(after, OfferToLeader)
    assert [offer.offered.number for offer in offers] == [2]


# Guards against an overloaded host that never repeats its offers, or at every second
# tick only, so that its jobs lapse.
def test_a_host_that_is_always_late_repeats_its_offers(
    submissions: Submissions, submit: Callable[..., list]
) -> None:
    submit()
    ticks = [submissions.tick(at) for at in (0.05, 0.51, 0.97, 1.43)]
    offers = [len(of_type(actions, OfferToLeader)) for actions in ticks]
    assert offers == [0, 0, 1, 1]


# Guards against offers that lapse between two repeats where callers come again sooner.
def test_offers_are_repeated_three_times_within_their_lifetime() -> None:
    submissions = Submissions(OfferLimits.from_resend_delay(0.6))
    submissions.update_leaders(0.0, {"h1": LEADER})
    steps = (StepSpec(4, Resources(6.8, 64, 0), 0.2),)
    submissions.submit(0.0, 1, Submission("a", ROUTE, "{}", steps, 1.5))
    repeats = [
        of_type(submissions.tick(0.01 * step), OfferToLeader) for step in range(30)
    ]
    assert sum(map(bool, repeats)) >= 2


def test_a_job_is_offered_to_the_next_leader_with_its_done_tasks(
    submissions, submit
) -> None:
    submit()
    submissions.apply_report(0.1, "h1", JobProgress("a", (0, 2)))
    actions = submissions.update_leaders(0.2, {"h2": LEADER._replace(tenure=9)})
    [offer] = of_type(actions, OfferToLeader)
    assert offer.host == "h2"
    assert offer.offered.offer.handovers == 1
    assert offer.offered.offer.done == (0, 2)
    assert of_type(actions, WithdrawFromLeader)[0].host == "h1"


# Guards against two submissions of one job whose lines look alike.
def test_the_log_tells_the_submission_and_the_leader_that_it_was_withdrawn_from(
    submissions, submit
) -> None:
    submit(number=7)
    actions = submissions.update_leaders(0.2, {"h2": LEADER._replace(tenure=9)})
    [chosen] = [action.decision for action in of_type(actions, LogDecision)]
    assert (chosen.number, chosen.leader, chosen.withdrawn_from) == (7, "h2", "h1")
    assert chosen.age_s == 0.2
    [answered] = of_type(submissions.drop_caller(0.3, 7), LogDecision)
    assert (answered.decision.number, answered.decision.withdrawn) == (7, True)


def test_a_job_is_offered_again_to_a_leader_with_a_new_tenure(
    submissions, submit
) -> None:
    submit()
    actions = submissions.update_leaders(0.2, {"h1": LEADER._replace(tenure=8)})
    assert of_type(actions, OfferToLeader)


def test_a_refusal_by_a_second_leader_is_not_answered_as_not_run(
    submissions, submit
) -> None:
    submit()
    submissions.update_leaders(0.2, {"h2": LEADER})
    refusal = JobEnded("a", ErrorKind.OVERLOADED.value, "full", 1.0, not_run=True)
    [answer] = of_type(submissions.apply_report(0.3, "h2", refusal), AnswerCaller)
    assert answer.failure.kind is ErrorKind.WORKER_LOST


def test_the_refusal_of_an_earlier_leader_is_ignored(submissions, submit) -> None:
    submit()
    submissions.update_leaders(0.2, {"h2": LEADER})
    refusal = JobEnded("a", ErrorKind.OVERLOADED.value, "full", 1.0, not_run=True)
    assert not submissions.apply_report(0.3, "h1", refusal)


def test_without_any_leader_a_job_is_refused_as_not_run(submissions, submit) -> None:
    submissions.update_leaders(0.0, {})
    submit()
    assert not of_type(submissions.tick(LEADERLESS_TIMEOUT_S / 2), AnswerCaller)
    [answer] = of_type(submissions.tick(LEADERLESS_TIMEOUT_S + 0.1), AnswerCaller)
    assert answer.failure.kind is ErrorKind.NOT_READY
    # The timeout without a leader has passed already, so the answer comes at once.
    [answer] = of_type(submit(2, "b", LEADERLESS_TIMEOUT_S + 0.1), AnswerCaller)
    assert answer.failure.kind is ErrorKind.NOT_READY


def test_a_job_without_outcome_is_answered_before_its_caller_times_out(
    submissions, submit
) -> None:
    submit()
    actions = submissions.tick(1.48)
    assert of_type(actions, AnswerCaller)[0].failure.kind is ErrorKind.TIMEOUT
    assert of_type(actions, WithdrawFromLeader)


def test_the_job_of_a_disconnected_caller_is_withdrawn(submissions, submit) -> None:
    submit()
    assert of_type(submissions.drop_caller(0.1, 1), WithdrawFromLeader)
    assert not len(submissions)


def test_two_callers_of_one_job_get_the_same_outcome(submissions, submit) -> None:
    submit(1)
    submit(2)
    answers = of_type(submissions.apply_report(0.2, "h1", JobEnded("a")), AnswerCaller)
    assert {answer.number for answer in answers} == {1, 2}


def test_the_leader_with_capacity_for_the_whole_job_is_chosen() -> None:
    # Load pattern: jobs of many tasks at a local leader with little free capacity.
    local = LeaderView(1, True, Load(100.0, 10.0, 0.0))
    remote = LeaderView(1, False, Load(100.0, 90.0, 0.0))
    assert (
        choose_leader({"local": local, "remote": remote}, 60.0, "a").leader == "remote"
    )
    assert choose_leader({"local": local, "remote": remote}, 5.0, "a").leader == "local"


def test_jobs_without_local_capacity_are_spread_over_remote_leaders() -> None:
    # Guards against a past fault: many hosts use the same reported loads, a heartbeat
    # old. All jobs of 0.15 s went to the remote leader that had reported the most free
    # capacity, and queued there.
    leaders = {
        "local": LeaderView(1, True, Load(800.0, 0.0, 200.0)),
        "h1": LeaderView(1, False, Load(800.0, 400.0, 0.0)),
        "h2": LeaderView(1, False, Load(800.0, 390.0, 0.0)),
        "h3": LeaderView(1, False, Load(800.0, 380.0, 0.0)),
    }
    jobs = 300
    chosen = [choose_leader(leaders, 60.0, f"j{n}").leader for n in range(jobs)]
    fair_share = jobs / 3
    for name in ("h1", "h2", "h3"):
        assert 0.75 * fair_share <= chosen.count(name) <= 1.25 * fair_share


def test_without_a_local_leader_the_better_of_two_is_chosen() -> None:
    full = LeaderView(1, False, Load(800.0, 0.0, 200.0))
    leaders = {"h1": full, "h2": full._replace(load=Load(800.0, 400.0, 0.0))}
    assert {choose_leader(leaders, 60.0, f"j{n}").leader for n in range(20)} == {"h2"}


def test_a_stopping_host_refuses_a_job_that_it_may_not_answer(
    submissions, submit
) -> None:
    submissions.set_stop_time(5.0)
    assert of_type(submit(number=1, job_id="early", now=3.4), OfferToLeader)
    actions = submit(number=2, job_id="late", now=4.4)
    assert not of_type(actions, OfferToLeader)
    [answer] = of_type(actions, AnswerCaller)
    assert answer.failure.kind is ErrorKind.SHUTTING_DOWN
    assert answer.failure.retry_after_s == 0.0


def submit_to_stopping(
    submissions: Submissions, now: float, run_time_s: float
) -> Failure | None:
    """Submit a job with a limit of 30 s; return why it is refused, if it is."""
    steps = (StepSpec(4, Resources(6.8, 64, 0), run_time_s),)
    route = ROUTE._replace(timeout_s=30.0)
    submission = Submission("a", route, "{}", steps, 30.0)
    actions = submissions.submit(now, 9, submission)
    failures = [answer.failure for answer in of_type(actions, AnswerCaller)]
    return failures[0] if failures else None


# From SIGTERM on, a host refused each job whose limit was longer than its grace period,
# however short the job was.
def test_a_stopping_host_accepts_a_short_job_of_a_patient_caller(submissions) -> None:
    submissions.set_stop_time(5.0)
    assert submit_to_stopping(submissions, 1.0, 0.2) is None


def test_a_stopping_host_refuses_what_probably_ends_after_it(submissions) -> None:
    submissions.set_stop_time(5.0)
    for now, run_time_s in ((4.4, 0.2), (1.0, 4.0), (1.0, 0.0)):
        failure = submit_to_stopping(submissions, now, run_time_s)
        assert failure.kind is ErrorKind.SHUTTING_DOWN


def test_a_stopping_host_goes_by_how_long_jobs_take(submissions) -> None:
    for number in range(20):
        submit_to_stopping(submissions, float(number), 0.2)
        submissions.apply_report(number + 4.0, "h1", JobEnded("a"))
    submissions.set_stop_time(25.0)
    failure = submit_to_stopping(submissions, 20.5, 0.2)
    assert failure.kind is ErrorKind.SHUTTING_DOWN


def test_a_stopping_host_answers_jobs_in_flight_before_it_ends(
    submissions, submit
) -> None:
    submit(number=1, now=3.9)
    submissions.set_stop_time(5.0)
    assert not of_type(submissions.tick(4.9), AnswerCaller)
    assert of_type(submissions.tick(5.0), AnswerCaller)


def test_a_process_that_ends_logs_its_unanswered_jobs(submissions, submit) -> None:
    submit(number=1, job_id="a", now=0.0)
    submit(number=2, job_id="b", now=0.5)
    actions = submissions.abandon_all(0.75)
    lines = [action.decision for action in of_type(actions, LogDecision)]
    assert [(line.job, line.leader, line.age_s) for line in lines] == [
        ("a", "h1", 0.75),
        ("b", "h1", 0.25),
    ]
    assert len(of_type(actions, WithdrawFromLeader)) == 2
    assert not len(submissions)


GIVEN_BACK = JobEnded(
    "a", ErrorKind.NO_WORKERS.value, "evacuated", 1.0, not_run=True, elsewhere=True
)


# Guards against a wait of 1.8 s at the next leader, which a handover would cost.
def test_a_job_that_a_leader_gives_back_is_offered_to_another_one(
    submissions, submit
) -> None:
    submissions.update_leaders(0.0, {"h1": LEADER, "h2": LEADER})
    submit()
    actions = submissions.apply_report(0.1, "h1", GIVEN_BACK)
    [offer] = of_type(actions, OfferToLeader)
    assert (offer.host, offer.offered.offer.handovers) == ("h2", 0)
    assert not submissions.apply_report(0.1, "h1", GIVEN_BACK)
    [answer] = of_type(submissions.apply_report(0.2, "h2", GIVEN_BACK), AnswerCaller)
    assert answer.failure.kind is ErrorKind.NO_WORKERS
    assert answer.failure.retry_after_s == 1.0


def test_a_job_that_was_given_back_after_a_run_is_never_answered_as_not_run(
    submissions, submit
) -> None:
    submissions.update_leaders(0.0, {"h1": LEADER, "h2": LEADER})
    submit()
    begun = GIVEN_BACK._replace(not_run=False, done=(0, 2))
    [offer] = of_type(submissions.apply_report(0.1, "h1", begun), OfferToLeader)
    assert offer.offered.offer.done == (0, 2)
    [answer] = of_type(submissions.apply_report(0.2, "h2", GIVEN_BACK), AnswerCaller)
    assert answer.failure.kind is ErrorKind.WORKER_LOST


def test_an_evacuated_leader_is_offered_no_job_while_there_is_another(
    submissions, submit
) -> None:
    evacuated = LEADER._replace(evacuated=True)
    full = LeaderView(7, False, Load(100.0, 0.0, 900.0))
    submissions.update_leaders(0.0, {"h1": evacuated, "h2": full})
    assert of_type(submit(), OfferToLeader)[0].host == "h2"
    submissions.update_leaders(0.0, {"h1": evacuated})
    assert of_type(submit(2, "b"), OfferToLeader)[0].host == "h1"


# Guards against the end of what runs in an evacuated data centre whose leader is lost.
def test_a_job_of_a_lost_leader_goes_to_the_next_one_of_the_evacuated_workers(
    submissions, submit
) -> None:
    submit()
    near = LEADER._replace(tenure=9, evacuated=True)
    far = LEADER._replace(same_data_centre=False)
    actions = submissions.update_leaders(0.2, {"h2": far, "h3": near})
    [offer] = of_type(actions, OfferToLeader)
    assert (offer.host, offer.offered.offer.handovers) == ("h3", 1)
    begun = GIVEN_BACK._replace(not_run=False)
    [offer] = of_type(submissions.apply_report(0.3, "h3", begun), OfferToLeader)
    assert (offer.host, offer.offered.offer.handovers) == ("h2", 1)
