"""Replays a golden session over the dispatcher, without sockets or clock.

A session is a text file. A line that begins with `>` is an event: its time in
seconds, its name and its arguments. The lines that begin with `<` after it are
what the host did. Others are notes. Replaying keeps events and notes, and
writes anew what the host did, so that recording a session again shows as a diff
whatever has changed.

Events:
    publish ID BASE JSON: An operator's change of the configuration is read from
        the log; JSON is a merge patch. `workers=N` stands for N workers.
    snapshot, truncate N: A snapshot is appended to the log; its first N records
        are no longer kept.
    replace: The host is replaced by a new one, which reads what the log keeps.
    submit JOB TASKS TIMEOUT [CUSTOMER]: A caller submits a job.
    cancel JOB: Its caller cancels it.
    done TASK, refused TASK, lost TASK KIND: What came back from the worker that
        the task was last sent to.
    frame HOST TYPE JSON: A frame from another entry host.
    tick, shutdown: Time passes; the process is asked to stop.
"""

import json
from collections.abc import Iterator
from random import Random
from typing import Any

from poplarhill import ErrorKind, JobSpec, TaskId
from poplarhill.configuration import Change, Fold, Snapshot, encode_record
from poplarhill.platform import Record
from poplarhill_dev.golden.render import render, render_outcome
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import Action, SendTask
from poplarhilld.dispatch.events import (
    ConfigurationChanged,
    Event,
    FrameReceived,
    JobCancelled,
    JobSubmitted,
    ShutdownStarted,
    TaskLost,
    TaskSucceeded,
    TaskUnsent,
    Ticked,
)
from poplarhilld.peers import messages
from poplarhilld.settings import Address

_SEED = 1
_SERVICE = "booking"


def replay(text: str) -> str:
    """Return a session with what the host does now."""
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
        self._sent: dict[str, str] = {}
        self._replace()

    def step(self, line: str) -> Iterator[str]:
        time, name, *rest = line.split(" ", 2)
        now, arguments = float(time), rest[0] if rest else ""
        match name:
            case "publish":
                change_id, base, patch = arguments.split(" ", 2)
                change = Change(change_id, int(base), "ann", "golden", _patch(patch))
                self._append(now, change)
                yield from self._read(now)
            case "snapshot":
                self._append(now, self._fold.make_snapshot(now))
                yield from self._read(now)
            case "truncate":
                del self._log[: int(arguments)]
            case "replace":
                self._replace()
                yield from self._read(now)
            case _:
                yield from self._handle(now, self._event(now, name, arguments))

    def _replace(self) -> None:
        seeds = {name: Address("127.0.0.1", 7000 + n) for n, name in _PEERS}
        address = Address("127.0.0.1", 7001)
        identity = Identity("h1", "dc1", address, 1000, seeds)
        self._dispatcher = Dispatcher(identity, Random(_SEED))
        self._fold = Fold()

    def _append(self, now: float, record: Change | Snapshot) -> None:
        self._log.append(Record(self._end, now, encode_record(record)))
        self._end += 1

    def _read(self, now: float) -> Iterator[str]:
        version = self._fold.configuration.version
        if self._log:
            self._fold.skip_to(self._log[0].offset)
        while self._fold.next_offset < self._end:
            record = self._log[self._fold.next_offset - self._end]
            outcome = self._fold.apply(record)
            if outcome is not None:
                yield render_outcome(outcome)
        if self._fold.configuration.version > version:
            yield f"version {self._fold.configuration.version} in force"
            event = ConfigurationChanged(self._fold.configuration)
            yield from self._handle(now, event)

    def _handle(self, now: float, event: Event) -> Iterator[str]:
        for action in self._dispatcher.handle(now, event):
            self._note(action)
            yield render(action)

    def _note(self, action: Action) -> None:
        if isinstance(action, SendTask):
            self._sent[str(action.task)] = action.worker.name

    def _event(self, now: float, name: str, arguments: str) -> Event:
        words = arguments.split()
        match name:
            case "submit":
                return JobSubmitted(_job(now, *words))
            case "cancel":
                return JobCancelled(arguments)
            case "done":
                task = _task(arguments)
                return TaskSucceeded(task, self._sent[arguments], arguments.encode())
            case "refused":
                return TaskUnsent(_task(arguments), self._sent[arguments], "refused")
            case "lost":
                kind = ErrorKind(words[1])
                return TaskLost(_task(words[0]), self._sent[words[0]], kind, "gone")
            case "frame":
                sender, kind_name, fields = arguments.split(" ", 2)
                return FrameReceived(sender, _message(kind_name, json.loads(fields)))
            case "tick":
                return Ticked()
            case "shutdown":
                return ShutdownStarted()
        raise ValueError(f"no event {name!r}")


_PEERS = tuple((number, f"h{number}") for number in (2, 3))


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


def _task(text: str) -> TaskId:
    job, index = text.rsplit("/", 1)
    return TaskId(job, int(index))


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
