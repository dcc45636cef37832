"""What an entry host spends its processor time on."""

import math
from typing import NamedTuple

_BUSY_INTERVAL_S = 0.5
_BUSY_TIME_CONSTANT_S = 1.5  # a burst of a second does not move workers


class Usage(NamedTuple):
    """Log line: the resources that this process used since the last such line.

    Attributes:
        interval_s: Time since the last line, or since the start, s.
        processor_s: Processor time used in the interval, s.
        processor_total_s: Processor time used since the start of the process, s.
        heartbeats: Heartbeats received in the interval.
        frames: Other messages of hosts received in the interval.
        renewals: Renewals of leases that got a reply in the interval.
        orders: Orders to start a run that got a reply in the interval.
        led_workers: Workers that this host leads now.
        jobs: Jobs without an answer on this host now.
    """

    interval_s: float
    processor_s: float
    processor_total_s: float
    heartbeats: int
    frames: int
    renewals: int
    orders: int
    led_workers: int
    jobs: int


class UsageMeter:
    """Counts events, and reports them with the processor time used meanwhile.

    Args:
        now: The clock of the process, s.

    Attributes:
        heartbeats: Heartbeats received since the last report.
        frames: Other messages of hosts received since the last report.
        renewals: Replies to renewals since the last report.
        orders: Replies to orders since the last report.
    """

    def __init__(self, now: float) -> None:
        self._reported_at = now
        self._processor_total_s = 0.0
        self.heartbeats = self.frames = self.renewals = self.orders = 0

    def report(
        self, now: float, processor_total_s: float, led_workers: int, jobs: int
    ) -> Usage:
        """Return the usage since the last report and start the next interval.

        Args:
            now: The clock of the process, s.
            processor_total_s: Processor time of the process since its start, s.
            led_workers: Workers that this host leads.
            jobs: Jobs without an answer on this host.
        """
        usage = Usage(
            interval_s=round(now - self._reported_at, 3),
            processor_s=round(processor_total_s - self._processor_total_s, 4),
            processor_total_s=round(processor_total_s, 4),
            heartbeats=self.heartbeats,
            frames=self.frames,
            renewals=self.renewals,
            orders=self.orders,
            led_workers=led_workers,
            jobs=jobs,
        )
        self._reported_at = now
        self._processor_total_s = processor_total_s
        self.heartbeats = self.frames = self.renewals = self.orders = 0
        return usage


class BusyMeter:
    """Measures which share of its processor a process uses, over the last seconds.

    Args:
        now: The clock of the process, s.
        cores: CPU capacity of the host.
    """

    def __init__(self, now: float, cores: float) -> None:
        self._cores = cores
        self._measured_at = now
        self._processor_s = 0.0
        self._share = 0.0

    @property
    def share(self) -> float:
        """Share of the processor in use, from 0 to 1."""
        return self._share

    def is_due(self, now: float) -> bool:
        """Return whether the next measurement is due."""
        return now - self._measured_at >= _BUSY_INTERVAL_S

    def measure(self, now: float, processor_total_s: float) -> None:
        """Take a measurement.

        Args:
            now: The clock of the process, s.
            processor_total_s: Processor time of the process since its start, s.
        """
        elapsed_s = now - self._measured_at
        share = (processor_total_s - self._processor_s) / (elapsed_s * self._cores)
        kept = math.exp(-elapsed_s / _BUSY_TIME_CONSTANT_S)
        self._share = kept * self._share + (1 - kept) * min(1.0, share)
        self._measured_at = now
        self._processor_s = processor_total_s
