"""Jobs whose leader was lost while other data centres have one."""

from collections.abc import Callable

import pytest

from poplarhill.types import Resources
from poplarhilld.catalogue import Route
from poplarhilld.peers import Load, StepSpec
from poplarhilld.submissions import (
    LeaderView,
    OfferToLeader,
    Submission,
    Submissions,
)
from poplarhilld.submissions.succession import SUCCESSOR_WAIT_S

TICK_S = 0.05
ROUTE = Route("r", "one.example", "/r/", "booking", 1.5, 0.06, 1.6, 0, 2)
NEAR = LeaderView(7, True, Load(100.0, 50.0, 0.0))
FAR = LeaderView(8, False, Load(100.0, 50.0, 0.0))


def offered_to(actions: list) -> list[str]:
    return [action.host for action in actions if isinstance(action, OfferToLeader)]


@pytest.fixture
def submit() -> Callable[[Submissions, float], list[str]]:
    def call(submissions: Submissions, now: float) -> list[str]:
        steps = (StepSpec(4, Resources(6.8, 64, 0), 0.2),)
        submission = Submission("a", ROUTE, "{}", steps, 1.5)
        return offered_to(submissions.submit(now, 1, submission))

    return call


# Guards against jobs that are offered to another data centre in the tick in which they
# lose their leader: it answers at once that they may still run, and their callers get a
# 502, although the next leader is there some 0.1 s later and adopts their runs.
def test_a_job_waits_for_the_next_leader_of_its_data_centre(submit) -> None:
    submissions = Submissions()
    submissions.update_leaders(0.0, {"h1": NEAR, "h9": FAR})
    assert submit(submissions, 0.0) == ["h1"]
    offers = []
    for tick in range(1, 5):
        now = tick * TICK_S
        offers += offered_to(submissions.update_leaders(now, {"h9": FAR}))
        offers += offered_to(submissions.tick(now))
    # Its workers have not replied yet.
    successor = NEAR._replace(tenure=9, load=Load(0.0, 0.0, 0.0))
    leaders = {"h2": successor, "h9": FAR}
    offers += offered_to(submissions.update_leaders(5 * TICK_S, leaders))
    assert offers == ["h2"]


def test_a_job_goes_elsewhere_if_no_next_leader_comes(submit) -> None:
    submissions = Submissions()
    submissions.update_leaders(0.0, {"h1": NEAR, "h9": FAR})
    submit(submissions, 0.0)
    submissions.update_leaders(TICK_S, {"h9": FAR})
    now = TICK_S + SUCCESSOR_WAIT_S
    assert offered_to(submissions.update_leaders(now, {"h9": FAR})) == ["h9"]


def test_a_new_job_goes_elsewhere_while_its_data_centre_has_no_leader(submit) -> None:
    submissions = Submissions()
    submissions.update_leaders(0.0, {"h1": NEAR, "h9": FAR})
    submissions.update_leaders(TICK_S, {"h9": FAR})
    assert submit(submissions, 2 * TICK_S) == ["h9"]


def test_a_job_of_another_data_centre_moves_at_once(submit) -> None:
    submissions = Submissions()
    submissions.update_leaders(0.0, {"h9": FAR})
    submit(submissions, 0.0)
    leaders = {"h8": FAR._replace(tenure=9)}
    assert offered_to(submissions.update_leaders(TICK_S, leaders)) == ["h8"]
