"""Finds out which leaderless shards have workers that respond to this host."""

import curio

from poplarhilld.catalogue import WorkerEntry
from poplarhilld.entry.clock import uptime
from poplarhilld.entry.ports import WorkerClient
from poplarhilld.entry.state import HostState
from poplarhilld.leases import Renewal, RenewalFailure

# A quarter of the time for which a data centre must be without hosts before
# hosts of other data centres take over its shards.
_CHECK_INTERVAL_S = 0.5


class ReachabilityChecks:
    """Asks one worker of each shard that this host may have to claim.

    Args:
        state: State of this host.
        workers: Sends the checks to workers.
    """

    def __init__(self, state: HostState, workers: WorkerClient) -> None:
        self._state = state
        self._workers = workers

    async def run(self) -> None:
        """Record since when each of these shards has been reachable."""
        state = self._state
        while True:
            await curio.sleep(_CHECK_INTERVAL_S)
            leaderless = {
                shard: state.shards[shard]
                for shard in state.hosts.shards_to_watch(state.shards)
            }
            for shard in state.reachable_since.keys() - leaderless.keys():
                del state.reachable_since[shard]
            for shard, entries in leaderless.items():
                worker = entries[min(entries)]
                if await self._responds(worker):
                    state.reachable_since.setdefault(shard, uptime())
                else:
                    state.reachable_since.pop(shard, None)

    async def _responds(self, worker: WorkerEntry) -> bool:
        """Return whether a worker responds to a renewal.

        The renewal carries the lowest fencing token, which changes nothing on the
        worker.
        """
        renewal = Renewal(0, 0, None, 0.0, uptime())
        replies = curio.Queue()
        await self._workers.renew(worker, renewal, replies.put)
        reply = await replies.get()
        return reply not in (RenewalFailure.SILENT, RenewalFailure.REFUSED)
