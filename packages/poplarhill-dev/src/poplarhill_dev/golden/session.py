"""Replays a golden session with the dispatcher, without sockets or a clock.

A session is a text file. A line that begins with `>` is an event: its time in
seconds, its name and its arguments. The lines that begin with `<` after it are the
host's actions. All other lines are comments. A replay keeps events and comments and
replaces the actions, so that a diff of the recorded session shows every change of
behaviour.

Events:
    publish ID BASE JSON: An operator's change is appended to the log, and the host
        reads it; JSON is a merge patch. `workers=N` stands for a patch with N workers.
    log up, log down: The log becomes available or unavailable, and the host reads it.
    lose N: The log drops its first N records.
    replace: A new host replaces the host and reads the records left in the log.
    submit JOB TASKS TIMEOUT [CUSTOMER]: A caller submits a job.
    cancel JOB: Its caller cancels it.
    done TASK, refused TASK, lost TASK KIND: Result of the task from the worker to
        which it was last sent.
    frame HOST TYPE JSON: A frame from another entry host.
    hosts VERSION [NAME ...]: The platform's host list, with the hosts that leave.
    tick, shutdown: A tick of the clock; a request to shut the process down.
"""

import json
from collections.abc import Iterator
from random import Random
from typing import Any

from poplarhill import ErrorKind, JobSpec
from poplarhill.configuration import Change, encode_record
from poplarhill.platform import (
    Batch,
    HostList,
    ReadResult,
    Record,
    Truncated,
    Unavailable,
)
from poplarhill.types import Address
from poplarhill_dev.golden.render import render
from poplarhilld.configuration.messages import AppendRecord, LogRead, ReadLog
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import Action, SendTask
from poplarhilld.dispatch.events import (
    Event,
    FrameReceived,
    JobCancelled,
    JobSubmitted,
    ShutdownStarted,
    Started,
    TaskLost,
    TaskSucceeded,
    TaskUnsent,
    Ticked,
)
from poplarhilld.freshness import HostsRead
from poplarhilld.peers import messages

_SEED = 1
_SERVICE = "booking"
_HOSTS = HostList(0, frozenset({"h1", "h2", "h3"}), frozenset())


def replay(text: str) -> str:
    """Return a session with the current actions of the host."""
    session = _Session()
    lines: list[str] = []
    for line in text.splitlines():
        if line.startswith("<"):
            continue
        lines.append(line)
        if line.startswith(">"):
            lines += [f"< {done}" for done in session.step(line[1:].strip())]
    return "\n".join(lines) + "\n"


class _Session:
    def __init__(self) -> None:
        self._log: list[Record] = []
        self._end = 0
        self._log_down = False
        self._sent: dict[str, SendTask] = {}
        self._read_from: int | None = None
        self._dispatcher = _dispatcher()
        list(self._start(0.0))

    def step(self, line: str) -> Iterator[str]:
        time, name, *rest = line.split(" ", 2)
        now, arguments = float(time), rest[0] if rest else ""
        match name:
            case "publish":
                change_id, base, patch = arguments.split(" ", 2)
                change = Change(change_id, int(base), "ann", "golden", _patch(patch))
                self._append(now, encode_record(change))
                yield from self._read(now)
            case "log":
                self._log_down = arguments == "down"
                yield from self._read(now)
            case "lose":
                del self._log[: int(arguments)]
            case "replace":
                self._dispatcher = _dispatcher()
                yield from self._start(now)
                yield from self._read(now)
            case _:
                yield from self._handle(now, self._event(now, name, arguments))

    def _start(self, now: float) -> Iterator[str]:
        """Start the host with a platform host list in which every host is live."""
        yield from self._handle(now, Started())
        yield from self._handle(now, HostsRead(now, _HOSTS))

    def _append(self, now: float, body: str) -> None:
        self._log.append(Record(self._end, now, body))
        self._end += 1

    def _read(self, now: float) -> Iterator[str]:
        """Answer the host's reads of the log until their offset no longer changes."""
        offset = None
        while self._read_from != offset:
            offset = self._read_from
            event = LogRead(offset, self._answer(now, offset), now)
            yield from self._handle(now, event)

    def _answer(self, now: float, offset: int) -> ReadResult:
        if self._log_down:
            return Unavailable("down")
        earliest = self._end - len(self._log)
        if offset < earliest:
            return Truncated(earliest)
        records = tuple(self._log[offset - earliest :])
        return Batch(records, self._end, self._end, now)

    def _handle(self, now: float, event: Event) -> Iterator[str]:
        for action in self._dispatcher.handle(now, event):
            self._track(now, action)
            if not isinstance(action, ReadLog):
                yield render(action)

    def _track(self, now: float, action: Action) -> None:
        match action:
            case SendTask(task):
                self._sent[str(task)] = action
            case ReadLog(offset):
                self._read_from = offset
            case AppendRecord(body):
                self._append(now, body)

    def _event(self, now: float, name: str, arguments: str) -> Event:
        words = arguments.split()
        match name:
            case "submit":
                return JobSubmitted(_job(now, *words))
            case "cancel":
                return JobCancelled(arguments)
            case "done" | "refused" | "lost":
                return _worker_report(name, self._sent[words[0]], words)
            case "frame":
                sender, kind_name, fields = arguments.split(" ", 2)
                return FrameReceived(sender, _message(kind_name, json.loads(fields)))
            case "hosts":
                leaving = frozenset(words[1:])
                return HostsRead(now, HostList(int(words[0]), frozenset(), leaving))
            case "tick":
                return Ticked()
            case "shutdown":
                return ShutdownStarted()
        raise ValueError(f"unknown event {name!r}")


def _worker_report(
    name: str, sent: SendTask, words: list[str]
) -> TaskSucceeded | TaskUnsent | TaskLost:
    task, worker, attempt = sent.task, sent.worker.name, sent.attempt
    match name:
        case "done":
            return TaskSucceeded(task, worker, words[0].encode(), attempt)
        case "refused":
            return TaskUnsent(task, worker, "refused", attempt)
    return TaskLost(task, worker, ErrorKind(words[1]), "gone", attempt)


_PEERS = tuple((number, f"h{number}") for number in (2, 3))


def _dispatcher() -> Dispatcher:
    seeds = {name: Address("127.0.0.1", 7000 + n) for n, name in _PEERS}
    address = Address("127.0.0.1", 7001)
    identity = Identity("h1", "dc1", address, 1000, seeds)
    return Dispatcher(identity, Random(_SEED))


def _patch(text: str) -> dict[str, Any]:
    if not text.startswith("workers="):
        return json.loads(text)
    count = int(text.removeprefix("workers="))
    workers = {
        f"w{n}": {"host": "127.0.0.1", "port": 8000 + n} for n in range(1, count + 1)
    }
    return {"services": {_SERVICE: {"workers": workers}}}


def _job(
    now: float, name: str, tasks: str, timeout_s: str, customer: str = "default"
) -> JobSpec:
    bodies = tuple(f"{name}/{index}".encode() for index in range(int(tasks)))
    return JobSpec(name, _SERVICE, customer, bodies, now + float(timeout_s))


_ELEMENTS = {
    "members": messages.MemberState,
    "suspicions": messages.Suspicion,
    "slots": messages.WorkerSlots,
}


def _message(kind: str, fields: dict[str, Any]) -> messages.Message:
    values = {}
    for name, value in fields.items():
        if name in _ELEMENTS:
            value = tuple(_ELEMENTS[name](**item) for item in value)
        elif isinstance(value, list):
            value = tuple(value)
        values[name] = value
    return getattr(messages, kind)(**values)
