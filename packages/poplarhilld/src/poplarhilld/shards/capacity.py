"""How many workers a host can lead, by its processor."""

MAX_WORKERS_PER_LEADER = 80  # 80 workers mean about 700 tasks a second
# Upkeep and tasks of a worker take about 12 ms of processor time a second.
_WORKERS_PER_CORE = 84
# A busier leader takes no further workers, and one that is as good as saturated gives
# some away. What it tells its peers is rounded to tenths.
_BUSY = 0.6
_SATURATED = 0.85
# A leader that takes a shard from a saturated one may become this busy by it.
_RELIEF_BUSY = 0.75
# Two leaders merge only if one of them would then be no busier than this.
_MERGED_BUSY = 0.4


def worker_capacity(cores: float) -> int:
    """Return how many workers a host can lead as long as it has measured no load.

    Args:
        cores: CPU capacity of the host; 1 is one core of the usual speed.
    """
    return max(1, min(MAX_WORKERS_PER_LEADER, int(cores * _WORKERS_PER_CORE)))


def has_capacity(cores: float, busy: float, led_workers: int, workers: int) -> bool:
    """Return whether a host can lead more workers.

    Args:
        cores: CPU capacity of the host.
        busy: Share of it that is in use.
        led_workers: Count of the workers that it leads.
        workers: Count of the further workers.
    """
    return led_workers + workers <= worker_capacity(cores) and busy <= _BUSY


def is_saturated(busy: float) -> bool:
    """Return whether a host that uses this share of its processor has no spare time."""
    return busy >= _SATURATED


def can_relieve(cores: float, busy: float, added_cores: float) -> bool:
    """Return whether a host has the processor time for work of another host.

    Args:
        cores: CPU capacity of the host.
        busy: Share of it that is in use.
        added_cores: CPU capacity that the work takes.
    """
    return busy * cores + added_cores <= _RELIEF_BUSY * cores


def can_merge(cores: float, busy: float, added_cores: float) -> bool:
    """Return whether a leader can take over all the work of another one for good.

    Args:
        cores: CPU capacity of the leader that would remain.
        busy: Share of it that is in use.
        added_cores: CPU capacity that the other leader uses.
    """
    return busy * cores + added_cores <= _MERGED_BUSY * cores
