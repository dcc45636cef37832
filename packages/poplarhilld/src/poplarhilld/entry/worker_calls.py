"""Calls to workers that the leader's decisions ask for."""

from collections.abc import Awaitable, Callable, Iterable

import curio

from poplarhilld.entry.clock import uptime
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.ports import WorkerClient
from poplarhilld.entry.usage import UsageMeter
from poplarhilld.evacuation import EvacuationCopy
from poplarhilld.leading import Leader, QueryWorker, RenewLease, StartRun, StopRun
from poplarhilld.leases import LeaseReply, OrderOutcome, OrderReply

WorkerAction = StartRun | StopRun | RenewLease | QueryWorker


class WorkerCalls:
    """Calls workers and performs the actions that result from their replies.

    Args:
        client: Sends lease renewals and orders to workers.
        leader: Decides what follows from a reply.
        evacuations: Evacuated data centres, as this host knows.
        metrics: Metrics of this process.
        usage: Counts the calls.
        perform: Performs actions.
    """

    def __init__(
        self,
        client: WorkerClient,
        leader: Leader,
        evacuations: EvacuationCopy,
        metrics: EntryMetrics,
        usage: UsageMeter,
        perform: Callable[[Iterable], Awaitable[None]],
    ) -> None:
        self._client = client
        self._leader = leader
        self._evacuations = evacuations
        self._metrics = metrics
        self._usage = usage
        self._perform = perform

    async def begin(self, action: WorkerAction) -> None:
        """Begin a call; its reply is handled in a curio task of its own."""
        match action:
            case StartRun():
                await curio.spawn(self._start_run(action), daemon=True)
            case StopRun():
                await curio.spawn(self._stop_run(action), daemon=True)
            case RenewLease():
                await curio.spawn(self._renew_repeatedly(action), daemon=True)
            case QueryWorker():
                await curio.spawn(self._query_worker(action), daemon=True)

    async def _start_run(self, action: StartRun) -> None:
        begin = uptime()
        if action.worker.data_centre in self._evacuations.data_centres:
            # Decided before the evacuation was known here; it waits for a connection
            # for 0.5 s at most after this.
            reply = OrderReply(OrderOutcome.UNSENT)
        else:
            reply = await self._client.start(action.worker, action.order)
        self._metrics.order_latency.observe(uptime() - begin)
        self._metrics.orders.labels(reply.outcome.value).inc()
        self._usage.orders += 1
        name, run = action.worker.name, action.order.run
        await self._perform(self._leader.handle_start_reply(uptime(), name, run, reply))

    async def _stop_run(self, action: StopRun) -> None:
        answered = await self._client.stop(action.worker, action.run, action.token)
        self._metrics.stops.labels(str(answered).lower()).inc()
        name = action.worker.name
        await self._perform(
            self._leader.handle_stop_reply(uptime(), name, action.run, answered)
        )

    async def _renew_repeatedly(self, action: RenewLease) -> None:
        """Renew a lease, and send each further renewal from the same curio task.

        The task keeps its connection, which spares the event loop most of the work.
        """
        next_renewal: RenewLease | None = action
        while next_renewal is not None:
            next_renewal = await self._renew_once(next_renewal)

    async def _renew_once(self, action: RenewLease) -> RenewLease | None:
        """Renew a lease, after a pause if one is set, and return the next renewal.

        Returns:
            The renewal to send next; `None` if the leader asks for none, such as
            after the worker has left or the token has changed.
        """
        renewal = action.renewal
        name = action.worker.name
        if action.pause_s:
            await curio.sleep(action.pause_s)
            worker = self._leader.workers.get(name)
            if worker is None or worker.token != renewal.token or worker.fenced:
                return None
            renewal = worker.next_renewal(uptime())
        reply = await self._client.renew(action.worker, renewal)
        outcome = "ok" if isinstance(reply, LeaseReply) else reply.value
        self._metrics.renewals.labels(outcome).inc()
        self._usage.renewals += 1
        actions = self._leader.handle_renewal_reply(uptime(), name, renewal, reply)
        next_renewal = next(
            (one for one in actions if isinstance(one, RenewLease)), None
        )
        await self._perform(one for one in actions if one is not next_renewal)
        return next_renewal

    async def _query_worker(self, action: QueryWorker) -> None:
        """Ask a worker for its state at once, beside the renewal under way."""
        reply = await self._client.renew(action.worker, action.renewal)
        name = action.worker.name
        await self._perform(
            self._leader.handle_state_reply(uptime(), name, action.renewal, reply)
        )
