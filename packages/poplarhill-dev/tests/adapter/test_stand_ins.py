"""The stand-ins for the platform show the injected faults and no others."""

import curio
import msgspec

from poplarhill.http import Request, Response
from poplarhill.types import Resources
from poplarhill_dev.leased import LEASE_S, worker_entry
from poplarhill_platform_dev import (
    StandInStore,
    StandInWorker,
    StoreFaults,
    WorkerFaults,
)

TASK = "000000000000000a.0.0.0"
FAR_DEADLINE_MS = 1_000_000_000


async def call(worker: StandInWorker, operation: str, **body: object) -> Response:
    headers = {"expect-instance": worker.simulated.entry.name}
    body = {"fencing_token": 7, **body}
    request = Request(
        "POST", f"/v1/{operation}", "", headers, msgspec.json.encode(body)
    )
    return await worker.handle(request)


START_ORDER = {
    "task": TASK,
    "run": 1,
    "spec": '{"run_s":9}',
    "deadline_ms": FAR_DEADLINE_MS,
}


def make_worker(clock: list[float], lines: list[tuple[float, dict]]) -> StandInWorker:
    return StandInWorker(
        worker_entry("w0"),
        Resources(6.8, 64, 0),
        lambda: clock[0],
        lambda at, line: lines.append((at, line)),
    )


# Guards against a renewal that extends the lease again and again while it waits for a
# run to end.
def test_only_the_arrival_of_a_renewal_extends_a_lease() -> None:
    clock, lines = [50.0], []

    async def main() -> None:
        worker = make_worker(clock, lines)
        await call(worker, "run-start", **START_ORDER)
        hold = {"last_seen": 0, "deadline_ms": FAR_DEADLINE_MS, "wait_ms": 5000}
        renewing = await curio.spawn(call(worker, "hold", **hold))
        for _ in range(12):
            await curio.sleep(0.02)
            clock[0] += LEASE_S / 10
        answer = await curio.timeout_after(5.0, renewing.join)
        assert msgspec.json.decode(answer.body)["ended_runs"][0][3] == "lapsed"

    curio.run(main)
    assert lines[-1] == (50.0 + LEASE_S, {"end": (TASK, 1), "kind": "lapsed"})


def test_a_late_order_gets_no_response_but_is_carried_out() -> None:
    clock, lines = [50.0], []

    async def main() -> None:
        worker = make_worker(clock, lines)
        worker.inject_faults(WorkerFaults(late_share=1.0, late_s=(0.05, 0.1)))
        ordering = await curio.spawn(call(worker, "run-start", **START_ORDER))
        async with curio.timeout_after(10.0):
            while not lines:
                await curio.sleep(0.01)
        assert not ordering.terminated
        await ordering.cancel()

    curio.run(main)
    assert lines[0][1]["start"] == (TASK, 1)


def test_a_request_whose_response_is_lost_takes_effect() -> None:
    async def main() -> None:
        store = StandInStore()
        store.faults = StoreFaults(lost_share=1.0)
        record = b"\x01k{}"
        body = len(record).to_bytes(4, "big") + record
        append = Request("POST", "/v1/log-append", "topic=t", {}, body)
        assert await curio.ignore_after(0.05, store.handle, append) is None
        store.faults = StoreFaults()
        newest = await store.handle(Request("GET", "/v1/log-newest", "topic=t"))
        assert msgspec.json.decode(newest.body)["end"] == 1

    curio.run(main)
