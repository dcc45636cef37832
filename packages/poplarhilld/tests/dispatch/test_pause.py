"""A pause of the host's process does not distort its estimate of run times."""

from random import Random

from poplarhill import JobSpec
from poplarhill.configuration import Configuration
from poplarhill.types import Address
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import AnswerJob, SendTask
from poplarhilld.dispatch.events import (
    ConfigurationChanged,
    JobSubmitted,
    TaskSucceeded,
    Ticked,
)

IDENTITY = Identity("h1", "dc1", Address("127.0.0.1", 7001), 1, {})
DOCUMENT = {"services": {"a": {"workers": {"w": {"host": "127.0.0.1", "port": 1}}}}}
RUN_S = 0.2
PAUSE_S = 10.0


def test_a_pause_of_the_host_does_not_count_as_run_time_of_tasks() -> None:
    dispatcher = Dispatcher(IDENTITY, Random(1))
    configuration = Configuration.from_document(1, DOCUMENT)
    dispatcher.handle(0.0, ConfigurationChanged(configuration))
    dispatcher.handle(0.0, Ticked())
    large = JobSpec("large", "a", "c", (b"",) * 100, 60.0)
    sends = dispatcher.handle(0.0, JobSubmitted(large))
    for now in (RUN_S, RUN_S + PAUSE_S):
        for send in [action for action in sends if isinstance(action, SendTask)]:
            event = TaskSucceeded(send.task, "w", b"", send.attempt)
            sends = sends + dispatcher.handle(now, event)
        sends = [action for action in sends if isinstance(action, SendTask)][8:]
    # 84 tasks are ahead of it on 8 slots: 2 s with the real run time of 0.2 s, and
    # 105 s if the pause of 10 s counted as run time.
    small = JobSpec("small", "a", "c", (b"",) * 100, 60.0)
    actions = dispatcher.handle(RUN_S + PAUSE_S, JobSubmitted(small))
    assert not [action for action in actions if isinstance(action, AnswerJob)]
