"""Renders each action of a host as one line of text."""

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
_MAX_TEXT_LENGTH = 80


def render(action: Action) -> str:
    """Return an action as one line of text."""
    match action:
        case SendTask(task, worker):
            return f"send {task} to {worker.name}"
        case StopTask(task, worker):
            return f"stop {task} at {worker.name}"
        case AnswerJob(job_id, Completed(results)):
            return f"answer {job_id} complete: {_format_value(results)}"
        case AnswerJob(job_id, Failure() as failure):
            return f"answer {job_id} failed: {_failure(failure)}"
        case SendFrame(peer, Heartbeat()):
            return f"frame to {_format_value(peer)}: Heartbeat"
        case SendFrame(peer, message):
            return f"frame to {_format_value(peer)}: {_format_value(message)}"
        case LogDecision(decision):
            return f"decided {_format_value(decision)}"
        case AppendRecord(body):
            return f"append {type(decode_record(body)).__name__}"
    return _format_value(action)


def _failure(failure: Failure) -> str:
    text = f"{failure.kind.value}, {failure.answer.run_state.value}"
    if failure.retry_after_s is not None:
        text += f", retry after {_format_value(failure.retry_after_s)} s"
    return text


def _format_value(value: Any) -> str:
    """Return a value as text; placement candidates appear as their worker's name."""
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
        return _format_fields(type(value).__name__, value._asdict())
    if hasattr(value, "__dataclass_fields__"):
        return _format_fields(type(value).__name__, vars(value))
    if isinstance(value, tuple | list):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    if isinstance(value, set | frozenset):
        return "{" + ", ".join(sorted(_format_value(item) for item in value)) + "}"
    if isinstance(value, dict):
        return (
            "{" + ", ".join(f"{k}: {_format_value(v)}" for k, v in value.items()) + "}"
        )
    text = str(value)
    return text if len(text) <= _MAX_TEXT_LENGTH else f"({len(text)} characters)"


def _format_fields(name: str, fields: dict[str, Any]) -> str:
    inner = ", ".join(f"{key}={_format_value(field)}" for key, field in fields.items())
    return f"{name}({inner})"
