"""What the configuration slice asks for, as actions of the process."""

from poplarhilld.configuration.messages import AppendRecord, Output, ReadLog, ToPeer
from poplarhilld.dispatch.actions import Action, LogDecision, SendFrame


def to_actions(outputs: list[Output]) -> list[Action]:
    """Return the actions that carry out what the configuration slice decided."""
    return [_to_action(output) for output in outputs]


def _to_action(output: Output) -> Action:
    match output:
        case ToPeer(peer, message):
            return SendFrame(peer, message)
        case ReadLog() | AppendRecord():
            return output
        case decision:
            return LogDecision(decision)
