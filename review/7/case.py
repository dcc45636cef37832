"""Jobs are cancelled at a host that has just been frozen; their tasks start later."""

import asyncio
import signal

from standins import TROUBLE, run

JOBS = 6
FIRST_S = 8.0  # run time of each task
CANCEL_S = 3.0  # `cancel_ms`
FREEZE_S = 2.5


async def scenario(world) -> list:
    await world.open(hosts=3, workers=[{}, {}, {}])
    leader = await world.leader()
    other = [host for host in world.hosts if host is not leader]
    entry, asked = other
    ids = [f"c{number:015x}" for number in range(JOBS)]
    first = {"count": 1, "cpu": 4000, "mem_mb": 64, "estimated_ms": FIRST_S * 1000}
    second = {**first, "depends_on": [0]}
    posts = [
        asyncio.create_task(
            world.submit(
                entry, job_id, [first, second], 40000, run_s=FIRST_S, cpu=4000
            )
        )
        for job_id in ids
    ]
    await asyncio.sleep(1.0)
    if TROUBLE:
        asked.send(signal.SIGSTOP)
        await asyncio.sleep(1.0)
    acknowledged = {}

    async def cancel(job_id):
        status = await world.cancel(asked, job_id)
        if 200 <= status < 300 or status == 410:
            acknowledged[job_id] = world.record.now()

    cancels = [asyncio.create_task(cancel(job_id)) for job_id in ids]
    if TROUBLE:
        await asyncio.sleep(FREEZE_S - 1.0)
        asked.send(signal.SIGCONT)
    await asyncio.gather(*cancels)
    await asyncio.gather(*posts)
    if len(acknowledged) < JOBS // 2:
        raise RuntimeError("cancels were not acknowledged")
    broken = []
    for job_id in ids:
        for at, worker, task, number in world.starts(job_id):
            if job_id in acknowledged and at > acknowledged[job_id] + CANCEL_S:
                late = at - acknowledged[job_id]
                broken.append(
                    f"UNASKED: {worker} starts {task} run {number} {late:.2f} s after "
                    f"the cancelling of its job was acknowledged"
                )
    return broken


run(__file__, scenario)
