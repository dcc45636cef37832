"""The rule that deals the slots of workers among entry hosts.

Each host computes it alone from the live hosts and the workers, so hosts that
know of the same hosts and workers agree without a message.
"""

from collections.abc import Iterable, Sequence

from poplarhill.types import WorkerSpec


def deal(hosts: Sequence[str], workers: Iterable[WorkerSpec]) -> dict[str, list[int]]:
    """Deal every slot of every worker to one host.

    Slots are dealt in turn, worker by worker, and the turn goes on from one
    worker to the next: hosts differ by at most one slot on each worker, and by
    at most one slot over all the workers.

    Args:
        hosts: Names of the live hosts, sorted.
        workers: Workers to deal.

    Returns:
        For each worker, the slots of each host, in the order of `hosts`.
    """
    shares = {}
    turn = 0
    count = len(hosts)
    for worker in sorted(workers, key=lambda worker: worker.name):
        each, extra = divmod(worker.slots, count)
        counts = [each] * count
        for offset in range(extra):
            counts[(turn + offset) % count] += 1
        turn = (turn + extra) % count
        shares[worker.name] = counts
    return shares


def share_of(
    host: str, hosts: Iterable[str], workers: Iterable[WorkerSpec]
) -> dict[str, int]:
    """Return the slots of each worker that a host may use.

    Args:
        host: Name of the host; it counts as live.
        hosts: Names of the live hosts, in any order.
        workers: Workers to deal.
    """
    live = sorted({host, *hosts})
    position = live.index(host)
    return {name: counts[position] for name, counts in deal(live, workers).items()}
