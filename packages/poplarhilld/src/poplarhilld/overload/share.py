"""Which share of the new jobs a late host accepts."""

import math

# A hundredth of a second beyond the target takes 4 % off the share at once.
_GAIN_PER_S = 4.0
# With this gain, a step of the load is settled in about 0.5 s without an overshoot
# (a damping of 1 for `_GAIN_PER_S`).
_SLOW_GAIN_PER_S2 = 4.0
# What a turn may change: a longer turn is one observation, not several.
_LONGEST_STEP_S = 0.2
# A loop that is hardly late has no backlog. Then all jobs are accepted again within
# half a second, whatever the share was.
_RECOVERY_PER_S = 2.0
_HARDLY_LATE = 0.5  # of the target
# Some are always accepted, so that a share that is too low shows.
_LEAST_SHARE = 0.05
_ARRIVALS_TIME_CONSTANT_S = 1.0  # a burst lasts about a second


class AcceptedShare:
    """Controls the share of new jobs that is accepted, by the delay of the loop.

    A slow part finds the share that the host can carry; a fast one follows the delay
    and damps it. Both are in proportion to the share, so that the control reacts alike
    to a load of 1.2 and of 10 times the capacity.
    """

    def __init__(self) -> None:
        self._share = 1.0
        self._updated_at = -math.inf

    @property
    def slow_share(self) -> float:
        """Share that is accepted at the target delay; 1 is all."""
        return self._share

    def update(self, now: float, delay_s: float, target_s: float) -> None:
        """Adapt the share to the delay of the loop."""
        step_s = min(now - self._updated_at, _LONGEST_STEP_S)
        self._updated_at = now
        if delay_s < _HARDLY_LATE * target_s:
            share = self._share + _RECOVERY_PER_S * step_s
        else:
            excess_s = delay_s - target_s
            share = self._share * math.exp(-_SLOW_GAIN_PER_S2 * excess_s * step_s)
        self._share = min(1.0, max(_LEAST_SHARE, share))

    def at(self, delay_s: float, target_s: float) -> float:
        """Return the share of new jobs to accept at a delay."""
        share = self._share * (1.0 - _GAIN_PER_S * (delay_s - target_s))
        return min(1.0, max(_LEAST_SHARE, share))


class Arrivals:
    """Spreads an accepted share over the new jobs, those of best priority first."""

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._credits: dict[int, float] = {}
        self._counted_at = 0.0

    def accept(self, now: float, priority: int, share: float) -> bool:
        """Count a new job and return whether it is accepted.

        Refusals lie evenly among the jobs of a priority. Jobs of a priority are only
        refused if all worse ones are.

        Args:
            now: The clock of the process, s.
            priority: Priority of its route; 0 is the best.
            share: Share of all new jobs to accept.
        """
        self.note(now, priority)
        better = sum(n for key, n in self._rates.items() if key < priority)
        own = self._rates[priority]
        left = share * sum(self._rates.values()) - better
        # Some of each priority are accepted, as long as any are.
        own_share = min(1.0, max(_LEAST_SHARE * share, left / own))
        credit = self._credits.get(priority, 0.5) + own_share
        self._credits[priority] = credit - 1.0 if credit >= 1.0 else credit
        return credit >= 1.0

    def note(self, now: float, priority: int) -> None:
        """Count a new job."""
        kept = math.exp((self._counted_at - now) / _ARRIVALS_TIME_CONSTANT_S)
        self._counted_at = now
        for key in self._rates:
            self._rates[key] *= kept
        self._rates[priority] = self._rates.get(priority, 0.0) + 1.0
