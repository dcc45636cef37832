"""Jobs through one entry host, over real connections, in the platform's format."""

import os
import signal

import curio
import msgspec

from poplarhill.http import Request, Response, fetch
from poplarhill.types import Address, Resources
from poplarhilld.peers import ReducedWorker, WorkersReport
from poplarhilld.peers.codec import Envelope

NEEDS = Resources(6.8, 64, 0)
JOB_ID = "5c0e7a21d94b36f8"
PATH = f"/r0/{JOB_ID}"


def job(tasks: int = 3, run_s: float = 0.05, **fields: object) -> bytes:
    step = {"count": tasks, "cpu": 6800, "mem_mb": 64, "estimated_ms": run_s * 1000}
    spec = msgspec.json.encode({"run_s": run_s}).decode()
    return msgspec.json.encode(
        {"spec": spec, "steps": [step], "best_effort": True, **fields}
    )


async def call(platform, method: str, path: str, body: bytes = b"") -> Response:
    return await fetch(
        *platform.settings.callers, Request(method, path, "", {}, body), 10.0
    )


async def is_ready(address: Address) -> bool:
    try:
        return (
            await fetch(*address, Request("GET", "/v1/readiness"), 5.0)
        ).status == 200
    except Exception:  # The host may not listen yet.
        return False


async def wait_until_ready(platform) -> None:
    while not await is_ready(platform.settings.readiness):
        await curio.sleep(0.02)


def test_a_job_completes_over_the_whole_path(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        answer = await call(platform, "POST", PATH, job(tasks=8))
        assert (answer.status, answer.body) == (200, b'{"state":"completed"}')
        assert all(worker.peak_cores <= 16.0 for worker in platform.workers)

    platform.run_scenario(scenario)


def test_without_a_configuration_jobs_are_refused(platform) -> None:
    async def scenario(platform) -> None:
        platform.store.failing = 503
        while not platform.store.calls:
            await curio.sleep(0.02)
        answer = await call(platform, "POST", PATH, job())
        assert answer.status == 503
        assert "retry-after" in answer.headers
        assert not await is_ready(platform.settings.readiness)
        platform.store.failing = 0
        await wait_until_ready(platform)
        assert (await call(platform, "POST", PATH, job())).status == 200

    platform.run_scenario(scenario)


def test_jobs_complete_while_the_store_is_unavailable(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        platform.store.failing = 503
        await curio.sleep(1.5)
        assert (await call(platform, "POST", PATH, job())).status == 200

    platform.run_scenario(scenario)


def test_routes_are_added_and_removed(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        path = f"/r5/{JOB_ID}"
        assert (await call(platform, "POST", path, job())).status == 404
        platform.store.put("keyed.op", "config", platform.configuration(5, routes=9))
        while (await call(platform, "POST", path, job())).status != 200:
            await curio.sleep(0.02)
        platform.store.put("keyed.op", "config", platform.configuration(4, routes=1))
        platform.store.put("keyed.op", "config", platform.configuration(8, routes=2))
        platform.store.compact("keyed.op")
        while (await call(platform, "POST", path, job())).status != 404:
            await curio.sleep(0.02)
        assert platform.host.catalogue.version == 8

    platform.run_scenario(scenario)


def test_invalid_registrations_do_not_hide_valid_ones(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        store = platform.store
        store.put_bytes("keyed.servers", "invalid", b"\xff\x00")
        store.put("keyed.servers", "wrong-type", {"state": 7})
        store.put("keyed.servers", "w0", None)
        await curio.sleep(1.0)
        assert (await call(platform, "POST", PATH, job())).status == 200

    platform.run_scenario(scenario)


def test_unsupported_requests_are_refused_as_not_run(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        for fields in ({"best_effort": False}, {"long_running": True}):
            answer = await call(platform, "POST", PATH, job(**fields))
            assert answer.status == 503
            error = msgspec.json.decode(answer.body)["error"]
            assert error["run_state"] == "not_run"
        for body in (
            b"",
            b"{",
            b'{"spec":"x","steps":[]}',
            job(tasks=0),
            job(tasks=999),
        ):
            assert (await call(platform, "POST", PATH, body)).status == 400
        assert (await call(platform, "PUT", PATH, job())).status == 400
        assert (await call(platform, "POST", "/r0/short", job())).status == 400
        assert (await call(platform, "GET", PATH)).status == 410
        assert (await call(platform, "DELETE", PATH)).status == 410
        waiting = await call(platform, "GET", "/r0/")
        assert waiting.body == b'{"waiting":0}'

    platform.run_scenario(scenario)


def test_a_cancelled_job_is_stopped_and_answered(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        async with curio.TaskGroup() as group:
            posting = await group.spawn(call, platform, "POST", PATH, job(run_s=1.0))
            while not any(w.simulated.running for w in platform.workers):
                await curio.sleep(0.01)
            assert (await call(platform, "DELETE", PATH)).status == 200
            await posting.join()
        assert posting.result.body == b'{"state":"cancelled"}'
        while any(w.simulated.running for w in platform.workers):
            await curio.sleep(0.01)

    platform.run_scenario(scenario)


def test_the_job_of_a_disconnected_caller_is_stopped(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        posting = await curio.spawn(call, platform, "POST", PATH, job(run_s=1.0))
        while not any(w.simulated.running for w in platform.workers):
            await curio.sleep(0.01)
        await posting.cancel()
        while any(w.simulated.running for w in platform.workers):
            await curio.sleep(0.01)

    platform.run_scenario(scenario)


def test_metrics_are_served(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        await call(platform, "POST", PATH, job())
        page = await fetch(*platform.settings.metrics, Request("GET", "/metrics"), 5.0)
        assert b'poplarhill_jobs_total{outcome="complete",route="r-0"} 1.0' in page.body
        assert b"poplarhill_job_seconds_bucket" in page.body

    platform.run_scenario(scenario)


def test_a_stopping_host_serves_until_the_balancer_has_noticed(platform) -> None:
    # Guards against a host that exits 0.2 s after its last response while callers
    # still send requests on open connections.
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        os.kill(os.getpid(), signal.SIGTERM)
        for number in range(20):
            path = f"/r0/{number:016x}"
            assert (await call(platform, "POST", path, job(tasks=1))).status == 200
            await curio.sleep(0.05)
        assert not await is_ready(platform.settings.readiness)

    platform.run_scenario(scenario)
    assert platform.exit_code == 0


# Guards against a leader that goes on by the list that it read before the store turned
# it away, while the store serves the other hosts and the workers.
def test_a_leader_without_the_store_learns_of_smaller_workers_from_others(
    platform,
) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        platform.store.failing = 503
        while not platform.host._hosts.outdated:
            await curio.sleep(0.02)
        first, second = platform.workers
        report = WorkersReport(
            (
                ReducedWorker(first.simulated.entry.name, True, Resources(16.0, 64, 0)),
                ReducedWorker(second.simulated.entry.name, False, NEEDS),
            )
        )
        await platform.host._performer.on_frame(Envelope("h2", report))
        await platform.host._ticker.tick()
        answer = await call(platform, "POST", PATH, job(tasks=4))
        assert answer.status == 200
        assert first.peak_cores == 0.0
        assert second.peak_cores <= NEEDS.cores

    platform.run_scenario(scenario)


def test_a_leader_with_the_store_ignores_what_others_report(platform) -> None:
    async def scenario(platform) -> None:
        await wait_until_ready(platform)
        name = platform.workers[0].simulated.entry.name
        report = WorkersReport((ReducedWorker(name, True, NEEDS),))
        await platform.host._performer.on_frame(Envelope("h2", report))
        assert not platform.host._registry.reduced

    platform.run_scenario(scenario)
