"""Formats of configurations that the check reads.

A package adds a format by an entry point of the group `poplarhill.config_formats`
that loads a `Format`.
"""

from collections.abc import Callable
from importlib.metadata import entry_points
from typing import Any, NamedTuple

from poplarhill.configuration.check.differences import document_differences
from poplarhill.configuration.check.findings import Finding
from poplarhill.configuration.check.limits import limit_warnings
from poplarhill.configuration.check.matching import matching_warnings, name_errors
from poplarhill.configuration.check.schema import schema_errors
from poplarhill.configuration.document import SCHEMA, Configuration, Document
from poplarhill.types import Address

GROUP = "poplarhill.config_formats"


class InForce(NamedTuple):
    """What is in force on a platform.

    Attributes:
        document: The document, in its format.
        workers: Registered workers by name, if the platform keeps them elsewhere than
            in the document; in the format's own terms.
    """

    document: Document
    workers: Any = None


class Format(NamedTuple):
    """How documents of one format are checked.

    Attributes:
        name: Name of the format.
        recognizes: Whether a document is in this format.
        errors: Every error of a document; empty if the daemon accepts it.
        warnings: Warnings of a document without errors; the second argument is
            `InForce.workers`.
        differences: Differences between an old and a new document without errors.
        summary: Describes a document without errors in a few words.
        read: Reads what is in force on the platform at an address.
    """

    name: str
    recognizes: Callable[[Document], bool]
    errors: Callable[[Document], list[Finding]]
    warnings: Callable[[Document, Any], list[Finding]]
    differences: Callable[[Document, Document], list[Finding]]
    summary: Callable[[Document], str]
    read: Callable[[Address], InForce] | None = None


def _errors(document: Document) -> list[Finding]:
    return schema_errors(document, SCHEMA) or name_errors(document)


def _warnings(document: Document, _workers: Any) -> list[Finding]:
    configuration = Configuration.from_document(0, document)
    return [
        *matching_warnings(document, configuration),
        *limit_warnings(configuration),
    ]


def _differences(old: Document, new: Document) -> list[Finding]:
    return list(document_differences(old, new, Configuration.from_document(0, new)))


def _summary(document: Document) -> str:
    services = document.get("services", {}).values()
    return f"{sum(len(fields['workers']) for fields in services)} workers"


PRODUCT = Format(
    "poplarhill", lambda _: True, _errors, _warnings, _differences, _summary
)


def find_format(document: Document) -> Format:
    """Return the format of a document; the product's own if no other fits."""
    for entry in entry_points(group=GROUP):
        other: Format = entry.load()
        if other.recognizes(document):
            return other
    return PRODUCT
