"""Writes what a host did as one line of text each."""

from enum import Enum
from typing import Any

from poplarhill import Failure, TaskId
from poplarhill.configuration import decode_record
from poplarhilld.configuration.messages import AppendRecord
from poplarhilld.dispatch.actions import (
    Action,
    AnswerJob,
    LogDecision,
    SendFrame,
    SendTask,
    StopTask,
)
from poplarhilld.jobs import Completed
from poplarhilld.peers import Heartbeat

_DECIMALS = 3
_LONGEST_TEXT = 80


def render(action: Action) -> str:
    """Return the line of an action."""
    match action:
        case SendTask(task, worker):
            return f"send {task} to {worker.name}"
        case StopTask(task, worker):
            return f"stop {task} at {worker.name}"
        case AnswerJob(job_id, Completed(results)):
            return f"answer {job_id} complete: {_value(results)}"
        case AnswerJob(job_id, Failure() as failure):
            return f"answer {job_id} failed: {_failure(failure)}"
        case SendFrame(peer, Heartbeat()):
            return f"frame to {_value(peer)}: Heartbeat"
        case SendFrame(peer, message):
            return f"frame to {_value(peer)}: {_value(message)}"
        case LogDecision(decision):
            return f"decided {_value(decision)}"
        case AppendRecord(body):
            return f"append {type(decode_record(body)).__name__}"
    return _value(action)


def _failure(failure: Failure) -> str:
    text = f"{failure.kind.value}, {failure.answer.run_state.value}"
    if failure.retry_after_s is not None:
        text += f", retry after {_value(failure.retry_after_s)} s"
    return text


def _value(value: Any) -> str:
    """Return a value as text; workers weighed appear by name alone."""
    if isinstance(value, TaskId):
        return str(value)
    if hasattr(value, "worker") and hasattr(value, "outstanding"):
        return value.worker
    if isinstance(value, float):
        return f"{round(value, _DECIMALS):g}"
    if isinstance(value, bytes):
        return value.decode()
    if isinstance(value, Enum):
        return value.value
    if hasattr(value, "_fields"):
        return _named(type(value).__name__, value._asdict())
    if hasattr(value, "__dataclass_fields__"):
        return _named(type(value).__name__, vars(value))
    if isinstance(value, tuple | list):
        return "[" + ", ".join(_value(item) for item in value) + "]"
    if isinstance(value, set | frozenset):
        return "{" + ", ".join(sorted(_value(item) for item in value)) + "}"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{k}: {_value(v)}" for k, v in value.items()) + "}"
    text = str(value)
    return text if len(text) <= _LONGEST_TEXT else f"({len(text)} characters)"


def _named(name: str, fields: dict[str, Any]) -> str:
    inner = ", ".join(f"{key}={_value(field)}" for key, field in fields.items())
    return f"{name}({inner})"
