"""Hashes of idempotency keys and of the jobs that use them."""

import xxhash

from poplarhill.types import JobSpec


def needs_claim(spec: JobSpec) -> bool:
    """Return whether a job may be sent only after its key was won."""
    return not spec.idempotent and spec.key is not None


def hash_key(spec: JobSpec) -> str:
    """Return the hash of a job's key within its customer and service."""
    parts = (spec.customer, spec.service, spec.key or "")
    return xxhash.xxh128_hexdigest("\0".join(parts).encode())


def fingerprint_of(spec: JobSpec) -> str:
    """Return a hash of the tasks of a job."""
    digest = xxhash.xxh128()
    for task in spec.tasks:
        digest.update(len(task).to_bytes(8, "big"))
        digest.update(task)
    return digest.hexdigest()
