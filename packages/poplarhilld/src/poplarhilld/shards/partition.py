"""The deal of workers into shards: by data centre, and by size within it."""

from collections.abc import Iterable

import xxhash

from poplarhilld.catalogue import WorkerEntry

WORKERS_PER_SHARD = 32  # keeps the renewals of a leader below 100 a second


def partition(workers: Iterable[WorkerEntry]) -> dict[str, dict[str, WorkerEntry]]:
    """Return the workers of each shard, by name.

    A worker's shard depends on its own name and on the count of shards of its
    data centre only, so that hosts with somewhat different lists mostly agree.
    """
    by_place: dict[str, list[WorkerEntry]] = {}
    for worker in workers:
        by_place.setdefault(worker.data_centre, []).append(worker)
    shards: dict[str, dict[str, WorkerEntry]] = {}
    for place, members in by_place.items():
        count = 1 << max(0, (len(members) - 1) // WORKERS_PER_SHARD).bit_length()
        for worker in members:
            number = xxhash.xxh32_intdigest(worker.name.encode()) % count
            shards.setdefault(f"{place}/{number}", {})[worker.name] = worker
    return shards


def data_centre(shard: str) -> str:
    """Return the data centre of a shard."""
    return shard.rpartition("/")[0]
