"""Measures snapshots, which hold a whole configuration in one record."""

import itertools
from collections.abc import Callable
from typing import Any

from poplarhill.configuration import Fold, Snapshot, decode_record, encode_record
from poplarhill_dev.slopes.fit import Point, Slope, fit, processor_us

_WORKER_COUNTS = (24, 240, 2400, 21000)

MakeDocument = Callable[[int], dict[str, Any]]


def snapshot_slopes(document: MakeDocument) -> list[Slope]:
    """Measure the cost of a snapshot to its writer and its readers.

    Args:
        document: Returns a configuration document with the given number of workers.
    """
    return [
        _slope("snapshot encoded", document, _encode_us),
        _slope("snapshot noted in the log", document, _note_us),
        _slope("snapshot taken over by a new host", document, _adopt_us),
        _slope("snapshot taken over by a host behind", document, _catch_up_us),
    ]


def _slope(
    name: str, document: MakeDocument, measure: Callable[[Snapshot], float]
) -> Slope:
    points = []
    for workers in _WORKER_COUNTS:
        snapshot = Snapshot(1, document(workers), 1, 0.0, {0: "first"})
        points.append(Point(workers, measure(snapshot)))
    return fit(name, "us", "worker", points)


def _encode_us(snapshot: Snapshot) -> float:
    return processor_us(lambda: encode_record(snapshot))


def _note_us(snapshot: Snapshot) -> float:
    """Return the cost to a host that already has the same state."""
    body = encode_record(snapshot)
    return processor_us(lambda: decode_record(body).document == snapshot.document)


def _adopt_us(snapshot: Snapshot) -> float:
    body = encode_record(snapshot)
    return processor_us(lambda: Fold().adopt(decode_record(body), None))


def _catch_up_us(snapshot: Snapshot) -> float:
    """Return the cost to a host that misses one change."""
    fold = Fold()
    fold.adopt(snapshot, None)
    versions = itertools.count(2)

    def catch_up() -> None:
        version = next(versions)
        customers = {"customers": {"kelani": {"weight": version}}}
        document = {**snapshot.document, **customers}
        newer = Snapshot(version, document, version, 0.0)
        fold.adopt(decode_record(encode_record(newer)), None)

    return processor_us(catch_up)
