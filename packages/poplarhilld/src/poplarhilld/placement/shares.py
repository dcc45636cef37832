"""Division of the workers' slots among the entry hosts.

Each host computes its own share from the live hosts and the workers. Hosts that
know the same hosts and workers agree without exchanging messages.
"""

from collections.abc import Iterable

from poplarhill.types import WorkerSpec


def slot_shares(
    host: str, hosts: Iterable[str], workers: Iterable[WorkerSpec]
) -> dict[str, int]:
    """Return how many slots of each worker a host may use.

    Slots are assigned to the hosts round-robin, worker by worker, and the rotation
    continues from one worker to the next. Every slot belongs to exactly one host,
    and the counts of two hosts differ by at most one slot on each worker and by at
    most one slot over all workers.

    Args:
        host: Name of the host; it counts as live.
        hosts: Names of the live hosts, in any order.
        workers: Workers whose slots are divided, in any order.
    """
    live = sorted({host, *hosts})
    count = len(live)
    position = live.index(host)
    shares = {}
    turn = 0
    for worker in sorted(workers, key=lambda worker: worker.name):
        each, extra = divmod(worker.slots, count)
        has_extra = (position - turn) % count < extra
        shares[worker.name] = each + has_extra
        turn = (turn + extra) % count
    return shares
