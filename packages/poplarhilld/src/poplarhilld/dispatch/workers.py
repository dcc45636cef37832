"""Worker state in the dispatcher: turns reports on tasks into actions."""

from poplarhill.configuration import Configuration
from poplarhill.types import TaskId
from poplarhilld.dispatch.actions import Action, LogDecision
from poplarhilld.dispatch.events import TaskLost, TaskSucceeded, TaskUnsent
from poplarhilld.dispatch.hosts import EntryHosts
from poplarhilld.health import Health
from poplarhilld.jobs import Backoff, BackoffView
from poplarhilld.peers import Heartbeat
from poplarhilld.peers.messages import Message, Suspicion
from poplarhilld.placement import Placed, Placement, WorkerView


class Workers:
    """Health and backoff of the workers, and which of them are leaving.

    Args:
        configuration: Workers and fleet defaults.
        hosts: Provides the workers that the platform lists as leaving.
    """

    def __init__(self, configuration: Configuration, hosts: EntryHosts) -> None:
        self._health = Health(configuration)
        self._backoff = Backoff()
        self._view = BackoffView(hosts.without_leaving(self._health), self._backoff)
        self._freshness = hosts.freshness

    @property
    def health(self) -> Health:
        """Run times, failures and ejections of the workers."""
        return self._health

    @property
    def view(self) -> WorkerView:
        """Which workers may be used, and how slow they are."""
        return self._view

    @property
    def suspicions(self) -> tuple[Suspicion, ...]:
        """The workers that this host suspects, as its heartbeats carry them."""
        return self._health.shared_suspicions()

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._health.configure(configuration)

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Process a frame from another host."""
        if isinstance(message, Heartbeat):
            self._health.suspicions_received(now, sender, message.suspicions)

    def resumed(self) -> None:
        """Record that this host's process was paused and runs again."""
        self._health.resumed()

    def sent(self, now: float, task: TaskId, worker: str) -> None:
        """Record that a task was sent."""
        self._health.sent(now, task, worker)

    def report(
        self, now: float, event: TaskSucceeded | TaskUnsent | TaskLost
    ) -> list[Action]:
        """Update health and backoff from the report on a task."""
        task, worker = event.task, event.worker
        match event:
            case TaskUnsent(by_worker=by_worker):
                if by_worker:
                    self._backoff.refused(now, worker)
                self._health.unsent(now, task, worker)
                return []
            case TaskSucceeded():
                self._backoff.accepted(worker)
                decisions = self._health.succeeded(now, task, worker)
            case TaskLost():
                self._backoff.accepted(worker)
                decisions = self._health.failed(now, task, worker, event.stopped)
        return [LogDecision(decision) for decision in decisions]

    def place_probes(
        self, now: float, placement: Placement, actions: list[Action]
    ) -> list[Placed]:
        """Place one task on each ejected worker that is due for a probe."""
        self._health.set_now(now)
        probes = []
        for spec in self._health.due_probes(now):
            name = spec.name
            if self._backoff.paused(now, name) or name in self._freshness.leaving:
                continue
            placed = placement.place_probe(name)
            if placed is not None:
                decisions = self._health.probe_sent(placed.task, name)
                actions += [LogDecision(decision) for decision in decisions]
                probes.append(placed)
        return probes
