"""Guarantees of the dispatcher for single events."""

from random import Random

import pytest

from poplarhill import ErrorKind, JobSpec, TaskId
from poplarhill.configuration import Configuration
from poplarhill.types import Address
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import AnswerJob, LogDecision, SendTask, StopTask
from poplarhilld.dispatch.events import (
    ConfigurationChanged,
    JobCancelled,
    JobSubmitted,
    TaskLost,
    TaskSucceeded,
    TaskUnsent,
    Ticked,
)
from poplarhilld.evacuation import EvacuationEnded, EvacuationStarted
from poplarhilld.jobs import Completed

IDENTITY = Identity("h1", "dc1", Address("127.0.0.1", 7001), 1, {})


def document(workers: int) -> dict:
    return {
        "defaults": {"policy": "least_outstanding", "worker_cap": 2},
        "services": {
            "booking": {
                "workers": {
                    f"w{n}": {"host": "127.0.0.1", "port": 1000 + n}
                    for n in range(workers)
                }
            }
        },
    }


def job(tasks: int, job_id: str = "j", deadline: float = 10.0) -> JobSpec:
    bodies = tuple(b"%d" % index for index in range(tasks))
    return JobSpec(job_id, "booking", "default", bodies, deadline)


@pytest.fixture
def dispatcher() -> Dispatcher:
    dispatcher = Dispatcher(IDENTITY, Random(1))
    configuration = Configuration.from_document(1, document(2))
    dispatcher.handle(0.0, ConfigurationChanged(configuration))
    return dispatcher


def actions_of_type(kind: type, actions: list) -> list:
    return [action for action in actions if isinstance(action, kind)]


def test_results_are_in_task_order_whatever_order_tasks_end_in(dispatcher) -> None:
    sends = actions_of_type(SendTask, dispatcher.handle(0.0, JobSubmitted(job(3))))
    actions: list = []
    for send in reversed(sends):
        event = TaskSucceeded(send.task, send.worker.name, b"r" + send.body)
        actions += dispatcher.handle(1.0, event)
    assert actions_of_type(AnswerJob, actions) == [
        AnswerJob("j", Completed((b"r0", b"r1", b"r2")))
    ]


def test_the_first_failure_answers_the_job_and_stops_the_other_tasks(
    dispatcher,
) -> None:
    sends = actions_of_type(SendTask, dispatcher.handle(0.0, JobSubmitted(job(3))))
    lost = TaskLost(sends[0].task, sends[0].worker.name, ErrorKind.WORKER_LOST, "gone")
    actions = dispatcher.handle(1.0, lost)
    [answer] = actions_of_type(AnswerJob, actions)
    assert answer.outcome.kind is ErrorKind.WORKER_LOST
    stopped = {action.task for action in actions_of_type(StopTask, actions)}
    assert stopped == {send.task for send in sends[1:]}


def test_only_a_provably_unsent_task_is_sent_again(dispatcher) -> None:
    [send] = actions_of_type(SendTask, dispatcher.handle(0.0, JobSubmitted(job(1))))
    unsent = TaskUnsent(send.task, send.worker.name, "refused")
    [again] = actions_of_type(SendTask, dispatcher.handle(1.0, unsent))
    assert again.task == TaskId("j", 0)
    assert again.attempt == 1
    lost = TaskLost(again.task, again.worker.name, ErrorKind.WORKER_LOST, "gone", 1)
    assert not actions_of_type(SendTask, dispatcher.handle(2.0, lost))


@pytest.mark.parametrize(
    ("event", "tasks", "kind"),
    [
        (JobCancelled("queued"), 1, ErrorKind.CANCELLED),
        (JobCancelled("j"), 4, ErrorKind.STOPPED),
        (Ticked(), 4, ErrorKind.TIMEOUT),
    ],
)
def test_a_cancelled_or_expired_job_reports_whether_it_may_have_run(
    dispatcher, event, tasks, kind
) -> None:
    dispatcher.handle(0.0, JobSubmitted(job(4)))
    dispatcher.handle(0.0, JobSubmitted(job(1, "queued", deadline=99.0)))
    now = 10.0 if isinstance(event, Ticked) else 1.0
    answers = actions_of_type(AnswerJob, dispatcher.handle(now, event))
    assert [answer.outcome.kind for answer in answers] == [kind]


def evacuate(dispatcher, version: int, *data_centres: str) -> list:
    """Put a configuration in force in which w0 is in dc0 and w1 in dc1."""
    changed = document(2)
    for n, worker in enumerate(changed["services"]["booking"]["workers"].values()):
        worker["data_centre"] = f"dc{n}"
    changed["evacuations"] = {name: {"note": "a fire"} for name in data_centres}
    configuration = Configuration.from_document(version, changed)
    actions = dispatcher.handle(1.0, ConfigurationChanged(configuration))
    return actions + dispatcher.handle(1.0, Ticked())


def lines(actions: list) -> list:
    found = [line.decision for line in actions_of_type(LogDecision, actions)]
    return [one for one in found if type(one).__name__.startswith("Evacuation")]


# Guards the product's own path, on which workers grant no leases.
def test_no_task_is_sent_to_an_evacuated_data_centre(dispatcher) -> None:
    actions = evacuate(dispatcher, 2, "dc0")
    assert lines(actions) == [EvacuationStarted("dc0", 2, "log")]
    sends = actions_of_type(SendTask, dispatcher.handle(1.0, JobSubmitted(job(5))))
    assert {send.worker.name for send in sends} == {"w1"}
    assert lines(evacuate(dispatcher, 3)) == [EvacuationEnded("dc0", 3, "log")]
    assert dispatcher.status(1.0).evacuated == ()


def test_with_all_workers_evacuated_jobs_are_refused_and_running_tasks_finish(
    dispatcher,
) -> None:
    sends = actions_of_type(SendTask, dispatcher.handle(0.0, JobSubmitted(job(4))))
    dispatcher.handle(0.0, JobSubmitted(job(1, "queued", 9.0)))
    dispatcher.handle(0.0, JobSubmitted(job(1, "new", 9.0)))
    actions = evacuate(dispatcher, 2, "dc0", "dc1")
    actions += dispatcher.handle(1.0, JobSubmitted(job(1, "late", 9.0)))
    answers = actions_of_type(AnswerJob, actions)
    assert {answer.job_id for answer in answers} == {"queued", "new", "late"}
    assert {answer.outcome.kind for answer in answers} == {ErrorKind.NO_WORKERS}
    assert all(answer.outcome.retry_after_s for answer in answers)
    for send in sends:
        ended = dispatcher.handle(1.0, TaskSucceeded(send.task, send.worker.name, b""))
    [answer] = actions_of_type(AnswerJob, ended)
    assert isinstance(answer.outcome, Completed)
