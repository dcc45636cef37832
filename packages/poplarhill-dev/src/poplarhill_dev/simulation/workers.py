"""Workers of the simulated fleet: stops take time, orders may take effect late."""

from collections.abc import Callable
from dataclasses import dataclass, field

from poplarhill_dev.leased import SimulatedWorker
from poplarhilld.leases import Renewal, Run, RunEndKind


@dataclass
class HeldRenewal:
    """A renewal whose reply waits for the end of a run.

    Attributes:
        renewal: The renewal; its lease was granted on its arrival.
        until: When it is answered at the latest, s.
        answer: Takes the reply.
    """

    renewal: Renewal
    until: float
    answer: Callable[[object], None]


@dataclass
class FleetWorker(SimulatedWorker):
    """A worker whose runs end some time after the order to stop them.

    Attributes:
        stop_delay_s: Returns how long the next stop takes, s.
        held: Renewals that wait for the end of a run.
    """

    stop_delay_s: Callable[[], float] = lambda: 0.0
    held: list[HeldRenewal] = field(default_factory=list)
    _stopped: set[Run] = field(default_factory=set)

    def stop(self, now: float, run: Run, token: int) -> bool:
        """Apply an order to stop a run, which ends a little later."""
        self.advance(now)
        if token < self.token:
            return True
        self.token = token
        running = self.running.get(run)
        if running is not None and run not in self._stopped:
            ends_at = now + self.stop_delay_s()
            if ends_at < running.until:
                running.until = ends_at
                self._stopped.add(run)
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        return True

    def restart(self, now: float) -> None:
        """Restart the process: a new incarnation under the same name."""
        super().restart(now)
        self._stopped.clear()

    def _end(self, at: float, run: Run, kind: RunEndKind) -> None:
        if run in self._stopped:
            self._stopped.discard(run)
            if kind is not RunEndKind.LAPSED:
                kind = RunEndKind.STOPPED
        super()._end(at, run, kind)
