"""Calls to workers that the leader's decisions ask for."""

from collections.abc import Awaitable, Callable, Iterable

import curio
import structlog

from poplarhilld.catalogue import WorkerEntry
from poplarhilld.entry.clock import uptime
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.ports import WorkerClient
from poplarhilld.entry.usage import UsageMeter
from poplarhilld.evacuation import EvacuationCopy
from poplarhilld.leading import Leader, QueryWorker, RenewLease, StartRun, StopRun
from poplarhilld.leases import (
    LeaseReply,
    OrderOutcome,
    OrderReply,
    Renewal,
    RenewalFailure,
)

_PROMPT_REPLY_S = 0.1  # replies to orders that take longer are logged
_log = structlog.get_logger()

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
        """Send a call; its reply is handled later, when it has arrived."""
        match action:
            case StartRun():
                await self._start_run(action)
            case StopRun():
                await self._stop_run(action)
            case RenewLease():
                await self._renew(action)
            case QueryWorker():
                await self._query_worker(action)

    async def _start_run(self, action: StartRun) -> None:
        begin = uptime()
        name, run = action.worker.name, action.order.run

        async def on_reply(reply: OrderReply) -> None:
            now = uptime()
            self._metrics.order_latency.observe(now - begin)
            self._metrics.orders.labels(reply.outcome.value).inc()
            self._usage.orders += 1
            if (
                reply.outcome is not OrderOutcome.ACCEPTED
                or now - begin > _PROMPT_REPLY_S
            ):
                _log.info(
                    "OrderReplied",
                    task=run.task,
                    run=run.number,
                    worker=name,
                    outcome=reply.outcome.value,
                    took_s=round(now - begin, 4),
                )
            await self._perform(self._leader.handle_start_reply(now, name, run, reply))

        if action.worker.data_centre in self._evacuations.data_centres:
            # Decided before the evacuation was known here.
            unsent = OrderReply(OrderOutcome.UNSENT)
            await curio.spawn(on_reply, unsent, daemon=True)
        else:
            await self._client.start(action.worker, action.order, on_reply)

    async def _stop_run(self, action: StopRun) -> None:
        begin = uptime()
        name, run = action.worker.name, action.run

        async def on_reply(answered: bool) -> None:
            now = uptime()
            self._metrics.stops.labels(str(answered).lower()).inc()
            _log.info(
                "StopReplied",
                task=run.task,
                run=run.number,
                worker=name,
                answered=answered,
                took_s=round(now - begin, 4),
            )
            await self._perform(
                self._leader.handle_stop_reply(now, name, run, answered)
            )

        await self._client.stop(action.worker, run, action.token, on_reply)

    async def _renew(self, action: RenewLease) -> None:
        """Renew a lease, after a pause if one is set."""
        if action.pause_s:
            await curio.spawn(self._renew_after_pause, action, daemon=True)
        else:
            await self._renew_now(action.worker, action.renewal)

    async def _renew_after_pause(self, action: RenewLease) -> None:
        """Renew a lease later, unless the worker has left or the token has changed."""
        await curio.sleep(action.pause_s)
        worker = self._leader.workers.get(action.worker.name)
        if worker is None or worker.token != action.renewal.token or worker.fenced:
            return
        await self._renew_now(action.worker, worker.next_renewal(uptime()))

    async def _renew_now(self, worker: WorkerEntry, renewal: Renewal) -> None:
        async def on_reply(reply: LeaseReply | RenewalFailure) -> None:
            outcome = "ok" if isinstance(reply, LeaseReply) else reply.value
            self._metrics.renewals.labels(outcome).inc()
            self._usage.renewals += 1
            await self._perform(
                self._leader.handle_renewal_reply(uptime(), worker.name, renewal, reply)
            )

        await self._client.renew(worker, renewal, on_reply)

    async def _query_worker(self, action: QueryWorker) -> None:
        """Ask a worker for its state at once, beside the renewal under way."""
        name, renewal = action.worker.name, action.renewal

        async def on_reply(reply: LeaseReply | RenewalFailure) -> None:
            await self._perform(
                self._leader.handle_state_reply(uptime(), name, renewal, reply)
            )

        await self._client.renew(action.worker, renewal, on_reply)
