"""Measures the cost of a request: tasks on a worker link, and claims."""

import itertools
import time

import curio

from poplarhill.platform import Appended, Batch, Record
from poplarhill.types import JobSpec, TaskId, WorkerSpec
from poplarhill_dev.slopes.fit import Point, Slope, fit, memory_kib, processor_us
from poplarhilld.claims import (
    AppendClaims,
    ClaimsAppendDue,
    ClaimsAppended,
    ClaimsRead,
    ClaimState,
)
from poplarhilld.claims.ledger import Ledger
from poplarhilld.dispatch.actions import SendTask
from poplarhilld.jobs import Completed
from poplarhilld.workers import WorkerLinks

_HOST = "127.0.0.1"
_JOB_SIZES = (1, 16, 160)
_BATCH_SIZES = (1, 10, 100)
_LEDGER_SIZES = (1000, 10_000, 100_000)
_BODY = b"x" * 200
_DEADLINE_S = 60.0
_WINDOW_S = 600.0
_REPEATS = 20
_US = 1e6
_DONE = Completed((b"done",))
_TASK_ID = b"task-id: "


def request_slopes() -> list[Slope]:
    """Measure the slopes of links and claims."""
    sizes = [Point(size, _claim_bytes(size)) for size in _BATCH_SIZES]
    costs = [Point(size, _claim_us(size)) for size in _BATCH_SIZES]
    kept = [Point(size, _ledger_kib(size)) for size in _LEDGER_SIZES]
    return [
        fit("tasks over a link", "us", "task", curio.run(_link_points)),
        fit("claims decided", "us", "claim", costs),
        fit("record of claims", "bytes", "claim", sizes),
        fit("claims kept", "KiB", "claim", kept),
    ]


async def _link_points() -> list[Point]:
    sock = curio.tcp_server_socket(_HOST, 0)
    serving = await curio.spawn(_accept_connections, sock, daemon=True)
    port = sock.getsockname()[1]
    links = WorkerLinks(time.monotonic, hosts=8, on_discarded=lambda reason: None)
    points = []
    for size in _JOB_SIZES:
        await _send_job(links, port, size)
        begin = time.process_time()
        for _ in range(_REPEATS):
            await _send_job(links, port, size)
        spent = time.process_time() - begin
        points.append(Point(size, spent / _REPEATS * _US))
    await links.close()
    await serving.cancel()
    return points


async def _send_job(links: WorkerLinks, port: int, size: int) -> None:
    worker = WorkerSpec("w1", "booking", _HOST, port)
    deadline = time.monotonic() + _DEADLINE_S
    async with curio.TaskGroup() as group:
        for index in range(size):
            task = TaskId("0123456789abcdef0123456789abcdef", index)
            action = SendTask(task, worker, _BODY, deadline, deadline)
            await group.spawn(links.send, action)


async def _accept_connections(sock: curio.io.Socket) -> None:
    while True:
        client, _ = await sock.accept()
        await curio.spawn(_answer_requests, client, daemon=True)


async def _answer_requests(client: curio.io.Socket) -> None:
    """Answer requests without parsing; each arrives in a single `recv`."""
    async with client:
        while data := await client.recv(65536):
            task = data.partition(_TASK_ID)[2].partition(b"\r\n")[0]
            head = b"HTTP/1.1 200 OK\r\n" + _TASK_ID + task
            length = b"\r\ncontent-length: %d\r\n\r\n" % len(_BODY)
            await client.sendall(head + length + _BODY)


class _ClaimingHost:
    """A host that claims many keys per record in a log that never fails."""

    def __init__(self) -> None:
        self._state = ClaimState("host-1", 1_700_000_000_000, 8, _WINDOW_S)
        self._now = 0.0
        self._offset = 0
        self._jobs = itertools.count()
        self._state.tick(0.0)
        self._state.receive(0.0, ClaimsRead(0, Batch((), 0, 0, 0.0)))
        # The first claim is appended at once; later ones wait for the batch interval.
        [append] = self._state.claim_key(self._now, _spec(next(self._jobs)))
        self._confirm(append.batch, Record(0, self._now, append.body))

    def claim(self, count: int) -> Record:
        """Claim `count` keys in one record, finish the jobs, and return the record."""
        specs = [_spec(next(self._jobs)) for _ in range(count)]
        outputs = []
        for spec in specs:
            outputs += self._state.claim_key(self._now, spec)
        self._now += 1.0
        outputs += self._state.receive(self._now, ClaimsAppendDue())
        [append] = [o for o in outputs if isinstance(o, AppendClaims)]
        record = Record(self._offset, self._now, append.body)
        self._confirm(append.batch, record)
        for spec in specs:
            self._state.record_outcome(self._now, spec.job_id, _DONE)
        return record

    def _confirm(self, batch: int, record: Record) -> None:
        appended = ClaimsAppended(batch, Appended(record.offset))
        self._state.receive(self._now, appended)
        self._offset += 1
        read = Batch((record,), self._offset, self._offset, self._now)
        self._state.receive(self._now, ClaimsRead(record.offset, read))


def _claim_us(batch: int) -> float:
    host = _ClaimingHost()
    return processor_us(lambda: host.claim(batch))


def _claim_bytes(batch: int) -> float:
    return float(len(_ClaimingHost().claim(batch).body))


def _ledger_kib(claims: int) -> float:
    host = _ClaimingHost()
    per_record = max(_BATCH_SIZES)
    records = [host.claim(per_record) for _ in range(claims // per_record)]

    def build() -> Ledger:
        ledger = Ledger(_WINDOW_S * claims)
        for record in records:
            ledger.apply(record)
        return ledger

    return memory_kib(build)


def _spec(number: int) -> JobSpec:
    key = f"key-{number}"
    return JobSpec(
        f"job-{number}", "booking", "c", (_BODY,), 1e9, idempotent=False, key=key
    )
