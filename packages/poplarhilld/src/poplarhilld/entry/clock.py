"""Clocks of the process."""

import resource
import time


def uptime() -> float:
    """Return the time since boot, including time in suspension, s."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def processor_time_s() -> float:
    """Return the processor time used since the start of the process, s."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
