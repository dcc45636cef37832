"""How long messages of other hosts were under way."""

from typing import NamedTuple

_PERIOD_S = 10.0  # follows a link whose latency changes, and clocks that drift
_MOST_REORDERED_S = 60.0  # a lower time than this shows that the machine has restarted


class _Period(NamedTuple):
    """Messages that one host sent within a period.

    Attributes:
        begin_s: When the first one was sent, by the sender's clock, s.
        least_s: Least difference between the receiver's and the sender's clock, s.
        earlier_s: The same in the period before.
    """

    begin_s: float
    least_s: float
    earlier_s: float


class MessageAges:
    """Estimates the age of messages from the sender's clock.

    The clocks of two hosts are not synchronised. The fastest message of the last
    periods counts as one that took no time, so the others took at least as long as they
    were slower. Periods are counted by the sender's clock: messages that were sent
    before a pause of the receiver must not count as new ones after it.
    """

    def __init__(self) -> None:
        self._periods: dict[str, _Period] = {}

    def age_s(self, now: float, host: str, sent_at_s: float) -> float:
        """Return for how long a message was under way at least, s.

        Args:
            now: The receiver's clock, s.
            host: Name of the sender.
            sent_at_s: When it was sent, by the sender's clock, s; 0 if it does not say,
                as those of earlier builds, which then count as not delayed.
        """
        if not sent_at_s:
            return 0.0
        difference_s = now - sent_at_s
        period = self._periods.get(host)
        if (
            period is None
            or sent_at_s < period.begin_s - _MOST_REORDERED_S
            or sent_at_s >= period.begin_s + 2 * _PERIOD_S
        ):
            period = _Period(sent_at_s, difference_s, difference_s)
        elif sent_at_s >= period.begin_s + _PERIOD_S:
            period = _Period(sent_at_s, difference_s, period.least_s)
        elif difference_s < period.least_s:
            period = period._replace(least_s=difference_s)
        self._periods[host] = period
        return difference_s - min(period.least_s, period.earlier_s)
