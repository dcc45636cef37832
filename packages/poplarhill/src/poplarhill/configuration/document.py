"""The JSON schema and the typed form of the configuration document.

A document holds defaults for the whole fleet, the services with their workers,
the customers, the evacuated data centres, and a short list of exceptions. An exception
overrides fields of one worker and states a reason. The workers of an evacuated data
centre drain.
"""

from typing import Any, NamedTuple

from poplarhill.configuration.patch import apply_patch
from poplarhill.decoding import MAX_ACCELERATORS, MAX_CORES, MAX_MEMORY_MB
from poplarhill.exceptions import SettingsError
from poplarhill.schema import check
from poplarhill.types import WorkerSpec

Document = dict[str, Any]

_NAME = "^[A-Za-z0-9._-]{1,64}$"
_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
_BOUNDED = {**_POSITIVE, "maximum": 1e9}
_COUNT = {"type": "integer", "minimum": 1, "maximum": 2**31 - 1}
_SLOT_COUNT = {**_COUNT, "maximum": 65_535}  # frames carry 16 bits

_WORKER_FIELDS: dict[str, Any] = {
    "host": {"type": "string", "pattern": r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$"},
    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "slots": _SLOT_COUNT,
    "connections": _SLOT_COUNT,
    "cores": {**_POSITIVE, "maximum": MAX_CORES},
    "memory_mb": {**_COUNT, "maximum": MAX_MEMORY_MB},
    "accelerators": {"type": "integer", "minimum": 0, "maximum": MAX_ACCELERATORS},
    "rack": {"type": "string"},
    "data_centre": {"type": "string"},
    "draining": {"type": "boolean"},
}

_DEFAULT_FIELDS: dict[str, Any] = {
    "policy": {
        "enum": [
            "random",
            "round_robin",
            "least_outstanding",
            "two_choices",
            "shares",
        ]
    },
    "order": {"enum": ["first_come", "fewest_tasks"]},
    "worker_cap": _COUNT,
    "queue_tasks": _COUNT,
    "queue_wait_s": _POSITIVE,
    "lending": {"type": "boolean"},
    "beyond_share": {**_COUNT, "minimum": 0},
    "eject_fraction": {"type": "number", "minimum": 0, "maximum": 1},
    "key_window_s": _BOUNDED,
}

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "defaults": {
            "type": "object",
            "additionalProperties": False,
            "properties": _DEFAULT_FIELDS,
        },
        "services": {
            "type": "object",
            "propertyNames": {"pattern": _NAME},
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "required": ["workers"],
                "properties": {
                    "workers": {
                        "type": "object",
                        "propertyNames": {"pattern": _NAME},
                        "additionalProperties": {
                            "type": "object",
                            "additionalProperties": False,
                            "required": ["host", "port"],
                            "properties": _WORKER_FIELDS,
                        },
                    },
                },
            },
        },
        "customers": {
            "type": "object",
            "propertyNames": {"pattern": _NAME},
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "properties": {"weight": _BOUNDED, "quota_tasks": _COUNT},
            },
        },
        "evacuations": {
            "type": "object",
            "propertyNames": {"pattern": _NAME},
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "required": ["note"],
                "properties": {"note": {"type": "string", "pattern": r"\S"}},
            },
        },
        "exceptions": {
            "type": "object",
            "propertyNames": {"pattern": _NAME},
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "required": ["worker", "reason", "set"],
                "properties": {
                    "worker": {"type": "string", "pattern": _NAME},
                    "reason": {"type": "string", "pattern": r"\S"},
                    "set": {
                        "type": "object",
                        "additionalProperties": False,
                        "properties": _WORKER_FIELDS,
                    },
                },
            },
        },
    },
}


class Defaults(NamedTuple):
    """Settings for the whole fleet.

    Attributes:
        policy: Name of the placement policy.
        order: Order in which queued jobs are placed.
        worker_cap: Maximum number of tasks that one host has outstanding on one
            worker.
        queue_tasks: Maximum number of tasks that one host keeps queued.
        queue_wait_s: Longest expected wait in a host's queue, s; a job that
            would wait longer is refused. If unset, only the job's deadline
            limits the wait.
        lending: Whether hosts lend each other idle slots. If unset, they do so
            for services whose workers do not report free slots.
        beyond_share: Maximum number of tasks that one host sends to a worker
            beyond its share of the slots, and only while the worker reports
            free slots.
        eject_fraction: Largest fraction of a service's workers that may be
            ejected at a time.
        key_window_s: How long an idempotency key is remembered, s.
    """

    policy: str = "shares"
    order: str = "fewest_tasks"
    worker_cap: int = 2
    queue_tasks: int = 20000
    queue_wait_s: float | None = None
    lending: bool | None = None
    beyond_share: int = 4
    eject_fraction: float = 0.3
    key_window_s: float = 600.0


class CustomerSpec(NamedTuple):
    """How much capacity a customer may use.

    Attributes:
        weight: Relative share of the capacity when customers compete for it.
        quota_tasks: Maximum number of the customer's tasks that are queued or
            running in the whole fleet.
    """

    weight: float = 1.0
    quota_tasks: int = 10000


class Configuration(NamedTuple):
    """A valid document in typed form.

    Attributes:
        version: Version of the document; the empty document has version 0, and
            each accepted change adds 1.
        defaults: Settings for the whole fleet.
        workers: Every worker by name, with exceptions and evacuations applied.
        customers: Every customer by name.
        services: Names of the services.
        evacuated: Names of the evacuated data centres.
    """

    version: int
    defaults: Defaults
    workers: dict[str, WorkerSpec]
    customers: dict[str, CustomerSpec]
    services: frozenset[str]
    evacuated: frozenset[str] = frozenset()

    @property
    def data_centres(self) -> frozenset[str]:
        """Names of the data centres that have workers or are evacuated."""
        named = (worker.data_centre for worker in self.workers.values())
        return self.evacuated.union(name for name in named if name)

    @classmethod
    def from_document(cls, version: int, document: Document) -> "Configuration":
        """Check a document and return its typed form.

        Raises:
            SettingsError: The document is invalid; lists every problem by path.
        """
        check_document(document)
        return cls(
            version=version,
            defaults=Defaults(**document.get("defaults", {})),
            workers=_workers(document),
            customers=customers_of(document),
            services=frozenset(document.get("services", {})),
            evacuated=evacuated_in(document),
        )


def customers_of(document: Document) -> dict[str, CustomerSpec]:
    """Return the typed form of every customer by name."""
    customers = document.get("customers", {})
    return {name: CustomerSpec(**fields) for name, fields in customers.items()}


def empty_document() -> Document:
    """Return the document of version 0."""
    return {}


def check_document(document: Document) -> None:
    """Check a whole document against the schema and the name rules.

    Raises:
        SettingsError: The document is invalid; lists every problem by path.
    """
    check(document, SCHEMA)
    check_names(document)


def check_names(document: Document) -> None:
    """Check that worker names are unique and that each exception's worker exists.

    Raises:
        SettingsError: The document is invalid; lists every problem by path.
    """
    problems = [
        f"/{'/'.join(path)}: worker named twice" for path in duplicate_workers(document)
    ]
    for path in unknown_exceptions(document):
        worker = document["exceptions"][path[1]]["worker"]
        problems.append(f"/{'/'.join(path)}: no worker {worker!r}")
    if problems:
        raise SettingsError(tuple(problems))


def overrides(document: Document) -> dict[str, Document]:
    """Return the fields that exceptions override, by worker name."""
    merged: dict[str, Document] = {}
    for exception in document.get("exceptions", {}).values():
        name = exception["worker"]
        merged[name] = apply_patch(merged.get(name, {}), exception["set"])
    return merged


def evacuated_in(document: Document) -> frozenset[str]:
    """Return the names of the evacuated data centres."""
    return frozenset(document.get("evacuations", ()))


def worker_spec(
    service: str,
    name: str,
    fields: Document,
    override: Document,
    evacuated: frozenset[str],
) -> WorkerSpec:
    """Return the typed form of a worker with its overrides applied.

    It drains if its data centre is evacuated.
    """
    values = apply_patch(fields, override)
    spec = WorkerSpec(name=name, service=service, **values)
    return spec._replace(draining=True) if spec.data_centre in evacuated else spec


def _workers(document: Document) -> dict[str, WorkerSpec]:
    set_fields = overrides(document)
    evacuated = evacuated_in(document)
    return {
        name: worker_spec(service, name, worker, set_fields.get(name, {}), evacuated)
        for service, fields in document.get("services", {}).items()
        for name, worker in fields["workers"].items()
    }


def duplicate_workers(document: Document) -> list[tuple[str, ...]]:
    """Return the paths of workers whose names an earlier service has too."""
    paths = []
    seen: set[str] = set()
    for service, fields in document.get("services", {}).items():
        for name in fields["workers"]:
            if name in seen:
                paths.append(("services", service, "workers", name))
            seen.add(name)
    return paths


def unknown_exceptions(document: Document) -> list[tuple[str, ...]]:
    """Return the paths of exceptions' workers that no service has."""
    known = {
        name
        for fields in document.get("services", {}).values()
        for name in fields["workers"]
    }
    return [
        ("exceptions", name, "worker")
        for name, exception in document.get("exceptions", {}).items()
        if exception["worker"] not in known
    ]
