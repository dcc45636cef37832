"""Reads the configuration stream and publishes changes to it.

An append may be lost, may take effect although its answer is lost, and may
take effect late. So a change is appended again under the same id until the log
shows what became of it; the fold accepts an id at most once.
"""

import time
from typing import NamedTuple

import curio

from poplarhill.configuration.fold import Fold, Rejection
from poplarhill.configuration.records import CONFIG_STREAM, Change, encode_record
from poplarhill.exceptions import ErrorKind, Failure, PoplarhillError
from poplarhill.platform import (
    Appended,
    AppendRefused,
    Batch,
    Platform,
    Record,
    Truncated,
    Unavailable,
)

READ_LIMIT = 50
_FIRST_WAIT_S = 0.05
_LONGEST_WAIT_S = 1.0
_RETRY_AFTER_S = 5.0


class Accepted(NamedTuple):
    """A change that is in force.

    Attributes:
        change_id: Its id.
        version: Version that it made.
    """

    change_id: str
    version: int


class DecidedChange(NamedTuple):
    """A change in the log and what became of it."""

    record: Record
    outcome: Accepted | Rejection
    change: Change | None


class Publisher:
    """Folds the stream for a command, and publishes to it.

    Args:
        platform: The platform.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._fold = Fold()
        self._history: list[DecidedChange] = []

    @property
    def fold(self) -> Fold:
        """State after what was read so far."""
        return self._fold

    @property
    def history(self) -> list[DecidedChange]:
        """Every change read so far, oldest first."""
        return self._history

    async def read(self) -> Fold:
        """Read to the end of the stream and return its state.

        Raises:
            PoplarhillError: The log cannot be read, or does not tell the state.
        """
        unavailable = await self._read_to_end()
        if unavailable is not None:
            raise _error(ErrorKind.PLATFORM_UNAVAILABLE, unavailable.detail)
        if not self._fold.complete:
            detail = "the log has lost its oldest records and has no snapshot yet"
            raise _error(ErrorKind.PLATFORM_UNAVAILABLE, detail)
        return self._fold

    async def publish(self, change: Change, timeout_s: float) -> Accepted | Rejection:
        """Append a change and return what became of it, as the log shows it.

        Args:
            change: The change, made from a version that this publisher read.
            timeout_s: Longest time to try, s.

        Raises:
            PoplarhillError: `TIMEOUT` when the change may be accepted yet,
                `PLATFORM_UNAVAILABLE` when it never will be.
        """
        give_up_at = time.monotonic() + timeout_s
        wait_s = _FIRST_WAIT_S
        appended = may_be_appended = False
        while True:
            if not appended:
                result = await self._platform.append(
                    CONFIG_STREAM, encode_record(change)
                )
                appended = isinstance(result, Appended)
                may_be_appended |= not isinstance(result, AppendRefused)
            unavailable = await self._read_to_end()
            outcome = self._outcome(change)
            if outcome is not None:
                return outcome
            if time.monotonic() + wait_s > give_up_at:
                raise _undecided_error(change, may_be_appended, unavailable)
            await curio.sleep(wait_s)
            wait_s = min(2 * wait_s, _LONGEST_WAIT_S)

    async def _read_to_end(self) -> Unavailable | None:
        """Fold up to the end of the stream."""
        while True:
            offset = self._fold.next_offset
            match await self._platform.read(CONFIG_STREAM, offset, READ_LIMIT):
                case Batch(records=records):
                    if not records:
                        return None
                    for record in records:
                        self._apply(record)
                case Truncated(earliest):
                    self._fold.skip_to(earliest)
                case Unavailable() as unavailable:
                    return unavailable

    def _apply(self, record: Record) -> None:
        match self._fold.apply(record):
            case Change() as change:
                accepted = Accepted(change.change_id, change.base_version + 1)
                self._history.append(DecidedChange(record, accepted, change))
            case Rejection() as rejection:
                self._history.append(DecidedChange(record, rejection, None))

    def _outcome(self, change: Change) -> Accepted | Rejection | None:
        """Return the final outcome of a change, once the fold tells it.

        Versions never go back, so a change whose base version has passed can
        no longer be accepted, wherever its record is.
        """
        version = self._fold.configuration.version
        if not self._fold.complete or version < change.base_version:
            return None
        if version == change.base_version:
            return self._rejection(change)
        winner = self._fold.winner(change.base_version)
        if winner == change.change_id:
            return Accepted(change.change_id, change.base_version + 1)
        if winner is None:
            return None
        detail = f"made from version {change.base_version}, now {version}"
        return Rejection(change.change_id, winner, detail)

    def _rejection(self, change: Change) -> Rejection | None:
        for decided in self._history:
            if decided.outcome.change_id == change.change_id:
                return decided.outcome
        return None


def _undecided_error(
    change: Change, may_be_appended: bool, unavailable: Unavailable | None
) -> PoplarhillError:
    reason = unavailable.detail if unavailable else "the log does not show the change"
    if not may_be_appended:
        return _error(ErrorKind.PLATFORM_UNAVAILABLE, reason)
    detail = f"change {change.change_id} may be accepted yet: {reason}"
    return PoplarhillError(Failure(ErrorKind.TIMEOUT, detail))


def _error(kind: ErrorKind, detail: str) -> PoplarhillError:
    return PoplarhillError(Failure(kind, detail, _RETRY_AFTER_S))
