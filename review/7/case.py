"""A leader and, a moment later, the host whose first jobs wait for it there freeze."""

import asyncio
import signal

from standins import TROUBLE, Labelled, World, run

ZONES = ("a", "b", "c", "a", "b", "c", "a", "c", "a")  # of the entry hosts
RUN_S = 0.8
DEADLINE_MS = 1000
LEADER_FREEZE_S = 2.7  # of 3.5 s at most
ENTRY_FREEZE_S = 3.3
RESEND_S = 1.3
JOBS = 6
ROUNDS = 4
SIDE_BY_SIDE = 2


async def deployment(world) -> list | None:
    # More workers than one of these hosts leads, so each zone has a leader.
    world.cpu_share = 0.258
    kinds = [{"zone": "a"}] * 22 + [{"zone": "b"}] * 4 + [{"zone": "c"}] * 22
    await world.open(hosts=9, workers=kinds, zones=ZONES)
    await asyncio.sleep(4.0)
    holders = {worker.zone: worker.holder for worker in world.workers}
    record = world.record
    record.note(f"zones are led from {holders}")
    leader = next(host for host in world.hosts if host.ip == holders["b"])
    entry = next(h for h in world.hosts if h.zone == "b" and h is not leader)
    if leader.zone != "b" or len(set(holders.values())) < 3:
        return None
    again = next(h for h in world.hosts if h.zone == "c")
    step = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimated_ms": RUN_S * 1000}

    async def client(number):
        for host in (entry, again):
            status, _ = await world.submit(
                host, f"{number:016x}", [step], DEADLINE_MS, run_s=RUN_S, cpu=1000
            )
            if status not in (0, 502, 504):
                return status
            await asyncio.sleep(RESEND_S)
        return status

    async def freeze(host, length_s):
        host.send(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        host.send(signal.SIGCONT)

    freezes = []
    if TROUBLE:
        freezes.append(asyncio.create_task(freeze(leader, LEADER_FREEZE_S)))
        await asyncio.sleep(0.1)
    posts = [asyncio.create_task(client(number)) for number in range(JOBS)]
    await asyncio.sleep(0.4)
    if TROUBLE:
        freezes.append(asyncio.create_task(freeze(entry, ENTRY_FREEZE_S)))
    statuses = await asyncio.gather(*posts)
    await asyncio.gather(*freezes)
    await asyncio.sleep(1.0)
    if not world.starts() or not TROUBLE and set(statuses) != {200}:
        raise RuntimeError(f"answers {statuses}")
    return world.twice()


async def scenario(first) -> list:
    """Do the same in fresh deployments, until one shows it: it is a matter of order."""
    record, broken, could_run = first.record, [], False
    for number in range(ROUNDS):
        worlds = [World(__file__) for _ in range(SIDE_BY_SIDE)]
        for place, world in enumerate(worlds):
            world.record = Labelled(record, f"deployment {number}.{place}:")
        try:
            found = await asyncio.gather(*map(deployment, worlds))
        finally:
            for world in worlds:
                await world.close()
        for place, lines in enumerate(found):
            could_run = could_run or lines is not None
            broken += [f"deployment {number}.{place}: {line}" for line in lines or ()]
        if broken:
            break
    if not could_run:
        raise RuntimeError("no host of zone b led its workers")
    return broken


run(__file__, scenario)
