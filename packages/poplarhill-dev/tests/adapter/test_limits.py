"""Limits on requests that the operators' configuration sets."""

import curio
import msgspec
import pytest

from poplarhill.http import Connection, Limits, Request
from poplarhill_platform.store import decode_configuration, odd_limits
from poplarhilld.catalogue import DEFAULT_LIMITS

GIVEN = {
    "max_header_bytes": 8192,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 1500,
    "idle_timeout_ms": 300_000,
}


def record(limits: object) -> bytes:
    document = {"version": 1, "routes": [], "services": [], "limits": limits}
    return msgspec.json.encode(document)


def test_limits_of_a_configuration_are_taken() -> None:
    limits = decode_configuration(record(GIVEN)).limits
    assert limits[:3] == (8192, 1_000_000, 1.5)
    assert limits.idle_s == 300.0
    assert odd_limits(record(GIVEN)) == []


# Guards against closing a connection while a request is on its way: clients may keep
# theirs for longer than the configuration says.
def test_a_short_idle_timeout_does_not_shorten_the_default() -> None:
    limits = decode_configuration(record({"idle_timeout_ms": 15_000})).limits
    assert limits.idle_s == DEFAULT_LIMITS.idle_s


@pytest.mark.parametrize("odd", [0, -1, "8192", None, [], 10**30, 1.5e300, True])
@pytest.mark.parametrize("name", GIVEN)
def test_an_odd_limit_leaves_the_others_in_force(name, odd) -> None:
    limits = record({**GIVEN, name: odd})
    assert odd_limits(limits) == [name]
    others = {key: value for key, value in GIVEN.items() if key != name}
    assert decode_configuration(limits) == decode_configuration(record(others))


@pytest.mark.parametrize("odd", [[], "none", 1, {}, None])
def test_odd_limits_leave_the_defaults_and_the_routes_in_force(odd) -> None:
    assert decode_configuration(record(odd)).limits == DEFAULT_LIMITS


# Guards against limits that only connections opened later are held to.
def test_a_changed_limit_is_in_force_on_open_connections(platform) -> None:
    step = b'{"cpu":100,"mem_mb":1,"estimated_ms":10}'
    job = b'{"spec":"{\\"run_s\\":0.01}","best_effort":true,"steps":[' + step + b"]}"

    async def configure(version: int, body_bytes: int) -> None:
        document = platform.configuration(version)
        document["limits"] = {"max_body_bytes": body_bytes}
        platform.store.put("keyed.op", "config", document)
        while platform.host.catalogue.version < version:
            await curio.sleep(0.02)

    async def scenario(platform) -> None:
        while not platform.host.ready:
            await curio.sleep(0.02)
        kept = await Connection.open(*platform.settings.callers, Limits(), 5.0)
        statuses = []
        for version, limit, size in (
            (4, 1000, 1000),
            (5, 300_000, 300_000),
            (6, 500, 501),
        ):
            await configure(version, limit)
            path = f"/r0/{version:016x}"
            request = Request("POST", path, body=job.ljust(size))
            statuses.append((await kept.exchange(request)).status)
        assert statuses == [200, 200, 413]

    platform.run_scenario(scenario)
