"""Placement that considers what is waiting and what ends soon."""

from poplarhilld.lookahead.options import LookaheadMode, LookaheadOptions
from poplarhilld.lookahead.state import Lookahead

__all__ = ["Lookahead", "LookaheadMode", "LookaheadOptions"]
