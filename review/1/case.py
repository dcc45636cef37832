"""A task runs twice at once after its entry host and two leaders in a row were killed.

A fleet of 15 entry hosts in three zones. Jobs are taken by a host of zone c and led by the
leader of zone a. The entry host is killed, 0.6 s later the leader, and 0.45 s later its
successor. The client sends its jobs again 1.3 s after its connections broke, to a host of
zone b, as PROTOCOL.md says.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins  # noqa: E402
from standins import BOUNDS, TROUBLE, CaseError  # noqa: E402

JOBS = [f"{n:016x}" for n in range(0xE00, 0xE10)]
DEADLINE_MS = 6000
RUN_MS = 3000


def holder_of(world, zone):
    """Return the host that leads the workers of a zone."""
    names = {worker.holder for worker in world.workers if worker.zone == zone}
    if len(names) != 1 or names == {""}:
        raise CaseError(f"zone {zone} is led by {names}")
    return next(host for host in world.host_list if host.name in names)


def leads_all(world, zone, former):
    """Return whether one host, other than the former leader, has all workers there."""
    names = {worker.holder for worker in world.workers if worker.zone == zone}
    return len(names) == 1 and former.name not in names


async def send(world, job, first, second):
    """Send a job, and again after a broken connection, as a client does."""
    body = standins.chain(1, RUN_MS, cpu=4000)
    body["steps"][0]["count"] = 2
    _, status, _ = await world.client(first, "POST", job, body, DEADLINE_MS)
    if status == 0:
        await asyncio.sleep(BOUNDS["resend_ms"] / 1000)
        await world.client(second, "POST", job, body, DEADLINE_MS)


async def scenario(world):
    world.cpu_share = 0.258  # 0.516 cores, as the smaller machines of a grown site
    world.direct = True  # a killed host's address refuses connections
    workers = [(f"wa{n}", "a", ["kind-a", "ra"]) for n in range(22)]
    workers += [(f"wb{n}", "b", ["kind-a", "rb"]) for n in range(22)]
    workers += [(f"wc{n}", "c", ["kind-a", "rc"], 2000) for n in range(2)]
    await world.start(["a", "b", "c"] * 5, workers)
    await asyncio.sleep(6.0)
    leader, leader_of_c = holder_of(world, "a"), holder_of(world, "c")
    entry = next(
        host
        for host in world.host_list
        if host.zone == "c" and host not in (leader_of_c, leader)
    )
    again = next(host for host in world.host_list if host.zone == "b")
    posts = [world.background(send(world, job, entry, again)) for job in JOBS]
    await world.wait_until(
        lambda: any(w.starts for w in world.workers if w.zone == "a"), 0.3, "a start in a"
    )
    await asyncio.sleep(0.03)
    if TROUBLE:
        killed_at = world.record.now()
        entry.kill()
        await asyncio.sleep(killed_at + 0.6 - world.record.now())
        leader.kill()
        await world.wait_until(
            lambda: leads_all(world, "a", leader), 0.4, "the next leader of zone a"
        )
        successor = holder_of(world, "a")
        await asyncio.sleep(max(0.0, killed_at + 1.05 - world.record.now()))
        successor.kill()
    await asyncio.wait(posts, timeout=10)
    return standins.overlapping_runs(world)


standins.main(__file__, scenario)
