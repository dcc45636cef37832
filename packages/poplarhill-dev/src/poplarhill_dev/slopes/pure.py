"""Measures pure decision code and codecs in this process."""

import itertools
import json
from collections.abc import Callable
from random import Random
from typing import Any

from poplarhill.configuration import (
    Change,
    Configuration,
    Fold,
    apply_patch,
    encode_record,
)
from poplarhill.platform import Record
from poplarhill.types import Address, JobSpec
from poplarhill_dev.slopes.fit import (
    Point,
    Slope,
    fit,
    memory_kib,
    processor_us,
)
from poplarhill_dev.slopes.snapshots import snapshot_slopes
from poplarhilld.dispatch import Dispatcher, Identity
from poplarhilld.dispatch.actions import SendTask
from poplarhilld.dispatch.events import (
    ConfigurationChanged,
    JobSubmitted,
    TaskSucceeded,
)
from poplarhilld.peers import Heartbeat, MemberState
from poplarhilld.peers.codec import Envelope, decode, encode

_JOB_SIZES = (1, 16, 64, 160)
_WORKER_COUNTS = (24, 240, 2400, 21000)
_CUSTOMER_COUNTS = (24, 240, 720)
_MEMBER_COUNTS = (8, 40, 200, 1200)
_FLEET_WORKERS = 24
_HOSTS_PER_CENTRE = 8
_DEADLINE_S = 1e9
_BODY = b"x" * 200


def pure_slopes() -> list[Slope]:
    """Measure the slopes that need no other process."""
    return [
        _dispatch_us(),
        _slope("document size", "bytes", "worker", _WORKER_COUNTS, _document_bytes),
        _slope("document checked", "us", "worker", _WORKER_COUNTS, _check_us),
        _slope("change of one worker", "us", "worker", _WORKER_COUNTS, _change_us),
        _slope("configuration kept", "KiB", "worker", _WORKER_COUNTS, _worker_kib),
        *snapshot_slopes(document),
        _slope("customers kept", "KiB", "customer", _CUSTOMER_COUNTS, _customer_kib),
        _slope("heartbeat size", "bytes", "member", _MEMBER_COUNTS, _heartbeat_bytes),
        _slope("heartbeat encoded", "us", "member", _MEMBER_COUNTS, _encode_us),
        _slope("heartbeat decoded", "us", "member", _MEMBER_COUNTS, _decode_us),
        _slope("queued job kept", "KiB", "task", _JOB_SIZES, _job_kib),
    ]


def document(workers: int, customers: int = 0) -> dict[str, Any]:
    """Return a configuration document of a given size."""
    return {
        "services": {
            "booking": {
                "workers": {
                    f"worker-{number:05d}": {
                        "host": f"10.0.{number // 250}.{number % 250}",
                        "port": 7000,
                        "rack": f"rack-{number // 8}",
                        "data_centre": f"dc{number % 29}",
                    }
                    for number in range(workers)
                }
            }
        },
        "customers": {
            f"customer-{number}": {"weight": 1, "quota_tasks": 1000}
            for number in range(customers)
        },
    }


def _slope(
    name: str,
    unit: str,
    per: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Slope:
    points = [Point(size, measure(size)) for size in sizes]
    return fit(name, unit, per, points)


def _dispatch_us() -> Slope:
    identity = Identity("h1", "dc1", Address("127.0.0.1", 1), 1, {})
    numbers = itertools.count()

    def run_job(dispatcher: Dispatcher, size: int) -> None:
        job_id = f"job-{next(numbers)}"
        spec = JobSpec(job_id, "booking", "c", (_BODY,) * size, _DEADLINE_S)
        waiting = dispatcher.handle(0.0, JobSubmitted(spec))
        while waiting:
            action = waiting.pop()
            if isinstance(action, SendTask):
                done = TaskSucceeded(
                    action.task, action.worker.name, _BODY, action.attempt
                )
                waiting += dispatcher.handle(0.0, done)

    points = []
    for size in _JOB_SIZES:
        dispatcher = Dispatcher(identity, Random(1))
        configuration = Configuration.from_document(1, document(_FLEET_WORKERS))
        dispatcher.handle(0.0, ConfigurationChanged(configuration))
        cost = processor_us(lambda d=dispatcher, n=size: run_job(d, n))
        points.append(Point(size, cost))
    return fit("job decided", "us", "task", points)


def _document_bytes(workers: int) -> float:
    return float(len(json.dumps(document(workers), separators=(",", ":"))))


def _check_us(workers: int) -> float:
    value = document(workers)
    return processor_us(lambda: Configuration.from_document(1, value))


def _change_us(workers: int) -> float:
    value = document(workers)
    patch = {"services": {"booking": {"workers": {"worker-00001": {"slots": 9}}}}}
    first = Change("first", 0, "ada", "all", apply_patch({}, value))
    second = Change("second", 1, "ada", "one", patch)
    third = Change("third", 2, "ada", "one", patch)
    fold = Fold()
    fold.apply(Record(0, 0.0, encode_record(first)))
    fold.apply(Record(1, 0.0, encode_record(second)))
    offsets = itertools.count(2)
    versions = itertools.count(fold.configuration.version)

    def change() -> None:
        body = encode_record(
            Change(f"c{next(offsets)}", next(versions), "ada", "one", third.patch)
        )
        fold.apply(Record(fold.next_offset, 0.0, body))

    return processor_us(change)


def _worker_kib(workers: int) -> float:
    return memory_kib(lambda: Configuration.from_document(1, document(workers)))


def _customer_kib(customers: int) -> float:
    return memory_kib(lambda: Configuration.from_document(1, document(1, customers)))


def _heartbeat(members: int) -> Envelope:
    states = tuple(
        MemberState(
            f"host-{number:05d}",
            f"10.1.{number // 250}.{number % 250}",
            7001,
            f"dc{number // _HOSTS_PER_CENTRE}",
            1_790_000_000_000 + number,
            123_456,
            False,
        )
        for number in range(members)
    )
    return Envelope("host-00000", Heartbeat(states, 1, 2, 3, 4))


def _heartbeat_bytes(members: int) -> float:
    return float(len(encode(_heartbeat(members))))


def _encode_us(members: int) -> float:
    envelope = _heartbeat(members)
    return processor_us(lambda: encode(envelope))


def _decode_us(members: int) -> float:
    data = encode(_heartbeat(members))
    return processor_us(lambda: decode(data))


def _job_kib(tasks: int) -> float:
    identity = Identity("h1", "dc1", Address("127.0.0.1", 1), 1, {})

    def build() -> Dispatcher:
        dispatcher = Dispatcher(identity, Random(1))
        configuration = Configuration.from_document(1, document(1))
        dispatcher.handle(0.0, ConfigurationChanged(configuration))
        for number in range(100):
            bodies = tuple(bytes([number]) * 200 for _ in range(tasks))
            spec = JobSpec(f"job-{number}", "booking", "c", bodies, _DEADLINE_S)
            dispatcher.handle(0.0, JobSubmitted(spec))
        return dispatcher

    return memory_kib(build) / 100
