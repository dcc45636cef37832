"""The claims stream as read so far: which claim holds each key."""

from collections import OrderedDict, deque
from typing import NamedTuple

import msgspec

from poplarhill.platform import Record
from poplarhilld.claims.messages import ClaimId, ClaimRecord

_UNKNOWN = float("inf")


class Holder(NamedTuple):
    """The claim that holds a key.

    Attributes:
        claim: The claim.
        time: When the log accepted it, by the log's clock, s.
    """

    claim: ClaimId
    time: float


class Seen(NamedTuple):
    """A claim as it was read.

    Attributes:
        claim: The claim.
        holder: The claim that holds its key from this record on, if any.
        covered: Whether every record of the window before it was read.
    """

    claim: ClaimId
    holder: ClaimId | None
    covered: bool


class Ledger:
    """Folds the claims stream, in order.

    The claim with the lowest offset holds a key for the window. A claim that is
    released is void, also when it comes after its release.

    Args:
        window_s: How long a key is remembered, by the log's clock, s.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._next_offset = 0
        self._covered_from = float("-inf")
        self._latest = float("-inf")
        self._holders: OrderedDict[str, Holder] = OrderedDict()
        self._keys: dict[ClaimId, str] = {}
        self._released: set[ClaimId] = set()
        self._release_times: deque[tuple[float, ClaimId]] = deque()

    def __len__(self) -> int:
        return len(self._holders)

    @property
    def next_offset(self) -> int:
        """Offset of the first record that was not read."""
        return self._next_offset

    @property
    def covered_from(self) -> float:
        """Time from which on every record was read, by the log's clock, s."""
        return self._covered_from

    def covers(self, time: float) -> bool:
        """Return whether every record of the window before a time was read."""
        return self._covered_from <= time - self._window_s

    def holder(self, key: str, time: float) -> ClaimId | None:
        """Return the claim that holds a key at a time of the log's clock."""
        holder = self._holders.get(key)
        if holder is None or time - holder.time >= self._window_s:
            return None
        return holder.claim

    def set_window(self, window_s: float) -> None:
        """Change the window; a longer one has not been read whole."""
        if window_s > self._window_s:
            forgotten = self._latest - self._window_s
            self._covered_from = max(self._covered_from, forgotten)
        self._window_s = window_s

    def restart(self, earliest: int, time: float | None = None) -> None:
        """Go on at an offset because earlier records are gone.

        Args:
            earliest: The offset.
            time: Log's clock when the stream was found empty there, s; without
                it the first record read says from when on all is known.
        """
        self._next_offset = earliest
        self._covered_from = _UNKNOWN if time is None else time

    def reached(self, time: float) -> None:
        """Note that the next record, or the end, is at a time of the log's clock."""
        if self._covered_from == _UNKNOWN:
            self._covered_from = time

    def apply(self, record: Record) -> list[Seen]:
        """Read one record; return its claims."""
        self._next_offset = record.offset + 1
        self.reached(record.time)
        self._latest = max(self._latest, record.time)
        self._forget()
        body = _decode(record.body)
        if body is None:
            return []
        for number in body.released:
            self._release(record.time, ClaimId(body.host, body.incarnation, number))
        return [
            self._claim(record.time, ClaimId(body.host, body.incarnation, number), key)
            for number, key in enumerate(body.keys, body.first)
            if key
        ]

    def _claim(self, time: float, claim: ClaimId, key: str) -> Seen:
        holder = self.holder(key, time)
        if holder is None and claim not in self._released:
            self._drop(key)
            self._holders[key] = Holder(claim, time)
            self._keys[claim] = key
            holder = claim
        return Seen(claim, holder, self.covers(time))

    def _release(self, time: float, claim: ClaimId) -> None:
        self._released.add(claim)
        self._release_times.append((time, claim))
        key = self._keys.get(claim)
        if key is not None:
            self._drop(key)

    def _drop(self, key: str) -> None:
        holder = self._holders.pop(key, None)
        if holder is not None:
            self._keys.pop(holder.claim, None)

    def _forget(self) -> None:
        oldest = self._latest - self._window_s
        while self._holders:
            key, holder = next(iter(self._holders.items()))
            if holder.time > oldest:
                break
            self._drop(key)
        while self._release_times and self._release_times[0][0] <= oldest:
            _, claim = self._release_times.popleft()
            self._released.discard(claim)


def _decode(body: str) -> ClaimRecord | None:
    try:
        return msgspec.json.decode(body, type=ClaimRecord)
    except msgspec.MsgspecError:
        return None
