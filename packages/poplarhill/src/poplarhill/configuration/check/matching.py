"""Entries of a document that can never take effect."""

from collections import defaultdict
from collections.abc import Iterator

from poplarhill.configuration.check.findings import Finding, Path, error, warning
from poplarhill.configuration.document import (
    Configuration,
    Document,
    duplicate_workers,
    unknown_exceptions,
)
from poplarhill.types import WorkerSpec

_OCTET_MAX = 255


def name_errors(document: Document) -> list[Finding]:
    """Return the errors of names, which the daemon refuses as well."""
    findings = []
    for path in duplicate_workers(document):
        message = f"another service has a worker {path[-1]!r} too; rename one of them"
        findings.append(error(path, message))
    for path in unknown_exceptions(document):
        name = document["exceptions"][path[1]]["worker"]
        message = f"no service has a worker {name!r}; correct the name or remove"
        findings.append(error(path, f"{message} the exception"))
    return findings


def matching_warnings(
    document: Document, configuration: Configuration
) -> Iterator[Finding]:
    """Yield a warning for each entry that can never match or take effect."""
    yield from _services(document, configuration)
    yield from _addresses(configuration)
    yield from _evacuations(document, configuration)
    yield from _exceptions(document)


def _services(document: Document, configuration: Configuration) -> Iterator[Finding]:
    workers: dict[str, list[WorkerSpec]] = defaultdict(list)
    for spec in configuration.workers.values():
        workers[spec.service].append(spec)
    for name in document.get("services", {}):
        if not workers[name]:
            message = f"the service {name!r} has no workers, so its jobs are refused;"
            yield warning(
                ("services", name), f"{message} add one or remove the service"
            )
        elif all(spec.draining for spec in workers[name]):
            message = f"every worker of the service {name!r} drains, so its jobs are"
            message += " refused; keep one worker that does not drain"
            yield warning(("services", name), message)


def _addresses(configuration: Configuration) -> Iterator[Finding]:
    first: dict[tuple[str, int], str] = {}
    for spec in configuration.workers.values():
        path = _worker_path(spec)
        if any(int(part) > _OCTET_MAX for part in spec.host.split(".")):
            message = f"{spec.host} is no IP address, as a part exceeds 255; correct it"
            yield warning((*path, "host"), message)
        other = first.setdefault((spec.host, spec.port), spec.name)
        if other != spec.name:
            message = (
                f"the worker {other!r} has the address {spec.host}:{spec.port} too,"
            )
            message += " so its slots count twice; correct one address"
            yield warning(path, message)


def _evacuations(document: Document, configuration: Configuration) -> Iterator[Finding]:
    used = {spec.data_centre for spec in configuration.workers.values()}
    for name in document.get("evacuations", {}):
        if name not in used:
            message = f"no worker is in a data centre {name!r}; correct the name or"
            yield warning(("evacuations", name), f"{message} remove the evacuation")


def _exceptions(document: Document) -> Iterator[Finding]:
    last: dict[tuple[str, str], str] = {}
    exceptions = document.get("exceptions", {})
    for name, exception in exceptions.items():
        for field in exception["set"]:
            last[exception["worker"], field] = name
    fields_of = {
        worker: fields
        for service in document.get("services", {}).values()
        for worker, fields in service["workers"].items()
    }
    for name, exception in exceptions.items():
        worker, values = exception["worker"], exception["set"]
        path: Path = ("exceptions", name, "set")
        if not values:
            message = "the exception sets nothing; add a field or remove the exception"
            yield warning(path, message)
        for field, value in values.items():
            other = last[worker, field]
            if other != name:
                message = (
                    f"the exception {other!r} sets {field!r} of {worker!r} later and"
                )
                yield warning((*path, field), f"{message} wins; remove one of the two")
            elif fields_of[worker].get(field) == value:
                message = f"the worker {worker!r} has this value of {field!r} already;"
                yield warning((*path, field), f"{message} remove it here")


def _worker_path(spec: WorkerSpec) -> Path:
    return ("services", spec.service, "workers", spec.name)
