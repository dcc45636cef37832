"""Reads the logs of entry hosts for the history of a job and worker leadership."""

import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from poplarhill.decoding import InvalidDataError, decode_json

Line = Mapping[str, Any]

_COMMON_FIELDS = frozenset(("event", "host", "timestamp", "level"))
_LINE_BEGIN = re.compile(rb'(?=\{")')


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


class Attempt(NamedTuple):
    """One submission of a job: what a caller sent to one host at one time.

    Attributes:
        host: Entry host that received it.
        number: Its number at that host; 0 if the log does not tell.
        received_at: Time at which it was offered to a leader first, ISO 8601.
        answered_at: Time of its answer; empty if there is none in the log.
        outcome: `complete` or the kind of the failure; empty without an answer.
        limit_s: Time for which its caller waits, s; 0 if the log does not tell.
        leaders: Leaders that it was offered to, in turn.
    """

    host: str
    number: int
    received_at: str
    answered_at: str = ""
    outcome: str = ""
    limit_s: float = 0.0
    leaders: tuple[str, ...] = ()


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
        line = _decode(raw[begin:])
        if line is not None:
            yield line
            continue
        # A line that was cut off is followed by another one.
        for part in _LINE_BEGIN.split(raw[begin:]):
            line = _decode(part[: part.rfind(b"}") + 1])
            if line is not None:
                yield line


def _decode(raw: bytes) -> Line | None:
    try:
        line = decode_json(raw)
    except InvalidDataError:
        return None
    if isinstance(line, dict) and isinstance(line.get("event"), str):
        return line
    return None


def writer(line: Line) -> str:
    """Return the host that wrote a line, which may name another host as `host`."""
    return str(line.get("logged_by", line.get("host", "")))


def job_events(lines: Iterable[Line], job_id: str) -> list[JobEvent]:
    """Return the log lines about a job, oldest first."""
    tasks = f"{job_id}."
    found = [
        _job_event(line)
        for line in lines
        if line.get("job") == job_id or str(line.get("task", "")).startswith(tasks)
    ]
    return sorted(found, key=lambda entry: entry.time)


def attempts(events: Iterable[JobEvent]) -> list[Attempt]:
    """Return the submissions of a job, the first one first.

    Callers send a job again, with the same id and to any host, if they get no answer.
    """
    found: dict[tuple[str, int], Attempt] = {}
    for entry in events:
        number = int(entry.details.get("number", 0))
        key = (entry.host, number)
        match entry.event:
            case "LeaderChosen":
                attempt = found.setdefault(key, Attempt(*key, entry.time))
                leaders = (*attempt.leaders, str(entry.details["leader"]))
                found[key] = attempt._replace(leaders=leaders)
            case "JobAnswered" | "JobAbandoned":
                attempt = found.setdefault(key, Attempt(*key, entry.time))
                found[key] = attempt._replace(
                    answered_at=entry.time,
                    outcome=str(entry.details.get("outcome", "abandoned")),
                    limit_s=entry.details.get("limit_s", 0.0),
                )
    return sorted(found.values(), key=lambda attempt: attempt.received_at)


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
    return JobEvent(_time(line), writer(line), line["event"], details)
