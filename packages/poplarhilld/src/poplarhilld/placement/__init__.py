"""Placement: which queued task goes to which worker, and when."""

from poplarhilld.placement.messages import Placed as Placed
from poplarhilld.placement.state import Placement as Placement
