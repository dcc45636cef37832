"""The fold of configuration changes over log order.

Every host and every command folds the same records in the same order, so all
come to the same version and document. Of changes made from the same version,
the one at the lowest offset is accepted.
"""

from typing import Any, NamedTuple

import msgspec

from poplarhill.configuration.document import (
    Configuration,
    Document,
    empty_document,
)
from poplarhill.configuration.patch import apply_patch
from poplarhill.exceptions import SettingsError
from poplarhill.platform import Record


class Change(msgspec.Struct, tag="change", forbid_unknown_fields=True):
    """A change that an operator publishes.

    Attributes:
        change_id: Unique id, by which a lost answer is settled.
        base_version: Version that the change was made from.
        author: Who made it.
        note: Why, in a sentence.
        patch: JSON merge patch against the base version's document.
    """

    change_id: str
    base_version: int
    author: str
    note: str
    patch: dict[str, Any]


class Rejection(NamedTuple):
    """A change that was not accepted.

    Attributes:
        change_id: Its id.
        winner: Id of the change accepted from the same version, if any.
        detail: Why, in a sentence.
    """

    change_id: str
    winner: str | None
    detail: str


def encode_change(change: Change) -> str:
    """Return the record body of a change."""
    return msgspec.json.encode(change).decode()


class Fold:
    """State after the records read so far."""

    def __init__(self) -> None:
        self._document: Document = empty_document()
        self._configuration = Configuration.from_document(0, self._document)
        self._next_offset = 0
        self._winners: dict[int, str] = {}

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def document(self) -> Document:
        """The document in force."""
        return self._document

    @property
    def next_offset(self) -> int:
        """Offset of the first record not folded yet."""
        return self._next_offset

    def apply(self, record: Record) -> Change | Rejection | None:
        """Fold one record.

        Returns:
            The change if it was accepted, why not if it was rejected, or None
            for a record that is no change.
        """
        self._next_offset = record.offset + 1
        try:
            change = msgspec.json.decode(record.body, type=Change)
        except msgspec.MsgspecError:
            return None
        return self._apply_change(change)

    def _apply_change(self, change: Change) -> Change | Rejection:
        version = self._configuration.version
        if change.base_version != version:
            winner = self._winners.get(change.base_version)
            detail = f"made from version {change.base_version}, now {version}"
            return Rejection(change.change_id, winner, detail)
        document = apply_patch(self._document, change.patch)
        try:
            configuration = Configuration.from_document(version + 1, document)
        except SettingsError as error:
            return Rejection(change.change_id, None, error.format_message())
        self._document = document
        self._configuration = configuration
        self._winners[version] = change.change_id
        return change
