"""Partitions workers into shards, none of which spans two data centres."""

from collections.abc import Iterable, Iterator

import xxhash

from poplarhilld.catalogue import WorkerEntry

WORKERS_PER_SHARD = 32  # keeps a leader below 100 lease renewals a second


def partition(workers: Iterable[WorkerEntry]) -> dict[str, dict[str, WorkerEntry]]:
    """Return the workers of each shard, by the name of the worker.

    A worker's shard depends only on its name and on the count of shards of its data
    centre, so that hosts with slightly different lists of workers agree on most
    shards. The count of shards is a power of two that grows with the count of workers.
    """
    by_data_centre: dict[str, list[WorkerEntry]] = {}
    for worker in workers:
        by_data_centre.setdefault(worker.data_centre, []).append(worker)
    shards: dict[str, dict[str, WorkerEntry]] = {}
    for centre, members in by_data_centre.items():
        count = 1 << max(0, (len(members) - 1) // WORKERS_PER_SHARD).bit_length()
        for worker in members:
            number = xxhash.xxh32_intdigest(worker.name.encode()) % count
            shards.setdefault(f"{centre}/{number}", {})[worker.name] = worker
    return shards


def ancestors(shard: str) -> Iterator[str]:
    """Yield the shards that held the workers of a shard before it was split off.

    When the count of shards of a data centre doubles, each shard keeps half of its
    workers and the other half goes to a new shard. The nearest ancestor comes first.
    """
    centre, _, digits = shard.rpartition("/")
    number = int(digits)
    while number:
        number -= 1 << (number.bit_length() - 1)
        yield f"{centre}/{number}"


def data_centre(shard: str) -> str:
    """Return the data centre of a shard."""
    return shard.rpartition("/")[0]
