"""What calls to workers ask of the loop."""

import curio

_RENEWALS = 8.0


# Guards against a task for each renewal: 100 a second at a leader of 40 workers.
def test_a_lease_is_renewed_again_in_the_same_task(platform, monkeypatch):
    spawned: list[str] = []
    spawn = curio.spawn

    async def count(corofunc, *args, **options):
        spawned.append(getattr(corofunc, "__name__", ""))
        return await spawn(corofunc, *args, **options)

    monkeypatch.setattr(curio, "spawn", count)

    async def scene(platform):
        renewals = platform.host._metrics.renewals.labels("ok")._value
        while renewals.get() < _RENEWALS:
            await curio.sleep(0.05)
        assert spawned.count("_renew_repeatedly") == len(platform.workers)

    platform.play(scene)
