"""The rule that deals the slots of workers among entry hosts.

Each host computes it alone from the live hosts and the workers, so hosts that
know of the same hosts and workers agree without a message.
"""

from collections.abc import Iterable

from poplarhill.types import WorkerSpec


def share_of(
    host: str, hosts: Iterable[str], workers: Iterable[WorkerSpec]
) -> dict[str, int]:
    """Return the slots of each worker that a host may use.

    Slots are dealt in turn, worker by worker, and the turn goes on from one
    worker to the next: every slot has one host, and hosts differ by at most one
    slot on each worker, and by at most one slot over all the workers.

    Args:
        host: Name of the host; it counts as live.
        hosts: Names of the live hosts, in any order.
        workers: Workers to deal, in any order.
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
