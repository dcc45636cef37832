"""Traces of a running fleet, and their check against guarantees."""

from poplarhill_dev.trace.checker import Violation as Violation
from poplarhill_dev.trace.checker import check as check
from poplarhill_dev.trace.record import record as record
