"""Placement that considers what is waiting and what ends soon."""

from poplarhilld.lookahead.options import (
    LOOKAHEAD_OFF,
    LookaheadMode,
    LookaheadOptions,
)
from poplarhilld.lookahead.plan import Plan
from poplarhilld.lookahead.state import Lookahead

__all__ = ["LOOKAHEAD_OFF", "Lookahead", "LookaheadMode", "LookaheadOptions", "Plan"]
