"""Converts the outputs of the configuration state into actions."""

from poplarhilld.configuration.messages import AppendRecord, Output, ReadLog, ToPeer
from poplarhilld.dispatch.actions import Action, LogDecision, SendFrame


def to_actions(outputs: list[Output]) -> list[Action]:
    """Return the actions that carry out the outputs of the configuration state."""
    return [_to_action(output) for output in outputs]


def _to_action(output: Output) -> Action:
    match output:
        case ToPeer(peer, message):
            return SendFrame(peer, message)
        case ReadLog() | AppendRecord():
            return output
        case decision:
            return LogDecision(decision)
