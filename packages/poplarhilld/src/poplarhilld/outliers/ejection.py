"""The way of one worker out of use and back: paused, probed, restored."""

from dataclasses import dataclass

from poplarhill.types import TaskId

FIRST_PAUSE_S = 5.0
"""Time from an ejection to the first probe, s; it doubles with each failure."""

LONGEST_PAUSE_S = 120.0
"""Longest time between two probes, s."""

PROBES_TO_RESTORE = 3
"""Probes that a worker must answer in a row."""


@dataclass
class Ejection:
    """A worker that is out of use.

    Attributes:
        until: When the next probe is due, s.
        pause_s: How long it is paused at a time, s.
        probe: The probe under way.
        successes: Probes answered in a row.
    """

    until: float
    pause_s: float
    probe: TaskId | None = None
    successes: int = 0

    def due(self, now: float) -> bool:
        """Return whether a probe may be sent."""
        return self.probe is None and now >= self.until

    def probe_succeeded(self) -> bool:
        """Note an answered probe; return whether the worker is restored."""
        self.probe = None
        self.successes += 1
        return self.successes >= PROBES_TO_RESTORE

    def probe_failed(self, now: float) -> None:
        """Note a failed probe: the next one waits twice as long."""
        self.probe = None
        self.successes = 0
        self.pause_s = min(2 * self.pause_s, LONGEST_PAUSE_S)
        self.until = now + self.pause_s

    def probe_unsent(self, now: float) -> None:
        """Note a probe that did not reach the worker."""
        self.probe = None
        self.until = now + self.pause_s
