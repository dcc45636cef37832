"""Limit and backoff of attempts at tasks that provably were not sent."""

from random import Random

import pytest

from poplarhill import ErrorKind, JobSpec
from poplarhill.configuration import Configuration
from poplarhill.types import Address
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import AnswerJob, SendTask
from poplarhilld.dispatch.events import (
    ConfigurationChanged,
    JobSubmitted,
    TaskSucceeded,
    TaskUnsent,
    Ticked,
)
from poplarhilld.jobs.retries import MAX_SEND_ATTEMPTS

IDENTITY = Identity("h1", "dc1", Address("127.0.0.1", 7001), 1, {})
TICK_S = 0.1


def dispatcher_with(workers: int) -> Dispatcher:
    fields = {f"w{n}": {"host": "127.0.0.1", "port": 1000 + n} for n in range(workers)}
    document = {"services": {"booking": {"workers": fields}}}
    dispatcher = Dispatcher(IDENTITY, Random(1))
    configuration = Configuration.from_document(1, document)
    dispatcher.handle(0.0, ConfigurationChanged(configuration))
    return dispatcher


def job(tasks: int) -> JobSpec:
    return JobSpec("j", "booking", "default", (b"x",) * tasks, 1000.0)


def sends_in(actions: list) -> list[SendTask]:
    return [action for action in actions if isinstance(action, SendTask)]


def refuse_all(dispatcher: Dispatcher, actions: list) -> tuple[list[SendTask], list]:
    """Refuse every send until the job is answered; return the sends and the answer."""
    sends = []
    for tick in range(1000):
        now = tick * TICK_S
        while batch := sends_in(actions):
            sends += batch
            actions = [a for a in actions if isinstance(a, AnswerJob)]
            for send in batch:
                name = send.worker.name
                event = TaskUnsent(send.task, name, "refused", send.attempt)
                actions += dispatcher.handle(now, event)
        if actions:
            return sends, actions
        actions = dispatcher.handle(now + TICK_S, Ticked())
    raise AssertionError("no answer")


@pytest.mark.parametrize("workers", [1, 3])
def test_a_task_that_no_worker_accepts_fails_as_not_run(workers) -> None:
    dispatcher = dispatcher_with(workers)
    sends, [answer] = refuse_all(dispatcher, dispatcher.handle(0, JobSubmitted(job(1))))
    assert len(sends) == MAX_SEND_ATTEMPTS
    assert answer.outcome.kind is ErrorKind.NO_WORKERS
    assert answer.outcome.retry_after_s > 0


def test_a_job_with_a_result_fails_as_may_have_run() -> None:
    dispatcher = dispatcher_with(1)
    first, second = sends_in(dispatcher.handle(0.0, JobSubmitted(job(2))))
    dispatcher.handle(0.0, TaskSucceeded(first.task, "w0", b"r"))
    event = TaskUnsent(second.task, "w0", "refused")
    _, [answer] = refuse_all(dispatcher, dispatcher.handle(0.0, event))
    assert answer.outcome.kind is ErrorKind.WORKER_LOST


def test_a_worker_that_refused_is_not_tried_again_at_once() -> None:
    dispatcher = dispatcher_with(2)
    [first] = sends_in(dispatcher.handle(0.0, JobSubmitted(job(1))))
    event = TaskUnsent(first.task, first.worker.name, "refused")
    [second] = sends_in(dispatcher.handle(0.0, event))
    assert second.worker != first.worker
    event = TaskUnsent(second.task, second.worker.name, "refused", 1)
    assert not sends_in(dispatcher.handle(0.0, event))
    assert sends_in(dispatcher.handle(TICK_S, Ticked()))


def test_a_send_that_this_host_withdrew_pauses_no_worker() -> None:
    dispatcher = dispatcher_with(1)
    [send] = sends_in(dispatcher.handle(0.0, JobSubmitted(job(1))))
    event = TaskUnsent(send.task, "w0", "withdrawn", by_worker=False)
    assert sends_in(dispatcher.handle(0.0, event))
