"""How late an event loop is, measured from its own events."""

# A job passes the loops of its hosts about five times (request, offer, start, end of
# the run, report). Five such delays take 0.5 s, a third of a route's usual timeout.
# It is also the period in which a processor limit is enforced: a process that has used
# up its part is delayed by nearly one period without any backlog.
TARGET_DELAY_S = 0.1
# Five such delays take the whole timeout of a route, so nothing would end in time,
# whatever delays the loop.
IDLE_TARGET_DELAY_S = 0.3
# Below this share of its processor, a process is delayed by others on its machine,
# not by its own work.
_BUSY = 0.5
# Below this share while a turn was overdue, the process was paused.
_PAUSED = 0.1
# Two turns are late together if their delays average the target and each has this much
# of it.
_LEAST_SHARE_OF_TARGET = 0.5
# Of the newest turn. A single turn is late by a random part of the time that the
# loop takes for what is ready.
_NEWEST_WEIGHT = 0.5


class LoopMeter:
    """Measures how late the turns of an event loop are against when they were due.

    Args:
        now: The clock of the process, s.
        cores: CPU capacity of the host.
    """

    def __init__(self, now: float, cores: float) -> None:
        self._cores = cores
        self._due = now
        self._turned_at = now
        self._processor_s: float | None = None
        self._delay_s = 0.0
        self._busy = 0.0
        self._overdue_s = 0.0

    @property
    def busy(self) -> float:
        """Share of the processor that was used between the last two turns."""
        return self._busy

    @property
    def target_s(self) -> float:
        """Delay from which a turn is late, s."""
        return TARGET_DELAY_S if self._busy >= _BUSY else IDLE_TARGET_DELAY_S

    def delay_s(self, now: float) -> float:
        """Return how late the loop is, s; counts a turn that is overdue now."""
        return max(self._delay_s, now - self._due)

    def is_late(self, now: float) -> bool:
        """Return whether the last turn and the next one, so far, are late together.

        A single late turn follows a collection of garbage, however long it took.
        One in which the process was paused does not count.
        The next one counts before it has come, since under three times the capacity
        each turn takes three times as long as the last one.
        """
        least_s = _LEAST_SHARE_OF_TARGET * self.target_s
        overdue_s = now - self._due
        return (
            min(overdue_s, self._overdue_s) >= least_s
            and overdue_s + min(self._overdue_s, self.target_s) >= 2 * self.target_s
        )

    def note_turn(self, now: float, processor_total_s: float) -> None:
        """Record that a turn has begun.

        Args:
            now: The clock of the process, s.
            processor_total_s: Processor time of the process since its start, s.
        """
        elapsed_s = now - self._turned_at
        if self._processor_s is not None and elapsed_s > 0:
            used_s = processor_total_s - self._processor_s
            self._busy = min(1.0, used_s / (elapsed_s * self._cores))
        self._turned_at = now
        self._processor_s = processor_total_s
        self._overdue_s = max(0.0, now - self._due) if self._busy >= _PAUSED else 0.0
        self._due = now
        self._delay_s += _NEWEST_WEIGHT * (self._overdue_s - self._delay_s)

    def expect_turn(self, due: float) -> None:
        """Record when the next turn is due, by the clock of the process, s."""
        self._due = due
