"""Load that calls to workers put on the event loop."""

import curio

_RENEWALS = 8.0


# Guards against spawning a task of the event loop for each renewal: a leader of 40
# workers sends 100 renewals per second.
def test_renewals_of_a_lease_run_in_one_task(platform, monkeypatch):
    spawned: list[str] = []
    spawn = curio.spawn

    async def count(corofunc, *args, **options):
        spawned.append(getattr(corofunc, "__name__", ""))
        return await spawn(corofunc, *args, **options)

    monkeypatch.setattr(curio, "spawn", count)

    async def scenario(platform):
        renewals = platform.host._metrics.renewals.labels("ok")._value
        while renewals.get() < _RENEWALS:
            await curio.sleep(0.05)
        assert spawned.count("_renew_repeatedly") == len(platform.workers)

    platform.run_scenario(scenario)
