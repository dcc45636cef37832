"""Requests of callers whose bodies or headers cannot be decoded."""

import curio
import msgspec

from poplarhill.http import Request, Response, fetch

_WAIT_S = 10.0
STEP = b'"cpu":100,"mem_mb":1,"estimated_ms":10'


def job(fields: bytes) -> bytes:
    """Return a job of one step with these fields."""
    return (
        b'{"spec":"{\\"run_s\\":0.01}","best_effort":true,"steps":[{'
        + STEP
        + b","
        + fields
        + b"}]}"
    )


ODD_BODIES = {
    "nested 100,000 deep": job(b'"x":' + b"[" * 100_000 + b"]" * 100_000),
    "nested steps": b'{"spec":"","steps":' + b"[" * 5_000 + b"]" * 5_000 + b"}",
    "not UTF-8": b'{"spec":"\xff","steps":[]}',
    "list": b"[]",
    **{
        f"{field} of {digits[:4].decode()}, {len(digits)} digits": job(
            b'"%b":%b' % (field.encode(), digits)
        )
        for field in (
            *("count", "cpu", "mem_mb", "gpu", "estimated_ms", "max_per_server"),
            "depends_on",
        )
        for digits in (b"9" * 5_000, b"9" * 400, b"9" * 30, b"-1", b"NaN", b"1e400")
    },
    "dependency of 30 digits": job(b'"depends_on":[' + b"9" * 30 + b"]"),
}


async def post(platform, body: bytes, **headers: str) -> Response:
    """Submit a job once the host takes jobs, and return the response."""
    while not platform.host.ready:
        await curio.sleep(0.05)
    request = Request("POST", f"/r0/{1:016x}", "", headers, body)
    return await fetch(*platform.settings.callers, request, _WAIT_S)


# Guards against a caller that ends the host: what it asks for is sent to a leader in
# a frame, whose numbers have fewer digits.
def test_odd_jobs_are_refused_as_not_run_and_end_no_host(platform) -> None:
    async def scenario(platform) -> None:
        understood = []
        for name, body in ODD_BODIES.items():
            response = await post(platform, body)
            if response.status != 400:
                understood.append((name, response.status))
                continue
            error = msgspec.json.decode(response.body)["error"]
            assert error["run_state"] == "not_run", name
            assert len(error["detail"]) < 300, name
        assert not understood

    platform.run_scenario(scenario)
    assert platform.exit_code == 0


# Guards against a job that is refused because of a limit of many digits, which is
# longer than the timeout of any route.
def test_an_odd_time_limit_is_ignored(platform) -> None:
    async def scenario(platform) -> None:
        for wait_ms in ("9" * 5_000, "9" * 400, "-1", "1e9", ""):
            fields = {"deadline-ms": wait_ms}
            response = await post(platform, job(b'"gpu":0'), **fields)
            assert response.status == 200, (wait_ms[:9], response.body)

    platform.run_scenario(scenario)
