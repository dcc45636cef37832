"""Traces of what a fleet did, and their check against stated outcomes."""

from poplarhill_dev.trace.checker import Violation as Violation
from poplarhill_dev.trace.checker import check as check
from poplarhill_dev.trace.record import record as record
