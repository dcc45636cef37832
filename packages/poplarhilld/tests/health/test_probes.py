"""The dispatcher sends an ejected worker no tasks except single probes."""

from random import Random

import pytest

from poplarhill import ErrorKind, JobSpec
from poplarhill.configuration import Configuration
from poplarhill.types import Address
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import SendTask
from poplarhilld.dispatch.events import (
    ConfigurationChanged,
    JobSubmitted,
    TaskLost,
    TaskSucceeded,
)
from poplarhilld.outliers.ejection import FIRST_PAUSE_S

IDENTITY = Identity("h1", "dc1", Address("127.0.0.1", 7001), 1, {})


class Bench:
    """Submits jobs of one task; every task on the worker `failing_worker` fails."""

    def __init__(self) -> None:
        workers = {f"w{n}": {"host": "127.0.0.1", "port": 1000 + n} for n in range(4)}
        document = {"services": {"booking": {"workers": workers}}}
        self.dispatcher = Dispatcher(IDENTITY, Random(1))
        configured = Configuration.from_document(1, document)
        self.dispatcher.handle(0.0, ConfigurationChanged(configured))
        self.now = 0.0
        self.failing_worker = "w0"
        self.jobs = 0

    def submit(self, idempotent: bool = True) -> str:
        """Run one job to its end; return the worker that it ran on."""
        self.now += 0.01
        self.jobs += 1
        name = f"j{self.jobs}"
        spec = JobSpec(
            name, "booking", "default", (b"x",), self.now + 5, idempotent=idempotent
        )
        actions = self.dispatcher.handle(self.now, JobSubmitted(spec))
        [send] = [action for action in actions if isinstance(action, SendTask)]
        worker = send.worker.name
        event = TaskSucceeded(send.task, worker, b"")
        if worker == self.failing_worker:
            event = TaskLost(send.task, worker, ErrorKind.TASK_FAILED, "500")
        self.dispatcher.handle(self.now, event)
        return worker


@pytest.fixture
def ejected() -> Bench:
    bench = Bench()
    while not bench.dispatcher.workers_ejected:
        bench.submit()
        assert bench.jobs < 500
    return bench


def test_an_ejected_worker_gets_no_tasks(ejected) -> None:
    assert "w0" not in {ejected.submit() for _ in range(200)}


def test_a_probe_is_one_task_of_an_idempotent_job(ejected) -> None:
    ejected.now += FIRST_PAUSE_S
    assert "w0" not in {ejected.submit(idempotent=False) for _ in range(50)}
    assert [ejected.submit() for _ in range(50)].count("w0") == 1


def test_a_worker_that_recovers_is_restored_and_used(ejected) -> None:
    ejected.failing_worker = ""
    ejected.now += FIRST_PAUSE_S
    used = [ejected.submit() for _ in range(200)]
    assert not ejected.dispatcher.workers_ejected
    assert used.count("w0") > 10
