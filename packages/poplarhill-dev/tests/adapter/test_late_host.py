"""What callers and the balancer see of a host whose event loop is late."""

import curio
import msgspec

from poplarhill.http import Request, fetch

_JOBS = 40


# A balancer that takes late hosts out would move their load to the next one, which is
# then late: readiness must not follow the load.
def test_a_late_host_stays_ready_and_refuses_before_it_reads_a_job(platform) -> None:
    async def scenario(platform) -> None:
        while not platform.host.ready:
            await curio.sleep(0.05)
        control = platform.host._state.overload
        now = control._calm_since + 1e3
        for turn in range(3):
            control.expect_turn(now + 0.5 * turn)
            control.note_turn(now + 0.5 + 0.5 * turn, 0.5 * turn)
        control.note_turn = lambda *_: []  # the real turns are not late
        control.expect_turn = lambda *_: None
        assert control.late
        responses = []
        for number in range(_JOBS):
            request = Request("POST", f"/r0/{number:016x}", "", {}, b"no JSON")
            responses.append(await fetch(*platform.settings.callers, request, 5.0))
        ready = await fetch(*platform.settings.readiness, Request("GET", "/"), 5.0)
        assert ready.status == 200
        refused = [one for one in responses if one.status == 503]
        assert len(refused) >= 0.8 * _JOBS
        for response in refused:
            assert int(response.headers["retry-after"]) >= 1
            error = msgspec.json.decode(response.body)["error"]
            assert (error["kind"], error["run_state"]) == ("overloaded", "not_run")
        assert {int(one.headers["retry-after"]) for one in refused} >= {2, 3, 4}
        assert not any(worker.peak_cores for worker in platform.workers)

    platform.run_scenario(scenario)


# The timeout of the route was taken for the time of a caller that waits for less, so
# that its job was accepted although the delay used up that time.
def test_a_late_host_goes_by_the_time_that_a_caller_states(
    platform, monkeypatch
) -> None:
    limits = []

    def find_refusal(now: float, priority: int, source: str, limit_s: float) -> None:
        limits.append(limit_s)

    async def scenario(platform) -> None:
        while not platform.host.ready:
            await curio.sleep(0.05)
        control = platform.host._state.overload
        monkeypatch.setattr(control, "find_refusal", find_refusal)
        for number, wait_ms in enumerate(("300", "9000", "")):
            fields = {"deadline-ms": wait_ms}
            path = f"/r0/{number:016x}"
            request = Request("POST", path, "", fields, b"no JSON")
            await fetch(*platform.settings.callers, request, 5.0)

    platform.run_scenario(scenario)
    assert limits == [0.3, 1.5, 1.5]
