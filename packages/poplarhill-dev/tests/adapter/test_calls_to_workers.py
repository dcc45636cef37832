"""Load that calls to workers put on the event loop, and how they fail."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from poplarhill.http import HttpServer, Response
from poplarhill.http.framing import _request_prefix
from poplarhill.types import Address
from poplarhill_dev.leased import worker_entry
from poplarhill_dev.loopback import free_port
from poplarhill_platform import WorkerOrders
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leading import Order
from poplarhilld.leases import OrderOutcome, Renewal, RenewalFailure, Run

_RENEWALS = 8.0
_WAIT_S = 10.0


# Guards against spawning a task of the event loop for each renewal: a leader of 40
# workers sends 100 renewals per second.
def test_renewals_of_a_lease_spawn_one_task_per_connection(platform, monkeypatch):
    spawned: list[str] = []
    spawn = curio.spawn

    async def count(corofunc, *args, **options):
        spawned.append(getattr(corofunc, "__name__", ""))
        return await spawn(corofunc, *args, **options)

    monkeypatch.setattr(curio, "spawn", count)

    async def scenario(platform):
        renewals = platform.host._metrics.renewals.labels("ok")._value
        while renewals.get() < 1:
            await curio.sleep(0.05)
        settled = len(spawned)
        while renewals.get() < _RENEWALS:
            await curio.sleep(0.05)
        assert spawned.count("_serve_connection") == len(platform.workers)
        # What the host spawns beside renewals: what its servers do per connection.
        assert not [name for name in spawned[settled:] if "renew" in name]

    platform.run_scenario(scenario)


@pytest.fixture
def ask() -> Callable:
    """Return a function that makes one call and returns its reply."""

    async def ask(call: Callable[..., Awaitable[None]], *args: object) -> object:
        replies = curio.Queue()
        await call(*args, replies.put)
        return await curio.timeout_after(_WAIT_S, replies.get)

    return ask


def _order(spec: str) -> Order:
    return Order(Run("j/0/0", 1), spec, 1.0, 1)


def _worker() -> WorkerEntry:
    return worker_entry("w0")._replace(address=Address("127.0.0.1", free_port()))


# Guards against a head that is built anew for almost every order, as the lengths of
# their bodies vary with the input of the tasks.
def test_the_head_of_orders_to_a_worker_is_built_once(ask):
    bodies: list[bytes] = []

    async def accept(request):
        bodies.append(request.body)
        return Response(200, {}, b"{}")

    async def main():
        worker, orders = _worker(), WorkerOrders(None)
        await curio.spawn(HttpServer(*worker.address, accept).run, daemon=True)
        while await ask(orders.renew, worker, Renewal(1, 0, None, 0.0, 0.0)) in (
            RenewalFailure.REFUSED,
        ):
            await curio.sleep(0.01)
        _request_prefix.cache_clear()
        for size in range(0, 4001, 100):
            reply = await ask(orders.start, worker, _order("x" * size))
            assert reply.outcome is OrderOutcome.ACCEPTED
        await orders.close()

    curio.run(main)
    assert _request_prefix.cache_info().misses == 1
    assert len({len(body) for body in bodies}) > 40


# Guards against an input that can't be encoded and ends the loop that starts tasks.
def test_an_order_that_cannot_be_encoded_is_unsent(ask):
    reply = curio.run(ask, WorkerOrders(None).start, _worker(), _order("\ud800"))
    assert reply.outcome is OrderOutcome.UNSENT


# Guards against an order to a worker that is gone which counts as maybe received.
def test_a_refused_order_is_unsent_and_a_refused_renewal_is_known(ask):
    async def main():
        worker, orders = _worker(), WorkerOrders(None)
        renewal = Renewal(1, 0, None, 0.0, 0.0)
        return (
            await ask(orders.start, worker, _order("")),
            await ask(orders.renew, worker, renewal),
            await ask(orders.stop, worker, Run("j/0/0", 1), 1),
        )

    started, renewed, stopped = curio.run(main)
    assert started.outcome is OrderOutcome.UNSENT
    assert renewed is RenewalFailure.REFUSED
    assert stopped is False
