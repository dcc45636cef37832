"""Computes the configuration by folding the records of its stream in log order.

Every host and every command folds the same records in the same order, so all
of them reach the same version and document. If several changes are based on the
same version, the one at the lowest offset is accepted.
docs/design/configuration.md explains why this also holds for readers that start
after the log has been truncated.
"""

from typing import NamedTuple

from poplarhill.configuration.document import (
    Configuration,
    Document,
    empty_document,
)
from poplarhill.configuration.patch import apply_patch
from poplarhill.configuration.records import (
    Change,
    Restoration,
    Snapshot,
    decode_record,
)
from poplarhill.configuration.revision import replace_document, revise
from poplarhill.exceptions import SettingsError
from poplarhill.platform import Record

_WINNERS_KEPT = 64


class Rejection(NamedTuple):
    """A change that was not accepted.

    Attributes:
        change_id: Id of the rejected change.
        winner: Id of the change that was accepted on the same base version, if
            known.
        detail: Why the change was rejected, in a sentence.
    """

    change_id: str
    winner: str | None
    detail: str


class Fold:
    """The configuration that results from the records read so far.

    A fold is *complete* while its state covers every record below
    `next_offset`, either because it has read them or because it has loaded a
    snapshot that includes them. After a gap in the records it keeps its last
    state and reads on until it finds a snapshot made at or after the end of the
    gap.
    """

    def __init__(self) -> None:
        self._document: Document = empty_document()
        self._configuration = Configuration.from_document(0, self._document)
        self._winners: dict[int, str] = {}
        self._complete_until = 0  # the state covers every record below this offset
        self._next_offset = 0
        self._gap_end: int | None = None
        self._snapshot_time: float | None = None

    @property
    def configuration(self) -> Configuration:
        """The configuration after the records read so far."""
        return self._configuration

    @property
    def document(self) -> Document:
        """The document after the records read so far."""
        return self._document

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        return self._next_offset

    @property
    def complete(self) -> bool:
        """Whether the state covers every record below `next_offset`."""
        return self._gap_end is None

    @property
    def snapshot_time(self) -> float | None:
        """Time of the newest usable snapshot in the log, by the log's clock, s."""
        return self._snapshot_time

    def winner(self, base_version: int) -> str | None:
        """Return the id of the change accepted on a base version, if known."""
        return self._winners.get(base_version)

    def apply(self, record: Record) -> Change | Rejection | None:
        """Fold one record; ignore it if its offset is not `next_offset`.

        Returns:
            The change if it was accepted, a rejection with the reason if it was
            not, or None if the record does not accept or reject a change.
        """
        if record.offset != self._next_offset:
            return None
        self._next_offset += 1
        if self.complete:
            self._complete_until = self._next_offset
        match decode_record(record.body):
            case Change() as change if self.complete:
                return self._apply_change(change)
            case Snapshot() as snapshot:
                self._apply_snapshot(record, snapshot)
            case Restoration(version, document) if self.complete:
                self._set_document(version, document)
        return None

    def skip_to(self, earliest: int) -> None:
        """Continue at the oldest record kept after the log was truncated."""
        if earliest > self._next_offset:
            self._next_offset = earliest
            self._gap_end = earliest

    def adopt(self, snapshot: Snapshot, snapshot_time: float | None) -> bool:
        """Replace the state with that of another reader that is ahead of this one.

        Args:
            snapshot: State of the other reader.
            snapshot_time: Time of the newest snapshot that the other reader has
                seen in the log, by the log's clock, s.

        Returns:
            Whether the snapshot was ahead and valid, and so was loaded.
        """
        current = (self._configuration.version, self._complete_until)
        offered = (snapshot.version, snapshot.next_offset)
        if snapshot.version < self._configuration.version or offered <= current:
            return False
        if not self._load_snapshot(snapshot):
            return False
        self._snapshot_time = snapshot_time
        return True

    def make_snapshot(self, time: float) -> Snapshot:
        """Return a snapshot of the state, which any other reader may load.

        Args:
            time: Time, by the log's clock, at which the log held no record
                beyond those folded, s.
        """
        return Snapshot(
            version=self._configuration.version,
            document=self._document,
            next_offset=self._complete_until,
            time=time,
            winners=dict(self._winners),
        )

    def _apply_change(self, change: Change) -> Change | Rejection:
        version = self._configuration.version
        if change.base_version != version:
            winner = self._winners.get(change.base_version)
            detail = f"made from version {change.base_version}, now {version}"
            return Rejection(change.change_id, winner, detail)
        try:
            document = apply_patch(self._document, change.patch)
            configuration = revise(
                self._configuration, self._document, document, change.patch
            )
        except SettingsError as error:
            return Rejection(change.change_id, None, error.format_message())
        except RecursionError:
            return Rejection(change.change_id, None, "nested too deeply")
        self._document = document
        self._configuration = configuration
        self._add_winner(version, change.change_id)
        return change

    def _apply_snapshot(self, record: Record, snapshot: Snapshot) -> None:
        if snapshot.next_offset > record.offset:
            return
        if self._gap_end is None:
            self._record_snapshot_time(snapshot)
        elif snapshot.next_offset >= self._gap_end and self._load_snapshot(snapshot):
            self._snapshot_time = snapshot.time

    def _record_snapshot_time(self, snapshot: Snapshot) -> None:
        """Record the time of a snapshot that matches the current state."""
        same = snapshot.version == self._configuration.version
        if same and snapshot.document == self._document:
            newest = self._snapshot_time
            self._snapshot_time = max(snapshot.time, newest or snapshot.time)

    def _load_snapshot(self, snapshot: Snapshot) -> bool:
        """Set the state from a snapshot and continue reading where it ends."""
        if not self._set_document(
            snapshot.version, snapshot.document, allow_same_version=True
        ):
            return False
        self._winners = dict(sorted(snapshot.winners.items())[-_WINNERS_KEPT:])
        self._complete_until = snapshot.next_offset
        self._next_offset = snapshot.next_offset
        self._gap_end = None
        return True

    def _set_document(
        self, version: int, document: Document, allow_same_version: bool = False
    ) -> bool:
        """Set version and document unless the version is older or they are invalid."""
        current = self._configuration.version
        if version < current or (version == current and not allow_same_version):
            return False
        if version == current and document == self._document:
            return True
        try:
            configuration = replace_document(
                self._configuration, self._document, version, document
            )
        except (SettingsError, RecursionError):
            return False
        self._document = document
        self._configuration = configuration
        return True

    def _add_winner(self, base_version: int, change_id: str) -> None:
        self._winners[base_version] = change_id
        self._winners.pop(base_version - _WINNERS_KEPT, None)
