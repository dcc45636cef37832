"""What a host knows about another entry host."""

from dataclasses import dataclass, field

from poplarhilld.peers.messages import MemberState


@dataclass
class Member:
    """Another entry host.

    Attributes:
        state: Its newest known state.
        live: Whether it is considered live.
        advanced_at: When its heartbeat count last rose or, while it is live, a frame
            was last received from it, s.
        active_peers: Other hosts from which frames were received since then.
        refused: Whether its address has refused a connection and no frame was
            received from it since.
    """

    state: MemberState
    live: bool
    advanced_at: float
    active_peers: set[str] = field(default_factory=set)
    refused: bool = False

    def advance(self, now: float, state: MemberState) -> None:
        """Replace the state by a newer one."""
        same_incarnation = self.state.incarnation == state.incarnation
        leaving = state.leaving or (self.state.leaving and same_incarnation)
        self.state = state._replace(leaving=leaving)
        self.advanced_at = now
        self.active_peers.clear()
        # Gossip about the last counts of a dead host may still arrive after its
        # address has refused a connection.
        self.refused = self.refused and same_incarnation


def is_newer(state: MemberState, known: MemberState) -> bool:
    """Return whether a state is newer than the known one.

    A later incarnation is newer, and so is a higher heartbeat count in the same one.
    """
    return (state.incarnation, state.heartbeat) > (known.incarnation, known.heartbeat)
