"""One of three hosts is cut off from the others, and reached again, many times.

Several small deployments run side by side, each on its own, as not each cut shows it.
"""

import asyncio
import random
import time

from standins import TROUBLE, Labelled, World, run

DEPLOYMENTS = 4
LENGTH_S = 95.0
CUT_S = (1.2, 3.0)  # shortest and longest
PAUSE_S = 1.5  # between cuts
WORKERS = 3
RUN_S = 3.0
JOBS_PER_S = 20
RECENT_S = 0.3
RECORDED_S = 12.0


class Cuts:
    """Cuts one host of a deployment off from the others; workers stay in reach.

    A cut ends when its time is up, or before that when a heartbeat comes while both
    hosts believe that they lead: the next one would come a second later.
    """

    def __init__(self, world) -> None:
        self._world = world
        self._ip = ""
        self._leader = ""
        self._least_until = 0.0
        for host, proxy in zip(world.hosts, world.proxies, strict=True):
            proxy.cut = lambda source, ip=host.ip: self._is_cut(source, ip)
            proxy.on_drop = lambda source, ip=host.ip: self._dropped(source, ip)

    @property
    def under_way(self) -> bool:
        return bool(self._ip)

    def begin(self, leader, host) -> None:
        self._world.record.note(f"{host.name} is cut off from the other hosts")
        self._ip, self._leader = host.ip, leader.ip
        self._least_until = time.monotonic() + CUT_S[0]

    def end(self, why) -> None:
        if not self._ip:
            return
        self._ip = ""
        self._world.record.note(f"all hosts reach each other: {why}")
        for proxy in self._world.proxies:
            proxy.heal()

    def _is_cut(self, one, other) -> bool:
        return self.under_way and (one == self._ip) != (other == self._ip)

    def _dropped(self, source, target) -> None:
        if time.monotonic() < self._least_until:
            return
        if {source, target} != {self._leader, self._ip}:
            return
        workers = self._world.workers
        obeyed = all(w.answered.get(self._ip) == 200 for w in workers)
        retaken = [w for w in workers if w.holder == self._leader]
        recent = all(time.monotonic() - w.held_since < RECENT_S for w in retaken)
        if obeyed and recent and any(w.started for w in retaken):
            self.end("workers have just changed hands")


async def client(world, number, statuses) -> None:
    """Hand a job in; again as PROTOCOL.md says if that had no clear end."""
    step = {"count": 1, "cpu": 250, "mem_mb": 64, "estimated_ms": RUN_S * 1000}
    for _ in range(3):
        host = random.choice(world.hosts)
        status, _ = await world.submit(
            host, f"{number:016x}", [step], 8000, run_s=RUN_S, cpu=250
        )
        statuses.append(status)
        if status not in (0, 502, 504):
            return
        await asyncio.sleep(1.3)


async def deployment(world, statuses, found) -> None:
    cuts = Cuts(world)
    posts = []

    async def load():
        number = 0
        while True:
            number += 1
            posts.append(asyncio.create_task(client(world, number, statuses)))
            await asyncio.sleep(1 / JOBS_PER_S)

    loading = asyncio.create_task(load())
    await asyncio.sleep(2.0)
    while world.record.now() < LENGTH_S and not found:
        if TROUBLE:
            leader = await world.leader()
            host = random.choice([one for one in world.hosts if one is not leader])
            cuts.begin(leader, host)
        until = time.monotonic() + CUT_S[1]
        while time.monotonic() < until and cuts.under_way:
            await asyncio.sleep(0.02)
        cuts.end("its time is up")
        await asyncio.sleep(PAUSE_S)
        found += world.twice()
    loading.cancel()
    await asyncio.gather(*posts)


async def scenario(first) -> list:
    record = first.record
    worlds = [first] + [World(__file__) for _ in range(DEPLOYMENTS - 1)]
    statuses: list = []
    found: list = []
    try:
        for number, world in enumerate(worlds):
            world.record = Labelled(record, f"deployment {number}:")
        async with asyncio.TaskGroup() as group:
            for world in worlds:
                kinds = [{}] * WORKERS
                group.create_task(world.open(hosts=3, workers=kinds, proxied=True))
        async with asyncio.TaskGroup() as group:
            for world in worlds:
                group.create_task(deployment(world, statuses, found))
    finally:
        first.record = record
        for world in worlds[1:]:
            await world.close()
    if statuses.count(200) < 20:
        raise RuntimeError("too few jobs were served")
    broken = {number: world.twice() for number, world in enumerate(worlds)}
    labels = tuple(f"deployment {n}:" for n, lines in broken.items() if lines)
    if labels:  # the other deployments, and what was long before, add nothing
        since = float(record.lines[-1][:8]) - RECORDED_S
        record.lines = [
            line
            for line in record.lines
            if line[9:].startswith(labels) and float(line[:8]) >= since
        ]
    return [f"deployment {n}: {line}" for n, found in broken.items() for line in found]


run(__file__, scenario)
