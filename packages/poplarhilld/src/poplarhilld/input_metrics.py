"""Metrics of what a process holds for its clients and has refused."""

from prometheus_client import CollectorRegistry, Gauge

from poplarhill.http import Cause, InputLimiter


class InputMetrics:
    """Gauges of the input of one process.

    Args:
        registry: Registry that they are added to.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._refused = Gauge(
            "poplarhill_input_refused",
            "Requests refused and connections closed since the start, by cause",
            ["cause"],
            registry=registry,
        )
        self._held_bytes = Gauge(
            "poplarhill_input_held_bytes",
            "Memory for messages that are not finished",
            registry=registry,
        )
        self._peak_bytes = Gauge(
            "poplarhill_input_held_peak_bytes",
            "Largest memory for messages that were not finished",
            registry=registry,
        )

    def set(self, limiter: InputLimiter) -> None:
        """Set the gauges to what a limiter has counted."""
        for cause in Cause:
            self._refused.labels(cause.value).set(limiter.refused[cause])
        self._held_bytes.set(limiter.budget.held_bytes)
        self._peak_bytes.set(limiter.budget.peak_bytes)
