"""What one host knows of one other member."""

from dataclasses import dataclass, field

from poplarhilld.peers.messages import MemberState


@dataclass
class Member:
    """Another entry host, as last heard of.

    Attributes:
        state: The newest state known.
        live: Whether it is taken to be live.
        advanced: When its heartbeat count was last seen to rise, s.
        views: Hosts heard from since then.
        refused: Whether its address has refused a connection, and no frame came
            from it since.
    """

    state: MemberState
    live: bool
    advanced: float
    views: set[str] = field(default_factory=set)
    refused: bool = False

    def advance(self, now: float, state: MemberState) -> None:
        """Note a newer state."""
        same_run = self.state.incarnation == state.incarnation
        leaving = state.leaving or (self.state.leaving and same_run)
        self.state = state._replace(leaving=leaving)
        self.advanced = now
        self.views.clear()
        # Gossip on a dead host's last counts comes after its address refuses.
        self.refused = self.refused and same_run


def is_newer(state: MemberState, known: MemberState) -> bool:
    """Return whether a state proves life after the known one."""
    return (state.incarnation, state.heartbeat) > (known.incarnation, known.heartbeat)
