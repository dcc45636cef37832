"""How long jobs may take, as callers of the platform see it."""

import curio
import msgspec

from poplarhill.http import Request, fetch

# The route of the platform's configuration has a timeout of 1.5 s.
_RUN_S = 1.8


# A job whose caller had said that it waits for 3 s was ended after 1.5 s.
def test_a_job_may_take_as_long_as_its_caller_says_that_it_waits(platform) -> None:
    async def scenario(platform) -> None:
        while not platform.host.ready:
            await curio.sleep(0.02)
        step = {"count": 2, "cpu": 6800, "mem_mb": 64, "estimated_ms": 900}
        spec = msgspec.json.encode({"run_s": _RUN_S}).decode()
        job = {"spec": spec, "steps": [step], "best_effort": True}
        request = Request(
            "POST",
            f"/r0/{1:016x}",
            "",
            {"deadline-ms": "3000"},
            msgspec.json.encode(job),
        )
        answer = await fetch(*platform.settings.callers, request, 5.0)
        assert (answer.status, answer.body) == (200, b'{"state":"completed"}')

    platform.run_scenario(scenario)
