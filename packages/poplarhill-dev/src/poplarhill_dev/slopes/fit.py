"""Linear fits, and measurement of processor time and memory."""

import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

import numpy

_MIN_RUN_S = 0.2
_US = 1e6
_KIB = 1024


class Point(NamedTuple):
    """Measured cost at one size."""

    size: float
    cost: float


class Slope(NamedTuple):
    """Linear fit of a cost against a size.

    Attributes:
        name: Name of the measured cost.
        unit: Unit of the cost.
        per: Unit of the size.
        points: Measured points.
        each: Additional cost per unit of size.
        fixed: Cost at size zero.
        residual: Largest deviation of a point from the line, relative to its cost.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    each: float
    fixed: float
    residual: float


def fit(name: str, unit: str, per: str, points: list[Point]) -> Slope:
    """Return the least-squares line, with points weighted by inverse cost."""
    sizes = numpy.array([point.size for point in points])
    costs = numpy.array([point.cost for point in points])
    each, fixed = numpy.polyfit(sizes, costs, 1, w=1.0 / numpy.maximum(costs, 1e-9))
    residual = float(numpy.max(numpy.abs(each * sizes + fixed - costs) / costs))
    return Slope(name, unit, per, tuple(points), float(each), float(fixed), residual)


def processor_us(work: Callable[[], object]) -> float:
    """Return the mean processor time of a call, us."""
    work()
    calls = 0
    begin = time.process_time()
    while (spent := time.process_time() - begin) < _MIN_RUN_S:
        work()
        calls += 1
    return spent / calls * _US


def memory_kib(build: Callable[[], object]) -> float:
    """Return the memory held by the object that `build` returns, KiB."""
    build()
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / _KIB
