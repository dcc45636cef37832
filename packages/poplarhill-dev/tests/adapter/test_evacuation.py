"""An operator evacuates data centres; one entry host, over real connections."""

import curio
import msgspec

from poplarhill.http import Request, Response, fetch
from poplarhilld.evacuation import Evacuation
from poplarhilld.leading import Order, StartRun
from poplarhilld.leases import Run
from poplarhilld.peers import Beat
from poplarhilld.peers.codec import Envelope

BOUND_S = 5.0  # of the users, from the store's reply until no task starts there


async def wait_until(condition) -> None:
    while not condition():
        await curio.sleep(0.02)


async def wait_until_ready(platform) -> None:
    await wait_until(lambda: platform.host.ready)
    leader = platform.host._leader
    await wait_until(lambda: leader.load(0.0).cores == 32.0)


async def submit(platform, number: int = 0) -> Response:
    step = {"count": 2, "cpu": 6800, "mem_mb": 64, "estimated_ms": 50}
    job = {"spec": '{"run_s":0.05}', "steps": [step], "best_effort": True}
    path = f"/r0/{number:016x}"
    request = Request("POST", path, "", {}, msgspec.json.encode(job))
    return await fetch(*platform.settings.callers, request, 10.0)


async def page(platform) -> bytes:
    request = Request("GET", "/metrics")
    return (await fetch(*platform.settings.metrics, request, 5.0)).body


def put(platform, value: dict | None, data_centre: str = "dc1") -> None:
    platform.store.put("keyed.op", f"evacuate/{data_centre}", value)


def evacuated(platform) -> frozenset[str]:
    return platform.host._state.evacuations.data_centres


def heartbeat(end: int, *evacuations: Evacuation) -> Envelope:
    beat = Beat("127.0.0.1", 9, "dc2", 1, 1.0, True, evacuations=evacuations)
    return Envelope("h2", beat._replace(evacuations_end=end))


# Once, 1,441 tasks started in an evacuated data centre after the bound.
def test_jobs_are_refused_as_not_run_until_the_evacuation_is_lifted(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        tokens = [worker.token for worker in platform.host._leader.workers.values()]
        put(platform, {})
        async with curio.timeout_after(BOUND_S):
            await wait_until(lambda: evacuated(platform) == {"dc1"})
        answer = await submit(platform)
        error = msgspec.json.decode(answer.body)["error"]
        assert (answer.status, error["run_state"]) == (503, "not_run")
        assert int(answer.headers["retry-after"]) >= 1
        assert not any(worker.peak_cores for worker in platform.workers)
        assert b'poplarhill_evacuated{data_centre="dc1"} 1.0' in await page(platform)
        put(platform, None)
        async with curio.timeout_after(BOUND_S):
            await wait_until(lambda: not evacuated(platform))
        assert b'poplarhill_evacuated{data_centre="dc1"} 0.0' in await page(platform)
        assert (await submit(platform, 1)).status == 200
        leader = platform.host._leader
        assert tokens == [worker.token for worker in leader.workers.values()]

    platform.run_scenario(scenario)


def test_an_evacuation_outlasts_the_history_of_the_store_and_its_outage(
    platform,
) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        put(platform, {})
        put(platform, {}, "dc2")
        await wait_until(lambda: evacuated(platform) == {"dc1", "dc2"})
        platform.store.failing = 503
        await wait_until(lambda: platform.host._store._errors.get("catalogue"))
        put(platform, None, "dc2")
        platform.store.put("keyed.op", "config", platform.configuration(5))
        platform.store.compact("keyed.op")
        assert evacuated(platform) == {"dc1", "dc2"}
        assert (await submit(platform)).status == 503
        platform.store.failing = 0
        await wait_until(lambda: platform.host.catalogue.version == 5)
        assert evacuated(platform) == {"dc1"}

    platform.run_scenario(scenario)


def test_a_host_that_the_store_refuses_learns_of_both_from_heartbeats(platform):
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        platform.store.failing = 503
        on_frame = platform.host._performer.on_frame
        await on_frame(heartbeat(7, Evacuation("dc1", 6)))
        assert (await submit(platform)).status == 503
        await on_frame(heartbeat(9))
        await on_frame(heartbeat(8, Evacuation("dc1", 6)))  # by a host that is behind
        assert (await submit(platform, 1)).status == 200
        assert (
            platform.host._hosts._heartbeats._build_heartbeat(
                True, platform.host._state.load(0.0), 1
            ).evacuations_end
            == 9
        )

    platform.run_scenario(scenario)


# The start was decided, but its curio task runs only after the evacuation is known.
def test_a_start_that_waits_in_the_host_is_not_sent(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        host = platform.host
        [worker, _] = host._leader.workers.values()
        order = Order(Run("a.0.0.0", 1), '{"run_s":1}', 1e12, worker.token)
        await host._performer.on_frame(heartbeat(9, Evacuation("dc1", 6)))
        calls, unsent = host._performer._worker_calls, host._metrics.orders
        await calls.begin(StartRun(worker.entry, order))
        await wait_until(lambda: unsent.labels("unsent")._value.get() == 1)
        assert not any(worker.simulated.running for worker in platform.workers)
        await host._performer.on_frame(heartbeat(10))
        await calls.begin(StartRun(worker.entry, order))
        await wait_until(
            lambda: any(worker.simulated.running for worker in platform.workers)
        )

    platform.run_scenario(scenario)
