"""How long messages of other hosts were under way.

The clocks of two hosts are not synchronised, and a message that waits for a paused
receiver looks like a prompt one. Two things are known of it:

- A host that has received the clock of another one knows a time that this clock has
  passed (`PeerClocks`). If its messages carry that, their age is known to the receiver,
  whatever either of them was paused for.
- Of others, only how much slower they were than the fastest one (`MessageAges`).
"""

from typing import NamedTuple

_PERIOD_S = 10.0  # follows a link whose latency changes, and clocks that drift
_MOST_REORDERED_S = 60.0  # a lower time than this shows that the machine has restarted
_CLOCK_TOLERANCE_S = 0.05  # by which drift may put a clock ahead of itself
_CLOCK_LIFETIME_S = 300.0  # clocks that differ by 100 ppm drift apart by 0.03 s


class _Period(NamedTuple):
    """Messages that one host sent within a period.

    Attributes:
        begin_s: When the first one was sent, by the sender's clock, s.
        least_s: Least difference between the receiver's and the sender's clock, s.
        earlier_s: The same in the period before; `None` if there was none.
    """

    begin_s: float
    least_s: float
    earlier_s: float | None

    @property
    def fastest_s(self) -> float:
        """Least difference between the two clocks in the last two periods, s."""
        if self.earlier_s is None:
            return self.least_s
        return min(self.least_s, self.earlier_s)


def _update(
    period: _Period | None, difference_s: float, sent_at_s: float
) -> tuple[_Period, bool]:
    """Add a message to a period, or begin another one.

    Periods are counted by the sender's clock: messages that were sent before a pause of
    the receiver must not count as new ones after it.

    Returns:
        The period, and whether nothing is known of the messages before.
    """
    if (
        period is None
        or sent_at_s < period.begin_s - _MOST_REORDERED_S
        or sent_at_s >= period.begin_s + 2 * _PERIOD_S
    ):
        return _Period(sent_at_s, difference_s, None), True
    if sent_at_s >= period.begin_s + _PERIOD_S:
        return _Period(sent_at_s, difference_s, period.least_s), False
    if difference_s < period.least_s:
        period = period._replace(least_s=difference_s)
    return period, False


class _PeerClock(NamedTuple):
    """What is known of the clock of a host.

    Attributes:
        incarnation: When the process that sent the times started, ms since the Unix
            epoch.
        heard_at: When the last one was received, by the receiver's clock, s.
        period: The times that it has sent.
    """

    incarnation: int
    heard_at: float
    period: _Period


class PeerClocks:
    """Times that the clocks of other hosts have passed, from times that they have sent.

    A message takes no less than no time, so the clock of its sender has advanced since
    by at least the time since it was received here.
    """

    def __init__(self) -> None:
        self._clocks: dict[str, _PeerClock] = {}

    def note(self, now: float, host: str, incarnation: int, sent_at_s: float) -> None:
        """Note a time that a host has sent.

        Args:
            now: The clock of this host, s.
            host: Name of the sender.
            incarnation: When its process started; its machine may have restarted, too.
            sent_at_s: The time, by the sender's clock, s; 0 if there is none.
        """
        if not sent_at_s:
            return
        period = None
        clock = self._clocks.get(host)
        if clock is not None and clock.incarnation == incarnation:
            period = clock.period
        period, _ = _update(period, now - sent_at_s, sent_at_s)
        self._clocks[host] = _PeerClock(incarnation, now, period)

    def ahead_s(self, now: float, host: str) -> float | None:
        """Return by how much this host's clock is ahead of another one's at most, s.

        Args:
            now: The clock of this host, s.
            host: Name of the other host.

        Returns:
            `None` if that host has sent no time, or so long ago that the clocks may
            have drifted apart.
        """
        clock = self._clocks.get(host)
        if clock is None or now - clock.heard_at > _CLOCK_LIFETIME_S:
            return None
        return clock.period.fastest_s


def age_by_own_clock_s(now: float, clock_s: float) -> float | None:
    """Return for how long a message was under way at most, s.

    Args:
        now: The receiver's clock, s.
        clock_s: A time that this clock had passed when the message was sent, s.

    Returns:
        `None` if it is not a time of this clock: the machine has restarted since.
    """
    age_s = now - clock_s
    return None if age_s < -_CLOCK_TOLERANCE_S else max(0.0, age_s)


class MessageAges:
    """Estimates the age of messages from the sender's clock.

    The fastest message of the last periods counts as one that took no time, so the
    others took at least as long as they were slower. All of them may have waited for a
    paused receiver.
    """

    def __init__(self) -> None:
        self._periods: dict[str, _Period] = {}

    def age_s(self, now: float, host: str, sent_at_s: float) -> float | None:
        """Return for how long a message was under way at least, s.

        Args:
            now: The receiver's clock, s.
            host: Name of the sender.
            sent_at_s: When it was sent, by the sender's clock, s; 0 if it does not say,
                as those of earlier builds, which then count as not delayed.

        Returns:
            `None` if that is not known: no earlier message shows how long it took.
        """
        if not sent_at_s:
            return 0.0
        difference_s = now - sent_at_s
        period, first = _update(self._periods.get(host), difference_s, sent_at_s)
        self._periods[host] = period
        return None if first else difference_s - period.fastest_s
