"""Invariants of the dispatcher under random sequences of events."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from poplarhill import ErrorKind, JobSpec
from poplarhill.configuration import Configuration
from poplarhill.exceptions import RunState
from poplarhill.types import Address
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import AnswerJob, SendTask, StopTask
from poplarhilld.dispatch.events import (
    ConfigurationChanged,
    JobCancelled,
    JobSubmitted,
    ShutdownStarted,
    TaskLost,
    TaskSucceeded,
    TaskUnsent,
    Ticked,
)
from poplarhilld.jobs import Completed

IDENTITY = Identity("h1", "dc1", Address("127.0.0.1", 7001), 1, {})
WORKERS = {f"w{n}": {"host": "127.0.0.1", "port": 1000 + n} for n in range(3)}
DOCUMENT = {"services": {"booking": {"workers": WORKERS}}}
LOST_KINDS = (ErrorKind.WORKER_LOST, ErrorKind.BAD_RESPONSE, ErrorKind.TASK_FAILED)


class DispatcherMachine(RuleBasedStateMachine):
    """Sends random events and checks the actions against its own record of sends."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.dispatcher = Dispatcher(IDENTITY, Random(1))
        self.specs: dict[str, JobSpec] = {}
        self.answers: dict[str, object] = {}
        self.open: dict[object, SendTask] = {}
        self.may_have_run: set[str] = set()
        self.reports: list[object] = []
        self.stopping = False
        self.handle(ConfigurationChanged(Configuration.from_document(1, DOCUMENT)))

    def handle(self, event: object) -> None:
        """Process an event and check each action against the record."""
        for action in self.dispatcher.handle(self.now, event):
            match action:
                case SendTask(task=task):
                    assert task not in self.open, f"{task} sent twice"
                    assert task.job not in self.answers
                    assert self.now < action.send_by <= self.specs[task.job].deadline
                    self.open[task] = action
                case StopTask(task, worker):
                    assert self.open[task].worker == worker
                case AnswerJob(job_id, outcome):
                    assert job_id not in self.answers, "answered twice"
                    self.answers[job_id] = outcome
                    self.check_answer(job_id, outcome)

    def check_answer(self, job_id: str, outcome: object) -> None:
        """Check that an answer is complete, or a failure with a correct run state."""
        tasks = self.specs[job_id].tasks
        if isinstance(outcome, Completed):
            assert outcome.results == tuple(b"r" + body for body in tasks)
            return
        sent = job_id in self.may_have_run
        sent = sent or any(task.job == job_id for task in self.open)
        if outcome.answer.run_state is RunState.NOT_RUN:
            assert not sent, f"{outcome} but a task was sent"

    @rule(tasks=st.integers(1, 6), timeout=st.floats(-1.0, 5.0))
    def submit(self, tasks: int, timeout: float) -> None:
        """Submit a job."""
        job_id = f"j{len(self.specs)}"
        bodies = tuple(b"%d" % index for index in range(tasks))
        deadline = self.now + timeout
        self.specs[job_id] = JobSpec(job_id, "booking", "default", bodies, deadline)
        self.handle(JobSubmitted(self.specs[job_id]))

    @rule(data=st.data(), kind=st.sampled_from(["done", "unsent", *LOST_KINDS]))
    def report(self, data: st.DataObject, kind: object) -> None:
        """Report the outcome of one send."""
        if not self.open:
            return
        task = data.draw(st.sampled_from(sorted(self.open)))
        send = self.open.pop(task)
        worker = send.worker.name
        match kind:
            case "done":
                result = b"r" + send.body
                event = TaskSucceeded(task, worker, result, send.attempt)
            case "unsent":
                event = TaskUnsent(task, worker, "refused", send.attempt)
            case _:
                event = TaskLost(task, worker, kind, "gone", send.attempt)
        if kind != "unsent":
            self.may_have_run.add(task.job)
        self.reports.append(event)
        self.handle(event)

    @rule(data=st.data())
    def report_again(self, data: st.DataObject) -> None:
        """Repeat an earlier report, as a late or duplicate one."""
        if self.reports:
            self.handle(data.draw(st.sampled_from(self.reports)))

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancel a job, whether it is in flight or not."""
        if self.specs:
            self.handle(JobCancelled(data.draw(st.sampled_from(sorted(self.specs)))))

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        self.handle(Ticked())

    @rule()
    def shut_down(self) -> None:
        """Start the shutdown; jobs in flight continue."""
        if len(self.specs) > 3:
            self.stopping = True
            self.handle(ShutdownStarted())

    @invariant()
    def unanswered_jobs_have_time_left(self) -> None:
        """The deadline of every unanswered job is in the future."""
        for job_id, spec in self.specs.items():
            assert job_id in self.answers or spec.deadline > self.now

    @invariant()
    def sends_are_counted(self) -> None:
        """Exactly the sends without a report are counted as outstanding."""
        assert self.dispatcher.sends_in_flight == len(self.open)
        assert self.dispatcher.outstanding == len(self.open)

    def teardown(self) -> None:
        """End every job and report every send; nothing stays outstanding."""
        self.now += 10.0
        self.handle(Ticked())
        assert self.answers.keys() == self.specs.keys()
        assert self.dispatcher.jobs_in_flight == 0
        while self.open:
            self.report_all_lost()
        assert self.dispatcher.outstanding == 0

    def report_all_lost(self) -> None:
        """Report each open send as lost."""
        for task, send in list(self.open.items()):
            del self.open[task]
            name = send.worker.name
            self.handle(TaskLost(task, name, LOST_KINDS[0], "gone", send.attempt))


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
