"""Placement near the data in one entry host, over real connections."""

import os
import signal

import curio
import msgspec

from poplarhill.http import Request, fetch


async def wait_until(condition) -> None:
    while not condition():
        await curio.sleep(0.02)


# Guards against a slowdown that the settings give and that no part of the host applies,
# and against runs whose place no metric shows.
def test_a_reload_turns_it_on_and_the_metrics_show_the_runs(platform) -> None:
    async def scenario(platform) -> None:
        leader = platform.host._leader
        await wait_until(lambda: platform.host.ready)
        await wait_until(lambda: leader.load(0.0).cores == 32.0)
        assert not leader.locality.on
        platform.settings = platform.settings._replace(remote_slowdown=2.0)
        os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(lambda: leader.locality.on)
        for number, rack in enumerate(("r1", "r9")):
            step = {"count": 2, "cpu": 6800, "mem_mb": 64, "estimated_ms": 50}
            steps = [{**step, "data_rack": rack}]
            job = {"spec": '{"run_s":0.05}', "steps": steps, "best_effort": True}
            body = msgspec.json.encode(job)
            request = Request("POST", f"/r0/{number:016x}", "", {}, body)
            response = await fetch(*platform.settings.callers, request, 10.0)
            assert response.status == 200
        page = await fetch(
            *platform.settings.metrics, Request("GET", "/metrics", "", {}, b""), 10.0
        )
        assert b'poplarhill_runs_by_data{data="near"} 2.0' in page.body
        assert b'poplarhill_runs_by_data{data="remote"} 2.0' in page.body

    platform.run_scenario(scenario)
