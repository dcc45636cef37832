"""Differences between two documents, by what they mean for jobs."""

from collections.abc import Iterator
from typing import Any

from poplarhill.configuration.check.findings import (
    Difference,
    Finding,
    Path,
    Severity,
)
from poplarhill.configuration.check.source import excerpt
from poplarhill.configuration.document import Configuration, CustomerSpec, Document
from poplarhill.types import WorkerSpec

_ALL = "all jobs of all services"
_WORKER_DEFAULTS = WorkerSpec._field_defaults


def difference(path: Path, what: str, old: Any, new: Any, affects: str) -> Finding:
    """Return the finding of a value that was added, removed or changed.

    Args:
        path: Path of the value.
        what: The value in words, such as `'slots' of the worker 'w1'`.
        old: Value in the version in force; None if it has none.
        new: Value in the checked file; None if it has none.
        affects: Whose jobs the change affects, in words.
    """
    if old is None:
        change, values = "added", ""
        if not isinstance(new, dict):
            values = f" as {excerpt(new)}"
    elif new is None:
        change, values = "removed", ""
        if not isinstance(old, dict):
            values = f", it was {excerpt(old)}"
    else:
        change, values = "changed", f" from {excerpt(old)} to {excerpt(new)}"
    message = f"{what} is {change}{values}; affects {affects}"
    found = Difference(change, old, new, affects)
    return Finding(Severity.DIFFERENCE, path, message, difference=found)


def field_differences(
    path: Path, what: str, old: Document, new: Document, affects: str
) -> Iterator[Finding]:
    """Yield the differences between the fields of two objects."""
    for field in sorted(old.keys() | new.keys()):
        before, after = old.get(field), new.get(field)
        if before != after:
            name = f"{field!r} of {what}"
            yield difference((*path, field), name, before, after, affects)


def document_differences(
    old: Document, new: Document, configuration: Configuration
) -> Iterator[Finding]:
    """Yield the differences between two valid documents.

    A field that is not given counts as its default.

    Args:
        old: The document in force.
        new: The checked document.
        configuration: Typed form of `new`.
    """
    yield from _defaults(
        old.get("defaults", {}), new.get("defaults", {}), configuration
    )
    yield from _services(old.get("services", {}), new.get("services", {}))
    yield from _customers(old.get("customers", {}), new.get("customers", {}))
    yield from _evacuations(old, new)
    yield from _exceptions(old, new)


def _defaults(
    old: Document, new: Document, configuration: Configuration
) -> Iterator[Finding]:
    known = configuration.defaults._field_defaults
    before, after = known | old, known | new
    yield from field_differences(("defaults",), "the defaults", before, after, _ALL)


def _services(old: Document, new: Document) -> Iterator[Finding]:
    for service in _names(old, new):
        path: Path = ("services", service)
        affects = f"jobs of the service {service!r}"
        before, after = old.get(service), new.get(service)
        if before is None or after is None:
            what = f"the service {service!r}"
            yield difference(path, what, before, after, affects)
            continue
        path = (*path, "workers")
        yield from _entries(
            path,
            "worker",
            before["workers"],
            after["workers"],
            affects,
            _WORKER_DEFAULTS,
        )


def _customers(old: Document, new: Document) -> Iterator[Finding]:
    known = CustomerSpec._field_defaults
    for name in _names(old, new):
        before = {name: old[name]} if name in old else {}
        after = {name: new[name]} if name in new else {}
        affects = f"jobs of the customer {name!r}"
        yield from _entries(("customers",), "customer", before, after, affects, known)


def _evacuations(old: Document, new: Document) -> Iterator[Finding]:
    before, after = old.get("evacuations", {}), new.get("evacuations", {})
    for name in _names(before, after):
        services = {
            service
            for document in (old, new)
            for service, fields in document.get("services", {}).items()
            for worker in fields["workers"].values()
            if worker.get("data_centre") == name
        }
        affects = _services_in_words(services)
        chosen = [{name: d[name]} if name in d else {} for d in (before, after)]
        yield from _entries(("evacuations",), "evacuation", *chosen, affects, {})


def _exceptions(old: Document, new: Document) -> Iterator[Finding]:
    before, after = old.get("exceptions", {}), new.get("exceptions", {})
    for name in _names(before, after):
        workers = {d[name]["worker"] for d in (before, after) if name in d}
        services = {
            service
            for document in (old, new)
            for service, fields in document.get("services", {}).items()
            if workers & fields["workers"].keys()
        }
        affects = _services_in_words(services)
        chosen = [{name: d[name]} if name in d else {} for d in (before, after)]
        yield from _entries(("exceptions",), "exception", *chosen, affects, {})


def _entries(
    path: Path,
    kind: str,
    old: Document,
    new: Document,
    affects: str,
    defaults: dict[str, Any],
) -> Iterator[Finding]:
    for name in _names(old, new):
        before, after = old.get(name), new.get(name)
        what = f"the {kind} {name!r}"
        if before is None or after is None:
            yield difference((*path, name), what, before, after, affects)
        else:
            yield from field_differences(
                (*path, name), what, defaults | before, defaults | after, affects
            )


def _names(old: Document, new: Document) -> list[str]:
    return sorted(old.keys() | new.keys())


def _services_in_words(services: set[str]) -> str:
    if not services:
        return "no jobs"
    names = ", ".join(repr(name) for name in sorted(services))
    return f"jobs of the service {names}" if len(services) == 1 else f"jobs of {names}"
