"""How long an offer keeps a job at its leader.

Callers send a job again after a delay, to a host that may choose another leader. That
leader can't ask for the runs of the earlier attempt, so none of them may be left.
"""

from typing import NamedTuple

RESEND_DELAY_S = 1.3
# From the decision to stop a run until it has ended: a tick, and a stop order that is
# sent twice.
_STOP_TIME_S = 0.3
_STOP_RETRY_S = 0.2
_LONGEST_LIFETIME_S = 1.0  # three repeats may be lost


class OfferLimits(NamedTuple):
    """Time limits that both the leader of a job and the next one keep to.

    Attributes:
        lifetime_s: Time without a repeated offer after which a leader closes a job, s.
    """

    lifetime_s: float

    @classmethod
    def from_resend_delay(cls, resend_delay_s: float) -> "OfferLimits":
        """Return the limits for the shortest time until callers send a job again."""
        return cls(min(_LONGEST_LIFETIME_S, resend_delay_s - _STOP_TIME_S))

    @property
    def last_stop_s(self) -> float:
        """Time after the last offer of a job until its last stop order is sent, s."""
        return self.lifetime_s + _STOP_RETRY_S

    @property
    def runs_ended_after_s(self) -> float:
        """Time after the last offer of a job at which no run of it is left, s."""
        return self.lifetime_s + _STOP_TIME_S


DEFAULT_LIMITS = OfferLimits.from_resend_delay(RESEND_DELAY_S)
