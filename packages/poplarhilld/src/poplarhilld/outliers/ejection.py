"""Ejection of one worker: it is paused, probed and restored."""

from dataclasses import dataclass

from poplarhill.types import TaskId

FIRST_PAUSE_S = 5.0
"""Time from an ejection to the first probe, s; it doubles with each failed probe."""

LONGEST_PAUSE_S = 120.0
"""Maximum time between two probes, s."""

PROBES_TO_RESTORE = 3
"""Consecutive successful probes after which a worker is restored."""


@dataclass
class Ejection:
    """State of an ejected worker.

    Attributes:
        until: When the next probe is due, s.
        pause_s: Time from the ejection, or from a probe that did not succeed, to the
            next probe, s.
        longest_pause_s: Maximum of `pause_s`, s.
        probe: The probe in flight, if any.
        successes: Count of consecutive successful probes.
    """

    until: float
    pause_s: float
    longest_pause_s: float = LONGEST_PAUSE_S
    probe: TaskId | None = None
    successes: int = 0

    def due(self, now: float) -> bool:
        """Return whether a probe may be sent."""
        return self.probe is None and now >= self.until

    def probe_succeeded(self) -> bool:
        """Record a successful probe; return whether the worker is restored."""
        self.probe = None
        self.successes += 1
        return self.successes >= PROBES_TO_RESTORE

    def probe_failed(self, now: float) -> None:
        """Record a failed probe; the pause before the next one doubles."""
        self.probe = None
        self.successes = 0
        self.pause_s = min(2 * self.pause_s, self.longest_pause_s)
        self.until = now + self.pause_s

    def probe_unsent(self, now: float) -> None:
        """Record a probe that was not sent or was stopped; the pause stays the same."""
        self.probe = None
        self.until = now + self.pause_s
