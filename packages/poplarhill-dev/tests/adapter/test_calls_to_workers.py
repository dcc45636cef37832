"""Load that calls to workers put on the event loop."""

import curio
import msgspec

from poplarhill_platform.workers import _pad

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


# Guards against a head that is built anew for almost every order, as the lengths of
# their bodies vary with the input of the tasks.
def test_the_bodies_of_orders_have_few_lengths():
    bodies = [msgspec.json.encode({"spec": "x" * size}) for size in range(4001)]
    padded = [_pad(body) for body in bodies]
    assert len({len(body) for body in padded}) <= 17
    assert [msgspec.json.decode(body) for body in padded[::100]] == [
        msgspec.json.decode(body) for body in bodies[::100]
    ]
