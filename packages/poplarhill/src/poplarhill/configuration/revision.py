"""Derives the typed form of a patched document from that of its predecessor.

A fleet's document is large and a change is small. Validating and building every
worker again for each change would take most of a reader's time, so only the
parts that a patch affects are processed. The result equals that of validating and
building the whole document.
"""

from poplarhill.configuration.document import (
    SCHEMA,
    Configuration,
    Defaults,
    Document,
    customers_of,
    evacuated_in,
    overrides,
    worker_spec,
)
from poplarhill.configuration.patch import Json, apply_patch, make_patch
from poplarhill.exceptions import SettingsError
from poplarhill.schema import check
from poplarhill.types import WorkerSpec


def revise(
    previous: Configuration, old: Document, new: Document, patch: Json
) -> Configuration:
    """Check the patched part of a document and return the next version.

    Args:
        previous: Typed form of `old`.
        old: A valid document.
        new: That document with the patch applied.
        patch: The JSON merge patch.

    Raises:
        SettingsError: The document is invalid; lists every problem by path.
    """
    check(_touched_part(new, patch), SCHEMA)
    evacuated = evacuated_in(new)
    names = _affected_workers(old, new, patch)
    if changed := previous.evacuated ^ evacuated:
        specs = previous.workers.values()
        names.update(spec.name for spec in specs if spec.data_centre in changed)
    workers = _revise_workers(previous, new, names)
    _check_exceptions(new, workers)
    customers = previous.customers
    return Configuration(
        version=previous.version + 1,
        defaults=Defaults(**new.get("defaults", {})),
        workers=workers,
        customers=customers_of(new) if "customers" in patch else customers,
        services=frozenset(new.get("services", {})),
        evacuated=evacuated,
    )


def replace_document(
    previous: Configuration, old: Document, version: int, new: Document
) -> Configuration:
    """Check a whole new document and return its typed form.

    Only the differences from `old` are processed, so this is cheap if the two
    documents are mostly equal.

    Args:
        previous: Typed form of `old`.
        old: A valid document.
        version: Version of `new`.
        new: The new document.

    Raises:
        SettingsError: The document is invalid; lists every problem by path.
    """
    patch = make_patch(old, new)
    if apply_patch(old, patch) != new:  # a merge patch cannot set null
        return Configuration.from_document(version, new)
    return revise(previous, old, new, patch)._replace(version=version)


def _touched_part(document: Json, patch: Json, path: tuple[str, ...] = ()) -> Json:
    """Return the part of a patched document to validate against the schema.

    It consists of the entries of each section, and the workers of each service,
    that the patch names. All other entries are unchanged.
    """
    if not (isinstance(document, dict) and isinstance(patch, dict)):
        return document
    if not _has_entries(path) or (len(path) == 2 and "workers" not in patch):
        return document
    return {
        name: _touched_part(document[name], value, (*path, name))
        for name, value in patch.items()
        if name in document
    }


def _has_entries(path: tuple[str, ...]) -> bool:
    """Return whether the object at a path maps names to entries."""
    match path:
        case () | ("services" | "customers" | "exceptions" | "evacuations",):
            return True
        case ("services", _) | ("services", _, "workers"):
            return True
    return False


def _affected_workers(old: Document, new: Document, patch: Json) -> set[str]:
    """Return the names of the workers that a patch may have changed."""
    names: set[str] = set()
    for service in _affected_entries(old, new, patch, "services"):
        fields = (patch["services"] or {}).get(service)
        if isinstance(fields, dict) and isinstance(fields.get("workers"), dict):
            names.update(fields["workers"])
        else:
            names.update(_workers_of(old, service), _workers_of(new, service))
    for name in _affected_entries(old, new, patch, "exceptions"):
        for document in (old, new):
            exception = document.get("exceptions", {}).get(name)
            if exception is not None:
                names.add(exception["worker"])
    return names


def _affected_entries(
    old: Document, new: Document, patch: Json, section: str
) -> set[str]:
    if section not in patch:
        return set()
    if patch[section] is None:
        return {*old.get(section, {}), *new.get(section, {})}
    return set(patch[section])


def _workers_of(document: Document, service: str) -> Document:
    return document.get("services", {}).get(service, {}).get("workers", {})


def _revise_workers(
    previous: Configuration, new: Document, names: set[str]
) -> dict[str, WorkerSpec]:
    workers = dict(previous.workers)
    set_fields = overrides(new)
    evacuated = evacuated_in(new)
    problems = []
    for name in sorted(names):
        services = [s for s in new.get("services", {}) if name in _workers_of(new, s)]
        workers.pop(name, None)
        for service in services[:1]:
            fields = _workers_of(new, service)[name]
            override = set_fields.get(name, {})
            workers[name] = worker_spec(service, name, fields, override, evacuated)
        for service in services[1:]:
            path = f"/services/{service}/workers/{name}"
            problems.append(f"{path}: worker named twice")
    if problems:
        raise SettingsError(tuple(problems))
    return workers


def _check_exceptions(new: Document, workers: dict[str, WorkerSpec]) -> None:
    problems = [
        f"/exceptions/{name}/worker: no worker {exception['worker']!r}"
        for name, exception in new.get("exceptions", {}).items()
        if exception["worker"] not in workers
    ]
    if problems:
        raise SettingsError(tuple(problems))
