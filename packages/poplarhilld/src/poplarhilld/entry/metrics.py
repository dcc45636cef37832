"""Counters and latency histograms of an entry host."""

from collections.abc import Iterable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from poplarhill.http import InputLimiter
from poplarhilld.input_metrics import InputMetrics

# Latency objectives range from 150 ms to some seconds, and callers wait up to 13 s.
_LATENCY_S = (
    *(0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.9, 1.2, 1.5),
    *(2.0, 3.0, 5.0, 8.0, 13.0),
)


class EntryMetrics:
    """Metrics of one process, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.jobs = self._counter("jobs", "Jobs answered", ["route", "outcome"])
        self.latency = Histogram(
            "poplarhill_job_seconds",
            "Time from a job's arrival to its answer",
            ["route"],
            buckets=_LATENCY_S,
            registry=self._registry,
        )
        self.orders = self._counter("orders", "Orders to start a run", ["outcome"])
        self.order_latency = Histogram(
            "poplarhill_order_seconds",
            "Time until a worker answers an order",
            buckets=_LATENCY_S,
            registry=self._registry,
        )
        self.renewals = self._counter("renewals", "Renewals of leases", ["outcome"])
        self.stops = self._counter("stops", "Orders to stop a run", ["answered"])
        self.frames = self._counter("frames", "Frames sent to peers", ["kind"])
        self.store_calls = self._counter(
            "store_calls", "Calls to the platform's store", ["call", "outcome"]
        )
        self.in_flight = self._gauge("jobs_in_flight", "Jobs without an answer")
        self.led_workers = self._gauge("led_workers", "Workers that this host leads")
        self.led_jobs = self._gauge("led_jobs", "Jobs at this host as their leader")
        self.looks_ahead = self._gauge(
            "looks_ahead", "Whether placement at this host as a leader looks ahead"
        )
        self.reservations = self._gauge(
            "reserving_jobs", "Jobs that have reserved places since the start"
        )
        self.live_hosts = self._gauge("live_hosts", "Live entry hosts, this one too")
        self.version = self._gauge("catalogue_version", "Version in force")
        self.evacuated = Gauge(
            "poplarhill_evacuated",
            "Whether a data centre is evacuated, as this host knows",
            ["data_centre"],
            registry=self._registry,
        )
        self.loop_delay_s = self._gauge(
            "loop_delay_seconds", "How late the event loop is"
        )
        self.accepted_share = self._gauge(
            "accepted_share", "Share of new jobs accepted, by the delay of the loop"
        )
        self.shed = Gauge(
            "poplarhill_jobs_shed",
            "New jobs refused since the start because this host was late",
            ["source"],
            registry=self._registry,
        )
        self.transfers = Gauge(
            "poplarhill_transfers",
            "Jobs that leaders gave back untouched since the start, by what followed",
            ["outcome"],
            registry=self._registry,
        )
        self.runs_by_data = Gauge(
            "poplarhill_runs_by_data",
            "Runs ordered since the start, by where they run in relation to their data",
            ["data"],
            registry=self._registry,
        )
        self.rack_waits = Gauge(
            "poplarhill_rack_wait_seconds",
            "Expected wait for a place in a led rack, where a task has to wait",
            ["rack"],
            registry=self._registry,
        )
        self.processor_s = self._gauge(
            "processor_seconds", "Processor time used since the start"
        )
        self.lines_dropped = self._gauge("log_lines_dropped", "Log lines dropped")
        self.frames_dropped = self._gauge("peer_frames_dropped", "Frames dropped")
        self._input = InputMetrics(self._registry)

    def set_evacuated(self, evacuated: frozenset[str], known: Iterable[str]) -> None:
        """Set which of the known data centres are evacuated."""
        self.evacuated.clear()
        for name in evacuated.union(known):
            self.evacuated.labels(name).set(name in evacuated)

    def set_input(self, limiter: InputLimiter) -> None:
        """Set what the listeners of this process hold and have refused."""
        self._input.set(limiter)

    def page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, text: str, labels: list[str]) -> Counter:
        return Counter(f"poplarhill_{name}", text, labels, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"poplarhill_{name}", text, registry=self._registry)
