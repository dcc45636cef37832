"""What a check of a configuration reports."""

from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

Path = tuple[str | int, ...]


class Severity(Enum):
    """How much a finding weighs."""

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"


class Difference(NamedTuple):
    """A change from the version in force.

    Attributes:
        change: `added`, `removed` or `changed`.
        old: Value in the version in force; None if it was added.
        new: Value in the checked file; None if it was removed.
        affects: Whose jobs the change affects, in words.
    """

    change: str
    old: Any
    new: Any
    affects: str


class Finding(NamedTuple):
    """One finding.

    Attributes:
        severity: Its weight.
        path: Keys and indices that lead to the value from the top of the document.
        message: A sentence that says what is wrong and what to do.
        line: Line of the value in the file, from 1; None if it has none.
        difference: The change, if the finding is a difference.
    """

    severity: Severity
    path: Path
    message: str
    line: int | None = None
    difference: Difference | None = None

    @property
    def pointer(self) -> str:
        """The path as one line of text; `/` is the whole document."""
        return "/" + "/".join(_printable(str(part)) for part in self.path)


def _printable(text: str) -> str:
    return text if text.isprintable() else repr(text)[1:-1]


def error(path: Path, message: str) -> Finding:
    """Return an error."""
    return Finding(Severity.ERROR, path, message)


def warning(path: Path, message: str) -> Finding:
    """Return a warning."""
    return Finding(Severity.WARNING, path, message)


def count(findings: Iterable[Finding], severity: Severity) -> int:
    """Return the number of findings of a severity."""
    return sum(finding.severity is severity for finding in findings)
