"""Waiting for the next leader of a host's own data centre."""

import math
from collections.abc import Iterable

from poplarhilld.submissions.messages import LeaderView

# The next leader has claimed the workers and told so within two heartbeats after the
# loss was noticed. It stops runs that no host offers 0.4 s after it has found them.
SUCCESSOR_WAIT_S = 0.4


class Succession:
    """Notes since when the data centre of this host has had no leader.

    The next leader adopts the runs of the one that was lost. Leaders of other data
    centres do not know these runs, so that most jobs would fail there.
    """

    def __init__(self) -> None:
        self._has_led = False
        self._lost_at = -math.inf

    def update(self, now: float, leaders: Iterable[LeaderView]) -> None:
        """Note whether one of the known leaders leads this data centre."""
        leads = any(leader.same_data_centre for leader in leaders)
        if self._has_led and not leads:
            self._lost_at = now
        self._has_led = leads

    def is_awaited(self, now: float) -> bool:
        """Return whether the next leader is to be expected soon."""
        return not self._has_led and now - self._lost_at < SUCCESSOR_WAIT_S
