"""How far the run times of jobs lie from their estimates, learned by route.

All values are logarithms of the run time of a job over its expected run time. They are
taken as normally distributed. A job that was closed before it was complete counts as
well: its run time is only known to be longer, so that its expected value counts.
"""

import math
from typing import NamedTuple

_MIN_SAMPLE_WEIGHT = 0.02  # of the newest job; averages over about 50 jobs
_PRIOR_SAMPLES = 8  # weight of the assumptions below, in jobs
_PRIOR_VARIANCE = 0.1  # of a job's run time around its estimate
# One job in 20 is done this many standard deviations below the mean. A job that needs
# more luck is refused, as its caller is better off with an answer at once.
_LEAST_DEVIATIONS = -1.645
_MOST_DEVIATIONS = 1.645  # 19 jobs in 20 are done by then

# With a lower share the bound lies far beyond what was seen; it is the best guess then.
_MIN_SHARE_ABOVE = 1e-6


class _Spread(NamedTuple):
    """Moments of the logarithms for one route.

    Attributes:
        mean: Mean.
        variance: Variance.
        samples: Count of jobs, the assumed ones included.
    """

    mean: float = 0.0
    variance: float = _PRIOR_VARIANCE
    samples: int = _PRIOR_SAMPLES

    def updated(self, value: float, uncertainty: float) -> "_Spread":
        """Return the moments with one more job.

        Args:
            value: Its expected logarithm.
            uncertainty: Variance of that logarithm; 0 if the job is complete.
        """
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / (self.samples + 1))
        step = value - self.mean
        return _Spread(
            self.mean + weight * step,
            (1 - weight) * (self.variance + weight * step * step)
            + weight * uncertainty,
            self.samples + 1,
        )


_PRIOR = _Spread()


class RunTimeSpread:
    """The spread of run times around their estimates, by route."""

    def __init__(self) -> None:
        self._routes: dict[str, _Spread] = {}

    def note(self, route: str, expected_s: float, ran_s: float, complete: bool) -> None:
        """Note a closed job.

        Args:
            route: Its route.
            expected_s: Expected run time of its longest chain of steps, s.
            ran_s: How long that chain has run, s.
            complete: Whether all its tasks are done; it would have run longer
                otherwise.
        """
        if expected_s <= 0 or ran_s <= 0:
            return
        spread = self._routes.get(route, _PRIOR)
        value, uncertainty = math.log(ran_s / expected_s), 0.0
        if not complete:
            value, uncertainty = _truncated(spread, value)
        self._routes[route] = spread.updated(value, uncertainty)

    def least_run_s(self, route: str, expected_s: float) -> float:
        """Return the run time that one job of a route in 20 stays below, s.

        Args:
            route: The route.
            expected_s: Expected run time of a job, s.
        """
        mean, variance, _ = self._routes.get(route, _PRIOR)
        return expected_s * math.exp(mean + _LEAST_DEVIATIONS * math.sqrt(variance))

    def most_run_s(self, route: str, expected_s: float) -> float:
        """Return the run time that 19 jobs of a route in 20 stay below, s.

        Args:
            route: The route.
            expected_s: Expected run time of a job, s.
        """
        mean, variance, _ = self._routes.get(route, _PRIOR)
        return expected_s * math.exp(mean + _MOST_DEVIATIONS * math.sqrt(variance))

    def usual_factor(self, route: str) -> float:
        """Return the median run time of the jobs of a route over the expected one."""
        return math.exp(self._routes.get(route, _PRIOR).mean)

    def deviation(self, route: str) -> float:
        """Return the standard deviation of the logarithm of run times of a route."""
        return math.sqrt(self._routes.get(route, _PRIOR).variance)


def _truncated(spread: _Spread, least: float) -> tuple[float, float]:
    """Return mean and variance of the values above a bound."""
    deviation = math.sqrt(spread.variance)
    if deviation <= 0:
        return max(least, spread.mean), 0.0
    bound = (least - spread.mean) / deviation
    share_above = 0.5 * math.erfc(bound / math.sqrt(2))
    if share_above < _MIN_SHARE_ABOVE:
        return least, 0.0
    density = math.exp(-bound * bound / 2) / math.sqrt(2 * math.pi)
    hazard = density / share_above
    mean = spread.mean + deviation * hazard
    return mean, spread.variance * max(0.0, 1 + bound * hazard - hazard * hazard)
