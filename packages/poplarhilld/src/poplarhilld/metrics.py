"""Counters and gauges of one entry host."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from poplarhill.http import InputLimiter
from poplarhilld.input_metrics import InputMetrics


class Metrics:
    """The metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.jobs = Counter(
            "poplarhill_jobs",
            "Jobs answered, by outcome",
            ["outcome"],
            registry=self._registry,
        )
        self.tasks_sent = Counter(
            "poplarhill_tasks_sent", "Tasks sent to workers", registry=self._registry
        )
        self.messages = Counter(
            "poplarhill_messages",
            "Messages sent beyond tasks and jobs, by kind",
            ["kind"],
            registry=self._registry,
        )
        self.replies_discarded = Counter(
            "poplarhill_replies_discarded",
            "Replies of workers that were not given to a caller, by reason",
            ["reason"],
            registry=self._registry,
        )
        self.jobs_in_flight = Gauge(
            "poplarhill_jobs_in_flight",
            "Jobs without an answer",
            registry=self._registry,
        )
        self.live_hosts = Gauge(
            "poplarhill_live_hosts",
            "Entry hosts taken to be live, this one among them",
            registry=self._registry,
        )
        self.hosts_age = Gauge(
            "poplarhill_hosts_age_seconds",
            "Time since the platform confirmed the host list",
            registry=self._registry,
        )
        self.hosts_version = Gauge(
            "poplarhill_hosts_version",
            "Version of the host list that this host knows",
            registry=self._registry,
        )
        self.workers_ejected = Gauge(
            "poplarhill_workers_ejected",
            "Workers that this host sends no work but single probes",
            registry=self._registry,
        )
        self.isolated = Gauge(
            "poplarhill_isolated",
            "Whether neither the platform nor a peer confirms this host's view",
            registry=self._registry,
        )
        self.peer_frames_dropped = Gauge(
            "poplarhill_peer_frames_dropped",
            "Frames dropped on the links to peers in use",
            registry=self._registry,
        )
        self.configuration_version = Gauge(
            "poplarhill_configuration_version",
            "Version of the configuration in force",
            registry=self._registry,
        )
        self.evacuated = Gauge(
            "poplarhill_evacuated",
            "Whether a data centre is evacuated, as this host knows",
            ["data_centre"],
            registry=self._registry,
        )

        self.configuration_age = Gauge(
            "poplarhill_configuration_age_seconds",
            "Time since the log confirmed the version in force",
            registry=self._registry,
        )

        self._input = InputMetrics(self._registry)

    def set_input(self, limiter: InputLimiter) -> None:
        """Set what the listeners of this process hold and have refused."""
        self._input.set(limiter)

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)
