"""Admission of jobs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill import ErrorKind, JobSpec
from poplarhill.configuration import Configuration
from poplarhilld.limits import Backlog, Limits

IDLE = Backlog(tasks_queued=0, tasks_ahead=0, slots=24, run_time_s=0.25)


def job(
    tasks: int, job_id: str = "j", customer: str = "kelani", deadline: float = 1.0
) -> JobSpec:
    return JobSpec(job_id, "verdict", customer, (b"",) * tasks, deadline)


@pytest.fixture
def limits() -> Limits:
    customers = {"kelani": {"quota_tasks": 400}, "small": {"quota_tasks": 50}}
    document = {"customers": customers, "defaults": {"queue_tasks": 1000}}
    return Limits(Configuration.from_document(1, document))


@pytest.mark.parametrize(
    ("hosts", "taken", "tasks", "kind"),
    [
        (1, 390, 10, None),
        (1, 390, 11, ErrorKind.QUOTA_EXCEEDED),
        (8, 0, 160, None),
        (8, 1, 160, ErrorKind.QUOTA_EXCEEDED),
    ],
)
def test_a_quota_is_divided_among_hosts(limits, hosts, taken, tasks, kind) -> None:
    for number in range(taken):
        assert limits.admit(0.0, job(1, str(number)), IDLE) is None
    limits.set_host_count(hosts)
    failure = limits.admit(0.0, job(tasks), IDLE)
    assert (failure and failure.kind) is kind


def test_a_job_larger_than_its_customers_quota_is_impossible(limits) -> None:
    failure = limits.admit(0.0, job(51, customer="small"), IDLE)
    assert failure.kind is ErrorKind.IMPOSSIBLE


@pytest.mark.parametrize(
    ("backlog", "kind"),
    [
        (IDLE._replace(tasks_queued=999), None),
        (IDLE._replace(tasks_queued=1000), ErrorKind.OVERLOADED),
        (IDLE._replace(tasks_ahead=72), None),
        (IDLE._replace(tasks_ahead=73), ErrorKind.OVERLOADED),
        (IDLE._replace(run_time_s=5.0), None),
    ],
    ids=["room", "full", "in time", "too late", "slow but idle"],
)
def test_a_job_is_refused_if_the_queue_is_full_or_it_would_be_late(
    limits, backlog, kind
) -> None:
    failure = limits.admit(0.0, job(1), backlog)
    assert (failure and failure.kind) is kind
    if failure:
        assert failure.retry_after_s > 0


@pytest.mark.parametrize(
    ("defaults", "ahead", "refused"),
    [
        ({"queue_wait_s": 5}, 480, False),
        ({"queue_wait_s": 5}, 481, True),
        ({}, 4800, False),
    ],
)
def test_a_job_is_refused_when_the_expected_wait_exceeds_queue_wait_s(
    defaults, ahead, refused
) -> None:
    limits = Limits(Configuration.from_document(1, {"defaults": defaults}))
    backlog = IDLE._replace(tasks_ahead=ahead)
    failure = limits.admit(0.0, job(1, deadline=60.0), backlog)
    assert bool(failure) is refused


def test_retry_times_of_refused_jobs_are_spread(limits) -> None:
    full = IDLE._replace(tasks_queued=1000, tasks_ahead=1200)
    times = [
        limits.admit(0.0, job(1, str(number)), full).retry_after_s
        for number in range(1000)
    ]
    wait_s = full.wait_s()
    assert min(times) >= wait_s
    assert max(times) <= 2 * wait_s
    in_first_half = sum(time < 1.5 * wait_s for time in times)
    assert 400 < in_first_half < 600


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 160), st.booleans()), max_size=30))
def test_released_jobs_free_their_quota(sizes) -> None:
    limits = Limits(Configuration.from_document(1, {}))
    admitted = []
    for number, (size, release_first) in enumerate(sizes):
        if release_first and admitted:
            limits.release(admitted.pop())
        spec = job(size, str(number))
        if limits.admit(0.0, spec, IDLE) is None:
            admitted.append(spec)
    assert limits.in_flight.total() == sum(len(spec.tasks) for spec in admitted)
    for spec in admitted:
        limits.release(spec)
    assert not limits.in_flight
