"""What is asked of a leader, by route: how often, how large, how patiently."""

import math

_MEMORY_S = 10.0  # traffic swings within about ten seconds
_FIRST_RATE = 0.1  # jobs a second of a route that was never seen


class Demand:
    """Arrivals of each route, older ones weighing less."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}
        self._rooms_s: dict[str, float] = {}
        self._patience: dict[str, tuple[float, float]] = {}

    def arrived(self, now: float, route: str, room_s: float) -> None:
        """Note a job.

        Args:
            now: The leader's clock, s.
            route: Its route.
            room_s: Room that it takes, core-seconds.
        """
        rate = self.rate(now, route) + 1 / _MEMORY_S
        self._rates[route] = (rate, now)
        mean_s = self._rooms_s.get(route, room_s)
        self._rooms_s[route] = mean_s + (room_s - mean_s) / _MEMORY_S

    def usual_patience_s(self, now: float, route: str) -> float:
        """Return how long callers of a route wait, as a rule, s; 0 if unknown."""
        longest_s, since = self._patience.get(route, (0.0, now))
        return longest_s if now - since <= _MEMORY_S else 0.0

    def waits(self, now: float, route: str, patience_s: float) -> None:
        """Note how long the caller of a new job waits, s."""
        if patience_s >= self.usual_patience_s(now, route):
            self._patience[route] = (patience_s, now)

    def rate(self, now: float, route: str) -> float:
        """Return the jobs of a route a second, lately."""
        rate, since = self._rates.get(route, (_FIRST_RATE, now))
        return max(_FIRST_RATE, rate * math.exp((since - now) / _MEMORY_S))

    def relative_size(self, route: str, room_s: float) -> float:
        """Return a job's room against the mean of its route."""
        mean_s = self._rooms_s.get(route, room_s)
        return room_s / mean_s if mean_s > 0 else 1.0
