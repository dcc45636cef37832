"""What the logs of entry hosts tell of a job, and of who leads which worker."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

Line = Mapping[str, Any]

_COMMON_FIELDS = frozenset(("event", "host", "timestamp", "level"))


class JobEvent(NamedTuple):
    """One line of a job's story.

    Attributes:
        time: When it was written, ISO 8601.
        host: Entry host that wrote it; empty if the line does not say.
        event: Its event.
        details: Its other fields.
    """

    time: str
    host: str
    event: str
    details: dict[str, Any]


class WorkerLeader(NamedTuple):
    """Who leads a worker.

    Attributes:
        worker: Name of the worker.
        host: Entry host that took it last.
        token: Fencing token by which it did.
        since: When, ISO 8601.
        state: `asked`, `led`, `released`, or what the leader last said of it.
        reason: Why, if the log says.
    """

    worker: str
    host: str
    token: int
    since: str
    state: str
    reason: str


def read_lines(text: Iterable[bytes]) -> Iterator[Line]:
    """Yield the log lines among some text; other programs' lines are left out."""
    for raw in text:
        begin = raw.find(b"{")
        if begin < 0:
            continue
        try:
            line = msgspec.json.decode(raw[begin:])
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and isinstance(line.get("event"), str):
            yield line


def job_events(lines: Iterable[Line], job_id: str) -> list[JobEvent]:
    """Return all that the lines tell of a job, the earliest first."""
    tasks = f"{job_id}."
    found = [
        _job_event(line)
        for line in lines
        if line.get("job") == job_id or str(line.get("task", "")).startswith(tasks)
    ]
    return sorted(found, key=lambda step: step.time)


def failure_reason(story: Iterable[JobEvent]) -> str | None:
    """Return why a job was not completed, if its story says.

    What the caller was told goes before what its leader noted.
    """
    ends = {step.event: step.details for step in story}
    if "JobAbandoned" in ends:
        return "abandoned: its host ended before it was answered"
    details = ends.get("JobAnswered") or ends.get("JobClosed") or {}
    outcome, detail = details.get("outcome", ""), details.get("detail", "")
    if outcome in ("", "complete"):
        return None
    return f"{outcome}: {detail}" if detail else outcome


def worker_leaders(lines: Iterable[Line]) -> list[WorkerLeader]:
    """Return who leads each worker by the end of the lines, by worker."""
    found: dict[str, WorkerLeader] = {}
    for line in sorted(lines, key=_time):
        worker = line.get("worker")
        if not isinstance(worker, str):
            continue
        current = found.get(worker)
        token = line.get("token", 0)
        match line["event"]:
            case "WorkerTaken" if current is None or token > current.token:
                host = str(line.get("host", ""))
                reason = str(line.get("reason", ""))
                found[worker] = WorkerLeader(
                    worker, host, token, _time(line), "asked", reason
                )
            case "WorkerConfirmed" if current is not None and token == current.token:
                found[worker] = current._replace(state="led")
            case "WorkerReleased" if current is not None and token == current.token:
                reason = str(line.get("reason", ""))
                found[worker] = current._replace(state="released", reason=reason)
            case "WorkerState" if (
                current is not None and line.get("host") == current.host
            ):
                state, reason = str(line.get("state")), str(line.get("reason", ""))
                found[worker] = current._replace(state=state, reason=reason)
    return [found[worker] for worker in sorted(found)]


def _time(line: Line) -> str:
    return str(line.get("timestamp", ""))


def _job_event(line: Line) -> JobEvent:
    details = {
        name: value for name, value in line.items() if name not in _COMMON_FIELDS
    }
    return JobEvent(_time(line), str(line.get("host", "")), line["event"], details)
