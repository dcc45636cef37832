"""Which claim holds each key, according to the claims stream read so far."""

from collections import OrderedDict, deque
from typing import NamedTuple

from poplarhill.decoding import InvalidDataError, decode_json
from poplarhill.platform import Record
from poplarhilld.claims.messages import ClaimId, ClaimRecord

_UNKNOWN = float("inf")


class Holder(NamedTuple):
    """The claim that holds a key.

    Attributes:
        claim: The claim.
        time: When the claim was appended, by the log's clock, s.
    """

    claim: ClaimId
    time: float


class AppliedClaim(NamedTuple):
    """A claim read from the stream, with its effect.

    Attributes:
        claim: The claim.
        holder: The claim that holds the key after this record, if any.
        covered: Whether every record of the key window before it was read.
    """

    claim: ClaimId
    holder: ClaimId | None
    covered: bool


class Ledger:
    """State of the keys after the records read so far.

    Records are applied in the order of the stream. The claim with the lowest offset
    holds a key for the length of the key window. A released claim is void even if
    it comes after its release in the stream, as a delayed append can.

    Args:
        window_s: How long a claim holds its key, by the log's clock, s.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._next_offset = 0
        self._covered_from = float("-inf")
        self._latest_time = float("-inf")
        self._holders: OrderedDict[str, Holder] = OrderedDict()
        self._keys: dict[ClaimId, str] = {}
        self._released: set[ClaimId] = set()
        self._release_times: deque[tuple[float, ClaimId]] = deque()

    def __len__(self) -> int:
        return len(self._holders)

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        return self._next_offset

    @property
    def covered_from(self) -> float:
        """Earliest time since which every record was read, by the log's clock, s."""
        return self._covered_from

    def covers(self, time: float) -> bool:
        """Return whether every record of the key window before a time was read."""
        return self._covered_from <= time - self._window_s

    def holder(self, key: str, time: float) -> ClaimId | None:
        """Return the claim that holds a key at a time by the log's clock, if any."""
        holder = self._holders.get(key)
        if holder is None or time - holder.time >= self._window_s:
            return None
        return holder.claim

    def set_window(self, window_s: float) -> None:
        """Change the key window.

        A longer window is not covered at first, because older claims have expired.
        """
        if window_s > self._window_s:
            expired_until = self._latest_time - self._window_s
            self._covered_from = max(self._covered_from, expired_until)
        self._window_s = window_s

    def skip_to(self, earliest: int, time: float | None = None) -> None:
        """Continue at an offset because earlier records no longer exist.

        Args:
            earliest: The offset.
            time: Time by the log's clock from which on no record is missed, s. If
                None, the next call of `observe_time` sets it.
        """
        self._next_offset = earliest
        self._covered_from = _UNKNOWN if time is None else time

    def observe_time(self, time: float) -> None:
        """Set the start of the covered time, if it is unknown.

        Args:
            time: Time of the next record, or of a read that reached the end, by the
                log's clock, s.
        """
        if self._covered_from == _UNKNOWN:
            self._covered_from = time

    def apply(self, record: Record) -> list[AppliedClaim]:
        """Apply one record and return its claims; unreadable bodies are ignored."""
        self._next_offset = record.offset + 1
        self.observe_time(record.time)
        self._latest_time = max(self._latest_time, record.time)
        self._expire()
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

    def _claim(self, time: float, claim: ClaimId, key: str) -> AppliedClaim:
        holder = self.holder(key, time)
        if holder is None and claim not in self._released:
            self._drop(key)
            self._holders[key] = Holder(claim, time)
            self._keys[claim] = key
            holder = claim
        return AppliedClaim(claim, holder, self.covers(time))

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

    def _expire(self) -> None:
        oldest = self._latest_time - self._window_s
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
        return decode_json(body, ClaimRecord)
    except InvalidDataError:
        return None
