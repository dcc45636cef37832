"""Straight lines through measured points, and the clocks that measure them."""

import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

import numpy

_MIN_RUN_S = 0.2
_US = 1e6
_KIB = 1024


class Point(NamedTuple):
    """Cost at one size."""

    size: float
    cost: float


class Slope(NamedTuple):
    """A cost that grows with size.

    Attributes:
        name: What was measured.
        unit: Unit of the cost.
        per: What one unit of size is.
        points: Measured points.
        each: Cost of one more unit of size.
        fixed: Cost at size zero.
        residual: Largest distance of a point from the line, against its cost.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    each: float
    fixed: float
    residual: float


def fit(name: str, unit: str, per: str, points: list[Point]) -> Slope:
    """Return the line through points, each weighed by the inverse of its cost."""
    sizes = numpy.array([point.size for point in points])
    costs = numpy.array([point.cost for point in points])
    each, fixed = numpy.polyfit(sizes, costs, 1, w=1.0 / numpy.maximum(costs, 1e-9))
    residual = float(numpy.max(numpy.abs(each * sizes + fixed - costs) / costs))
    return Slope(name, unit, per, tuple(points), float(each), float(fixed), residual)


def processor_us(work: Callable[[], object]) -> float:
    """Return the processor time of one call, us, over enough calls."""
    work()
    calls = 0
    begin = time.process_time()
    while (spent := time.process_time() - begin) < _MIN_RUN_S:
        work()
        calls += 1
    return spent / calls * _US


def memory_kib(build: Callable[[], object]) -> float:
    """Return the memory that what `build` returns keeps, KiB."""
    build()
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / _KIB
