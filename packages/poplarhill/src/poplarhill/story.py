"""Reads the logs of entry hosts for the history of a job and worker leadership."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from poplarhill.decoding import InvalidDataError, decode_json

Line = Mapping[str, Any]

_COMMON_FIELDS = frozenset(("event", "host", "timestamp", "level"))


class JobEvent(NamedTuple):
    """One log line about a job.

    Attributes:
        time: Time at which the line was written, ISO 8601.
        host: Entry host that wrote the line; empty if the line does not name it.
        event: Name of the log event.
        details: Other fields of the line.
    """

    time: str
    host: str
    event: str
    details: dict[str, Any]


class WorkerLeader(NamedTuple):
    """Which entry host leads a worker.

    Attributes:
        worker: Name of the worker.
        host: Entry host that last claimed the worker.
        token: Fencing token of that claim.
        since: Time of that claim, ISO 8601.
        state: `asked` after the claim, `led` once the worker has confirmed the
            token, `released`, or the state that the leader logged last.
        reason: Reason for the state, if the log gives one.
    """

    worker: str
    host: str
    token: int
    since: str
    state: str
    reason: str


def read_lines(text: Iterable[bytes]) -> Iterator[Line]:
    """Yield the log lines in a text and skip the lines of other programs."""
    for raw in text:
        begin = raw.find(b"{")
        if begin < 0:
            continue
        try:
            line = decode_json(raw[begin:])
        except InvalidDataError:
            continue
        if isinstance(line, dict) and isinstance(line.get("event"), str):
            yield line


def job_events(lines: Iterable[Line], job_id: str) -> list[JobEvent]:
    """Return the log lines about a job, oldest first."""
    tasks = f"{job_id}."
    found = [
        _job_event(line)
        for line in lines
        if line.get("job") == job_id or str(line.get("task", "")).startswith(tasks)
    ]
    return sorted(found, key=lambda entry: entry.time)


def failure_reason(events: Iterable[JobEvent]) -> str | None:
    """Return why a job was not completed, or None if no line shows a reason.

    The response to the caller takes precedence over the outcome that the leader
    logged.
    """
    ends = {entry.event: entry.details for entry in events}
    if "JobAbandoned" in ends:
        return "abandoned: its host stopped before the job was answered"
    details = ends.get("JobAnswered") or ends.get("JobClosed") or {}
    outcome, detail = details.get("outcome", ""), details.get("detail", "")
    if outcome in ("", "complete"):
        return None
    return f"{outcome}: {detail}" if detail else outcome


def worker_leaders(lines: Iterable[Line]) -> list[WorkerLeader]:
    """Return the leader of each worker at the end of the log, sorted by worker."""
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
