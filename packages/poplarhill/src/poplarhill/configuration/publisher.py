"""Reads the configuration stream and publishes changes to it.

An append may be lost, may succeed although its response is lost, or may take
effect late. The publisher therefore appends a change again under the same id until
the log shows its outcome; the fold accepts a change id at most once.
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
    """A change that was accepted.

    Attributes:
        change_id: Id of the change.
        version: Version that the change produced.
    """

    change_id: str
    version: int


class DecidedChange(NamedTuple):
    """A change in the log and its outcome.

    Attributes:
        record: Record that holds the change.
        outcome: Whether the change was accepted or rejected.
        change: The change if it was accepted, otherwise None.
    """

    record: Record
    outcome: Accepted | Rejection
    change: Change | None


class Publisher:
    """Folds the configuration stream for a command and publishes changes to it.

    Args:
        platform: The platform that holds the stream.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._fold = Fold()
        self._history: list[DecidedChange] = []

    @property
    def fold(self) -> Fold:
        """State after the records read so far."""
        return self._fold

    @property
    def history(self) -> list[DecidedChange]:
        """Every change read so far, oldest first."""
        return self._history

    async def read(self) -> Fold:
        """Read to the end of the stream and return the resulting state.

        Raises:
            PoplarhillError: The log cannot be read, or its records are not enough
                to compute the state.
        """
        unavailable = await self._read_to_end()
        if unavailable is not None:
            raise _error(ErrorKind.PLATFORM_UNAVAILABLE, unavailable.detail)
        if not self._fold.complete:
            detail = "the log no longer has its oldest records and has no snapshot yet"
            raise _error(ErrorKind.PLATFORM_UNAVAILABLE, detail)
        return self._fold

    async def publish(self, change: Change, timeout_s: float) -> Accepted | Rejection:
        """Append a change and return the outcome that the log shows.

        Args:
            change: The change, based on a version that this publisher has read.
            timeout_s: Longest time to keep trying, s.

        Raises:
            PoplarhillError: `TIMEOUT` if the change may still be accepted,
                `PLATFORM_UNAVAILABLE` if it was not appended and never will be.
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
        """Fold all records up to the end of the stream."""
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
        """Return the final outcome of a change, or None if it is not known yet.

        Versions never decrease, so a change whose base version has been
        superseded can no longer be accepted, wherever its record is.
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
    detail = f"change {change.change_id} may still be accepted: {reason}"
    return PoplarhillError(Failure(ErrorKind.TIMEOUT, detail))


def _error(kind: ErrorKind, detail: str) -> PoplarhillError:
    return PoplarhillError(Failure(kind, detail, _RETRY_AFTER_S))
